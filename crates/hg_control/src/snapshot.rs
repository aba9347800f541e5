//! Snapshots of the ledger: its encoding, followed by that of the parts that were added later.
//!
//! The encoding does not describe itself, so a new part inside the ledger would make earlier snapshots unreadable. A snapshot
//! that ends early lacks the later parts, and an earlier version ignores what follows the part that it knows.

use hg_ledger::Ledger;
use hg_link::{LinkCause, decode_prefix, encode};
use serde::de::DeserializeOwned;

/// Encodes a ledger.
pub fn encode_ledger(ledger: &Ledger) -> Vec<u8> {
    let mut snapshot = encode(ledger);
    snapshot.extend(encode(ledger.workflows().crashes()));
    snapshot.extend(encode(ledger.workflows().drains()));
    snapshot.extend(encode(ledger.workflows().host_speeds()));
    snapshot.extend(encode(ledger.workflows().run_times()));
    snapshot.extend(encode(ledger.workflows().usage()));
    snapshot.extend(encode(ledger.workflows().contention()));
    snapshot.extend(encode(ledger.workflows().upkeep_targets()));
    snapshot.extend(encode(ledger.workflows().tombstones()));
    snapshot
}

/// Decodes a ledger.
///
/// # Errors
///
/// [`LinkCause`] if the snapshot is malformed or of an unknown version.
pub fn decode_ledger(snapshot: &[u8]) -> Result<Ledger, LinkCause> {
    let (mut ledger, mut rest): (Ledger, _) = decode_prefix(snapshot)?;
    if let Some(crashes) = next_part(&mut rest)? {
        ledger.restore_crashes(crashes);
    }
    if let Some(drains) = next_part(&mut rest)? {
        ledger.restore_drains(drains);
    }
    if let Some(host_speeds) = next_part(&mut rest)? {
        ledger.restore_host_speeds(host_speeds);
    }
    if let Some(run_times) = next_part(&mut rest)? {
        ledger.restore_run_times(run_times);
    }
    if let Some(usage) = next_part(&mut rest)? {
        ledger.restore_usage(usage);
    }
    if let Some(contention) = next_part(&mut rest)? {
        ledger.restore_contention(contention);
    }
    if let Some(upkeep_targets) = next_part(&mut rest)? {
        ledger.restore_upkeep_targets(upkeep_targets);
    }
    if let Some(tombstones) = next_part(&mut rest)? {
        ledger.restore_tombstones(tombstones);
    }
    Ok(ledger)
}

/// Decodes the next part of a snapshot; `None` if the snapshot ends before it.
fn next_part<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<Option<T>, LinkCause> {
    if rest.is_empty() {
        return Ok(None);
    }
    let (part, following) = decode_prefix(rest)?;
    *rest = following;
    Ok(Some(part))
}
