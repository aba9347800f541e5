//! The records on disk and how they are read back.
//!
//! A record is a header of 12 bytes (length, its checksum, the content's checksum) and the content.
//! The header's own checksum tells a tail that was never fully written from bytes that changed: the
//! first may be cut off, the second must not be, since what stood there may have been acknowledged.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Entry, HardState, ReplicaId, Snapshot};

const HEADER_BYTES: usize = 12;

/// One record of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Who this disk belongs to; the first record.
    Identity(ReplicaId),
    /// The election state from here on.
    Hard(HardState),
    /// The log up to a position.
    Snapshot(Snapshot),
    /// One entry; cuts off what stood at its position and after.
    Entry(Entry),
}

/// Bytes that once were whole have changed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("damaged record at byte {at}: {what}")]
pub struct Damage {
    /// Where the record starts.
    pub at: usize,
    /// Which part does not add up.
    pub what: &'static str,
}

/// Adds a record to a buffer.
///
/// # Panics
///
/// If a record is larger than 4 GiB, which the limits on what is logged rule out.
pub(crate) fn encode(record: &Record, buf: &mut Vec<u8>) {
    let content = postcard::to_stdvec(record).expect("records have no unencodable parts");
    let length = u32::try_from(content.len()).expect("records are far below 4 GiB").to_le_bytes();
    buf.extend_from_slice(&length);
    buf.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buf.extend_from_slice(&content);
}

/// What a file held.
#[derive(Debug)]
pub(crate) struct Decoded {
    /// The whole records.
    pub(crate) records: Vec<Record>,
    /// How many bytes they take; what follows was never fully written.
    pub(crate) whole_bytes: usize,
}

/// Reads all whole records.
///
/// # Errors
///
/// [`Damage`] if bytes changed after they were written.
pub(crate) fn decode(bytes: &[u8]) -> Result<Decoded, Damage> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(end) = record_end(bytes, at)? {
        let content = &bytes[at + HEADER_BYTES..end];
        if crc32fast::hash(content) != word(bytes, at + 8) {
            return Err(Damage { at, what: "content" });
        }
        let record = postcard::from_bytes(content).map_err(|_| Damage { at, what: "encoding" })?;
        records.push(record);
        at = end;
    }
    Ok(Decoded { records, whole_bytes: at })
}

/// Where the record at `at` ends; `None` if only a torn tail is left.
fn record_end(bytes: &[u8], at: usize) -> Result<Option<usize>, Damage> {
    let rest = &bytes[at..];
    // A file may grow before its content is written; such a tail is all zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|b| *b == 0) {
        return Ok(None);
    }
    if crc32fast::hash(&rest[..4]) != word(bytes, at + 4) {
        return Err(Damage { at, what: "header" });
    }
    let length = usize::try_from(word(bytes, at)).unwrap_or(usize::MAX);
    let end = at.saturating_add(HEADER_BYTES).saturating_add(length);
    Ok((end <= bytes.len()).then_some(end))
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let word: [u8; 4] = bytes[at..at + 4].try_into().expect("four bytes were sliced");
    u32::from_le_bytes(word)
}
