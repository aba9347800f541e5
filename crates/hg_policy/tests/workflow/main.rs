//! Decisions about workflows; each test replays one load pattern.

mod admission_replay;
mod admission_rules;
mod capacity_changes;
mod crashes;
mod extreme_requests;
mod harness;
mod replay;
mod starts_and_stops;
mod upkeep_advice_pace;
