//! Frames: the unit of a group commit, protected by one checksum.
//!
//! A frame is the length of its body (four bytes, little-endian), the CRC-32 of its body (four
//! bytes, little-endian) and its body: a list of [`Record`]s in MessagePack.

use serde::{Deserialize, Serialize};

use crate::{Entry, HardState, SnapshotMetadata};

/// The size of a frame's header: length and checksum.
pub(super) const HEADER_BYTES: usize = 8;
/// The maximum size of a frame's body; a larger length is treated as damage.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;
/// The version of the segment format; segments of other versions are rejected.
pub(super) const FORMAT: u32 = 1;

/// One change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    /// The first record of each segment.
    Start(Start),
    /// Sets term and vote.
    Hard(HardState),
    /// The log now starts after this point; later entries are kept.
    Compact(SnapshotMetadata),
    /// All entries are dropped and the log starts after this point.
    Reset(SnapshotMetadata),
    /// Appends an entry, replacing any entries at its index and above.
    Entry(Entry),
}

/// The state when a segment was started, which allows removing the segments before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Start {
    /// The segment format, see [`FORMAT`].
    pub(super) format: u32,
    /// Term and vote.
    pub(super) hard: HardState,
    /// The point at which the log starts.
    pub(super) base: SnapshotMetadata,
}

/// The result of reading at an offset of a segment.
#[derive(Debug)]
pub(super) enum Found {
    /// A valid frame.
    Frame {
        /// The decoded records.
        records: Vec<Record>,
        /// The offset of the next frame.
        end: usize,
    },
    /// The end of the segment.
    End,
    /// No valid frame, with the reason.
    Damage(&'static str),
}

/// Encodes records as one frame, or returns `None` if they exceed the maximum size.
pub(super) fn encode(records: &[Record]) -> Option<Vec<u8>> {
    let mut bytes = vec![0; HEADER_BYTES];
    rmp_serde::encode::write(&mut bytes, records).ok()?;
    let body = bytes.get(HEADER_BYTES..)?;
    if body.len() > MAX_BODY_BYTES {
        return None;
    }
    let length = u32::try_from(body.len()).ok()?;
    let sum = crc32fast::hash(body);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    Some(bytes)
}

/// Decodes the frame at offset `at`.
pub(super) fn read(bytes: &[u8], at: usize) -> Found {
    let rest = bytes.get(at..).unwrap_or_default();
    if rest.is_empty() {
        return Found::End;
    }
    let Some(body) = body(rest) else {
        return Found::Damage("the frame is incomplete or its checksum is wrong");
    };
    match rmp_serde::from_slice(body) {
        Ok(records) => Found::Frame {
            records,
            end: at + HEADER_BYTES + body.len(),
        },
        Err(_) => Found::Damage("the frame's checksum matches, but its records can't be decoded"),
    }
}

/// Returns whether a valid frame starts at any offset after `at`.
pub(super) fn any_after(bytes: &[u8], at: usize) -> bool {
    for start in at + 1..bytes.len() {
        if body(&bytes[start..]).is_some() {
            return true;
        }
    }
    false
}

/// Returns the body of the frame at the start of `bytes`, if its length and checksum are valid.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?);
    let sum = u32::from_le_bytes(bytes.get(4..HEADER_BYTES)?.try_into().ok()?);
    let length = usize::try_from(length).ok()?;
    if length == 0 || length > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    (crc32fast::hash(body) == sum).then_some(body)
}
