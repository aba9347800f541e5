//! Encoding of messages into frames: a protocol version byte, then the message in postcard encoding.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LinkCause;

/// The version of the protocol between the system's processes, sent as the first byte of a frame.
pub const VERSION: u8 = 1;
/// Size limit of a frame in bytes. The largest message is a snapshot.
pub const FRAME_MAX_BYTES: usize = 64 << 20;

/// Encodes a message into a frame.
///
/// # Panics
///
/// If the message's type cannot be encoded by postcard, which is a bug.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_extend(message, vec![VERSION]).expect("messages have no unencodable parts")
}

/// Decodes a message from a frame.
///
/// # Errors
///
/// [`LinkCause`] if the frame is empty, has another protocol version or is malformed.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, LinkCause> {
    Ok(decode_prefix(frame)?.0)
}

/// Decodes a message from the beginning of some bytes. Returns it with the bytes that follow it.
///
/// # Errors
///
/// As for [`decode`].
pub fn decode_prefix<T: DeserializeOwned>(frame: &[u8]) -> Result<(T, &[u8]), LinkCause> {
    let (version, content) = frame.split_first().ok_or(LinkCause::Size)?;
    if *version != VERSION {
        return Err(LinkCause::Version(*version));
    }
    Ok(postcard::take_from_bytes(content)?)
}
