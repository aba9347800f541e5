//! The encoding of the log on disk.
//!
//! A record is a header of 12 bytes (content length, checksum of the length, checksum of the
//! content; little-endian `u32` each) and the content. The checksum of the length distinguishes a
//! torn tail, which was never fully written, from corrupted bytes. A torn tail may be cut off;
//! corrupted records must not be, since they may hold acknowledged data.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Entry, HardState, ReplicaId, Snapshot};

const HEADER_BYTES: usize = 12;

/// A record of the log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The replica whose log this is; always the first record.
    Identity(ReplicaId),
    /// The election state; replaces the one of earlier records.
    Hard(HardState),
    /// A snapshot, which replaces the log up to its index.
    Snapshot(Snapshot),
    /// A log entry; replaces entries of earlier records at its index and after.
    Entry(Entry),
}

/// Corruption of the log file: bytes that were fully written have changed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("damaged record at byte {at}: {what}")]
pub struct Damage {
    /// The byte offset of the damaged record.
    pub at: usize,
    /// The part of the record that is damaged.
    pub what: &'static str,
}

/// Appends an encoded record to a buffer.
///
/// # Panics
///
/// If the record is larger than 4 GiB, which the size limits of logged data rule out.
pub(crate) fn encode(record: &Record, buf: &mut Vec<u8>) {
    let content = postcard::to_stdvec(record).expect("records have no unencodable parts");
    let length = u32::try_from(content.len()).expect("records are far below 4 GiB").to_le_bytes();
    buf.extend_from_slice(&length);
    buf.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    buf.extend_from_slice(&content);
}

/// The decoded content of a log file.
#[derive(Debug)]
pub(crate) struct Decoded {
    /// All complete records.
    pub(crate) records: Vec<Record>,
    /// The total size of the complete records in bytes; what follows is a torn tail.
    pub(crate) complete_bytes: usize,
}

/// Decodes all complete records.
///
/// # Errors
///
/// [`Damage`] if a record's checksum or encoding is wrong.
pub(crate) fn decode(bytes: &[u8]) -> Result<Decoded, Damage> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(end) = record_end(bytes, at)? {
        let content = &bytes[at + HEADER_BYTES..end];
        if crc32fast::hash(content) != read_u32(bytes, at + 8) {
            return Err(Damage { at, what: "content" });
        }
        let record = postcard::from_bytes(content).map_err(|_| Damage { at, what: "encoding" })?;
        records.push(record);
        at = end;
    }
    Ok(Decoded { records, complete_bytes: at })
}

/// The end offset of the record at `at`; `None` if only a torn tail is left.
fn record_end(bytes: &[u8], at: usize) -> Result<Option<usize>, Damage> {
    let rest = &bytes[at..];
    // A file may grow before its content is written; such a torn tail is all zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|b| *b == 0) {
        return Ok(None);
    }
    if crc32fast::hash(&rest[..4]) != read_u32(bytes, at + 4) {
        return Err(Damage { at, what: "header" });
    }
    let length = usize::try_from(read_u32(bytes, at)).unwrap_or(usize::MAX);
    let end = at.saturating_add(HEADER_BYTES).saturating_add(length);
    Ok((end <= bytes.len()).then_some(end))
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let word: [u8; 4] = bytes[at..at + 4].try_into().expect("four bytes were sliced");
    u32::from_le_bytes(word)
}
