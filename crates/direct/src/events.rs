//! Splitting a stream into whole events.

use bytes::{Bytes, BytesMut};

/// A whole event, with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its data, lines joined by line feeds.
    pub data: Option<String>,
}

/// The part of a stream that is not a whole event yet.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
}

impl Events {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Drops what is not a whole event, when the stream goes on elsewhere.
    pub fn clear(&mut self) {
        self.rest.clear();
    }

    /// Whether nothing is left of an event that was begun.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes the next whole event.
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

/// Where the first whole event ends.
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
