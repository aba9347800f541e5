//! Decisions about workflows; each test replays one load pattern.

mod account_replay;
mod capacity_changes;
mod crashes;
mod extreme_requests;
mod fair_shares;
mod harness;
mod starts_and_stops;
mod upkeep_advice_pace;
