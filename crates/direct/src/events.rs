//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// A complete event, including the blank line that terminates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The raw bytes, forwarded unchanged.
    pub bytes: Bytes,
    /// The numeric `id` field; `None` if it is absent or not a number.
    pub id: Option<u64>,
    /// The `data` lines joined with line feeds; `None` if there are none.
    pub data: Option<String>,
}

impl Event {
    /// Whether it has nothing but comments and empty lines, as targets send to keep a connection open.
    pub fn is_comment(&self) -> bool {
        is_comment(&self.bytes)
    }
}

/// Whether all lines are empty or comments.
fn is_comment(bytes: &[u8]) -> bool {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

/// Maximum size of an event, in bytes; targets in trouble may send one that never ends.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Size of an event whose memory isn't kept for the next one, in bytes.
const EVENT_BYTES_KEPT: usize = 32 * 1024;

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    rest: BytesMut,
    /// Offset of the line at which the search for the end of the next event goes on.
    searched: usize,
}

impl EventBuffer {
    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Discards a partial event, for when the stream is resumed from another target.
    pub fn clear(&mut self) {
        self.rest.clear();
        self.searched = 0;
    }

    /// Whether the partial event that is buffered is longer than any event may be. To be asked after
    /// [`next_event`](Self::next_event) has returned all complete ones.
    pub fn is_too_long(&self) -> bool {
        self.rest.len() > EVENT_BYTES_MAX
    }

    /// Bytes of the partial event that is buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Bytes of memory that the buffer takes.
    pub fn capacity_bytes(&self) -> usize {
        self.rest.capacity()
    }

    /// Whether a part of an event is buffered. Blank lines and comments are none.
    pub fn holds_part(&self) -> bool {
        !is_comment(&self.rest)
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = match event_end(&self.rest, self.searched) {
            Ok(end) => end,
            Err(searched) => {
                self.searched = searched;
                return None;
            }
        };
        self.searched = 0;
        let bytes = self.rest.split_to(end).freeze();
        if end > EVENT_BYTES_KEPT {
            // The rest would keep the memory of the event.
            self.rest = BytesMut::from(&self.rest[..]);
        }
        let text = String::from_utf8_lossy(&bytes);
        let mut id = None;
        let mut data: Option<String> = None;
        for line in text.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            if name == "id" {
                id = value.trim().parse().ok();
            }
            if name != "data" {
                continue;
            }
            match &mut data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => data = Some(value.to_owned()),
            }
        }
        Some(Event { bytes, id, data })
    }
}

/// Returns the offset just past the first complete event, searched for from the line at `start`.
///
/// # Errors
/// There is no complete event; the value is where to go on when there are more bytes.
fn event_end(bytes: &[u8], mut start: usize) -> Result<usize, usize> {
    while let Some(found) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line_end = start + found + 1;
        match (bytes.get(line_end), bytes.get(line_end + 1)) {
            (Some(b'\n'), _) => return Ok(line_end + 1),
            (Some(b'\r'), Some(b'\n')) => return Ok(line_end + 2),
            // The next bytes may end the event.
            (None, _) | (Some(b'\r'), None) => return Err(start + found),
            (Some(_), _) => start = line_end,
        }
    }
    Err(bytes.len())
}
