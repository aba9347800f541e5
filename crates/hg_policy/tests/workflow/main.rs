//! Decisions about workflows; each test replays one load pattern.

mod account_replay;
mod admission_replay;
mod admission_rules;
mod admission_world;
mod advice_turns;
mod capacity_changes;
mod contention;
mod contention_replay;
mod crashes;
mod drain;
mod extreme_requests;
mod fair_shares;
mod harness;
mod queue_moves;
mod replay;
mod run_times;
mod schedules;
mod starts_and_stops;
mod upkeep_advice_pace;
