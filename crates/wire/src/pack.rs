//! The compressed form in which large documents are stored, replicated and sent.

use std::io;

use bytes::Bytes;

/// Favours speed: a document is packed by the process that takes it from its author, within a call.
const LEVEL: i32 = 1;
/// The first bytes of each packed document.
const MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];

/// The result of packing or unpacking a document.
pub type Result<T> = io::Result<T>;

/// Compresses a document.
///
/// # Errors
/// The compression library failed, for example for lack of memory.
pub fn pack(text: &[u8]) -> Result<Bytes> {
    zstd::bulk::compress(text, LEVEL).map(Bytes::from)
}

/// Restores a document of at most `max` bytes. Bytes that are not packed are returned as they are:
/// earlier releases stored documents that way.
///
/// # Errors
/// The bytes are damaged, or the document is longer than `max`.
pub fn unpack(bytes: &Bytes, max: usize) -> Result<Bytes> {
    if !bytes.starts_with(&MAGIC) {
        return Ok(bytes.clone());
    }
    zstd::bulk::decompress(bytes, max).map(Bytes::from)
}
