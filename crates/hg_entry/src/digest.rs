//! Digests of bodies and answers.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};

/// SHA-256 in hex.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
        text
    })
}
