//! Snapshots of the ledger: its encoding, followed by that of the parts that were added later.
//!
//! The encoding does not describe itself, so a new part inside the ledger would make earlier snapshots unreadable. A snapshot
//! that ends early lacks the later parts, and an earlier version ignores what follows the part that it knows.

use hg_ledger::Ledger;
use hg_link::{LinkCause, decode, decode_prefix, encode};

/// Encodes a ledger.
pub fn encode_ledger(ledger: &Ledger) -> Vec<u8> {
    let mut snapshot = encode(ledger);
    snapshot.extend(encode(ledger.workflows().crashes()));
    snapshot.extend(encode(ledger.workflows().contention()));
    snapshot
}

/// Decodes a ledger.
///
/// # Errors
///
/// [`LinkCause`] if the snapshot is malformed or of an unknown version.
pub fn decode_ledger(snapshot: &[u8]) -> Result<Ledger, LinkCause> {
    let (mut ledger, rest): (Ledger, _) = decode_prefix(snapshot)?;
    if rest.is_empty() {
        return Ok(ledger);
    }
    let (crashes, rest) = decode_prefix(rest)?;
    ledger.restore_crashes(crashes);
    if !rest.is_empty() {
        ledger.restore_contention(decode(rest)?);
    }
    Ok(ledger)
}
