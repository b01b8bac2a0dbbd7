//! Events are split correctly wherever the stream is cut into chunks.

use clem_direct::EventBuffer;

const STREAM: &str = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\ndata: c\ndata: d\n\nid: 9";

#[test]
fn events_are_whole_whatever_the_pieces() {
    for size in 1..STREAM.len() {
        let mut events = EventBuffer::default();
        let mut seen = Vec::new();
        for piece in STREAM.as_bytes().chunks(size) {
            events.push(piece);
            while let Some(event) = events.next_event() {
                seen.push((event.id, event.data));
            }
        }
        let text = |data: &str| Some(data.to_owned());
        let whole = [
            (Some(0), text("a")),
            (Some(1), text("b")),
            (None, text("c\nd")),
        ];
        assert_eq!(seen, whole, "in pieces of {size} bytes");
        assert!(events.holds_part(), "an event that was begun is left");
    }
}

#[test]
fn an_event_that_never_ends_is_too_long() {
    let mut events = EventBuffer::default();
    let piece = [b'a'; 64 * 1024];
    let mut pushed = 0;
    while !events.is_too_long() {
        events.push(&piece);
        assert!(events.next_event().is_none());
        pushed += piece.len();
        assert!(pushed <= 1024 * 1024, "{pushed} bytes are buffered");
    }
}

#[test]
fn blank_lines_and_comments_are_no_part_of_an_event() {
    for (rest, holds) in [
        ("", false),
        ("\n", false),
        ("\r\n", false),
        (": still here\n", false),
        ("\n: still", false),
        ("id: 2", true),
        ("id: 2\ndata: b\n", true),
        (": still here\ndata: b\n", true),
    ] {
        let mut events = EventBuffer::default();
        events.push(format!("id: 1\ndata: a\n\n{rest}").as_bytes());
        assert!(events.next_event().is_some());
        assert!(events.next_event().is_none(), "{rest:?}");
        assert_eq!(events.holds_part(), holds, "{rest:?}");
    }
}
