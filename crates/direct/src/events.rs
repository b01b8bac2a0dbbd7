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

/// Buffers the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    rest: BytesMut,
}

impl EventBuffer {
    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Discards a partial event, for when the stream is resumed from another target.
    pub fn clear(&mut self) {
        self.rest.clear();
    }

    /// Whether no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.rest)?;
        let bytes = self.rest.split_to(end).freeze();
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

/// Returns the offset just past the first complete event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(found) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line_end = start + found + 1;
        let blank = match bytes.get(line_end) {
            Some(b'\n') => Some(line_end + 1),
            Some(b'\r') if bytes.get(line_end + 1) == Some(&b'\n') => Some(line_end + 2),
            Some(_) => None,
            None => return None,
        };
        if blank.is_some() {
            return blank;
        }
        start = line_end;
    }
    None
}
