//! Frames: what one group commit wrote, under one checksum.
//!
//! A frame is the length of its body (four bytes, little-endian), the CRC-32 of its body (four
//! bytes, little-endian) and its body: a list of [`Record`]s in MessagePack.

use serde::{Deserialize, Serialize};

use crate::{Base, Entry, HardState};

/// The bytes before a frame's body.
pub(super) const HEAD_BYTES: usize = 8;
/// The longest body of a frame, in bytes; longer ones are taken for damage.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;
/// The form of the segments; another one is refused.
pub(super) const FORMAT: u32 = 1;

/// One thing to remember.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    /// The first record of each segment.
    Start(Start),
    /// Term and vote.
    Hard(HardState),
    /// The log starts after this entry; entries behind it stay.
    Compact(Base),
    /// The whole log is dropped and starts after this entry.
    Reset(Base),
    /// An entry; it replaces all entries from its index on.
    Entry(Entry),
}

/// What was known when a segment was started, so that the ones before it may be removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Start {
    /// The form of the segment.
    pub(super) format: u32,
    /// Term and vote.
    pub(super) hard: HardState,
    /// Where the log starts.
    pub(super) base: Base,
}

/// What stands at a place of a segment.
#[derive(Debug)]
pub(super) enum Found {
    /// A whole frame.
    Frame {
        /// Its records.
        records: Vec<Record>,
        /// Where the next frame starts.
        end: usize,
    },
    /// The end of the segment.
    End,
    /// No frame.
    Damage(&'static str),
}

/// Encodes records as one frame; none when they don't fit into one.
pub(super) fn encode(records: &[Record]) -> Option<Vec<u8>> {
    let mut bytes = vec![0; HEAD_BYTES];
    rmp_serde::encode::write(&mut bytes, records).ok()?;
    let body = bytes.get(HEAD_BYTES..)?;
    if body.len() > MAX_BODY_BYTES {
        return None;
    }
    let length = u32::try_from(body.len()).ok()?;
    let sum = crc32fast::hash(body);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes[4..HEAD_BYTES].copy_from_slice(&sum.to_le_bytes());
    Some(bytes)
}

/// Reads the frame at `at`.
pub(super) fn read(bytes: &[u8], at: usize) -> Found {
    let rest = bytes.get(at..).unwrap_or_default();
    if rest.is_empty() {
        return Found::End;
    }
    let Some(body) = body(rest) else {
        return Found::Damage("the frame is not whole or its checksum is wrong");
    };
    match rmp_serde::from_slice(body) {
        Ok(records) => Found::Frame {
            records,
            end: at + HEAD_BYTES + body.len(),
        },
        Err(_) => Found::Damage("the frame's checksum is right, but its records are not"),
    }
}

/// Whether a whole frame starts anywhere behind `at`.
pub(super) fn any_behind(bytes: &[u8], at: usize) -> bool {
    for start in at + 1..bytes.len() {
        if body(&bytes[start..]).is_some() {
            return true;
        }
    }
    false
}

/// The body of the frame that `bytes` start with, if its length and checksum are right.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
    let sum = u32::from_le_bytes(bytes.get(4..HEAD_BYTES)?.try_into().ok()?);
    let length = usize::try_from(length).ok()?;
    if length == 0 || length > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(HEAD_BYTES..HEAD_BYTES + length)?;
    (crc32fast::hash(body) == sum).then_some(body)
}
