//! Decisions about workflows; each test replays one load pattern.

mod capacity_changes;
mod contention;
mod contention_replay;
mod crashes;
mod extreme_requests;
mod harness;
mod starts_and_stops;
mod upkeep_advice_pace;
