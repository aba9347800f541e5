//! Frames: a version byte and an encoded message.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LinkCause;

/// The version of the protocol between the system's processes.
pub const VERSION: u8 = 1;
/// Largest frame; a snapshot is the largest message.
pub const FRAME_MAX_BYTES: usize = 64 << 20;

/// Encodes a message.
///
/// # Panics
///
/// If the message's type cannot be encoded at all, which is a bug.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_extend(message, vec![VERSION]).expect("messages have no unencodable parts")
}

/// Decodes a message.
///
/// # Errors
///
/// [`LinkCause`] if it is empty, of another version or malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, LinkCause> {
    let (version, content) = frame.split_first().ok_or(LinkCause::Size)?;
    if *version != VERSION {
        return Err(LinkCause::Version(*version));
    }
    Ok(postcard::from_bytes(content)?)
}
