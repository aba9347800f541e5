//! Decisions about workflows, each test replaying one load pattern.

mod bench;
mod duties;
mod rounds;
