//! Relays answers to callers: a stream token by token, any other answer once it is complete.

use bytes::{Bytes, BytesMut};
use clem_wire::dispatch::Header;
use tokio::sync::{mpsc, oneshot};

use crate::refusal::Refusal;

/// Events that are buffered for a slow caller before backpressure reaches the target.
const EVENT_BUFFER: usize = 32;
/// Maximum size of an answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The start of the answer to a caller.
#[derive(Debug)]
pub(crate) enum Start {
    /// A complete answer.
    Complete(Answer),
    /// A stream of server-sent events.
    Stream(mpsc::Receiver<Bytes>),
    /// An error answer.
    Refused(Refusal),
}

/// A complete answer of a target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Whether it is the recorded result of an earlier call.
    pub(crate) replayed: bool,
}

/// The caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Disconnected;

/// The position of a received token in the relayed stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenPosition {
    /// The next token; it was sent to the caller.
    Next,
    /// A token that was sent before.
    Duplicate,
    /// An earlier token is missing.
    Gap,
}

/// The sending side of one caller's answer.
pub(crate) struct Relay {
    start: Option<oneshot::Sender<Start>>,
    events: Option<mpsc::Sender<Bytes>>,
    /// Index of the next token.
    next: u32,
    /// Status and headers of an answer that is buffered; its body is in `buffered`.
    answer: Answer,
    buffered: BytesMut,
}

impl Relay {
    pub(crate) fn new() -> (Self, oneshot::Receiver<Start>) {
        let (start, receiver) = oneshot::channel();
        let relay = Self {
            start: Some(start),
            events: None,
            next: 0,
            answer: Answer::default(),
            buffered: BytesMut::new(),
        };
        (relay, receiver)
    }

    /// The number of tokens that were sent to the caller.
    pub(crate) fn tokens_sent(&self) -> u32 {
        self.next
    }

    /// Whether a stream has begun.
    pub(crate) fn is_streaming(&self) -> bool {
        self.events.is_some()
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn caller_gone(&mut self) {
        if let Some(events) = &self.events {
            events.closed().await;
        } else if let Some(start) = &mut self.start {
            start.closed().await;
        }
    }

    /// Begins a buffered answer; data of an earlier attempt is discarded.
    pub(crate) fn begin_answer(&mut self, status: u16, headers: Vec<Header>) {
        self.answer = Answer {
            status,
            headers,
            ..Answer::default()
        };
        self.buffered.clear();
    }

    /// Appends a part of a buffered answer; false if it would exceed the maximum size.
    pub(crate) fn append(&mut self, part: &[u8]) -> bool {
        if self.buffered.len() + part.len() > MAX_ANSWER_BYTES {
            return false;
        }
        self.buffered.extend_from_slice(part);
        true
    }

    /// Sends a token to the caller, unless it is a duplicate or an earlier one is missing.
    pub(crate) async fn send_token(
        &mut self,
        index: u32,
        data: &str,
    ) -> Result<TokenPosition, Disconnected> {
        if index < self.next {
            return Ok(TokenPosition::Duplicate);
        }
        if index > self.next {
            return Ok(TokenPosition::Gap);
        }
        self.send(format!("data: {data}\n\n")).await?;
        self.next += 1;
        Ok(TokenPosition::Next)
    }

    /// Ends a complete stream.
    pub(crate) async fn finish_stream(&mut self) -> Result<(), Disconnected> {
        self.send("data: [DONE]\n\n".to_owned()).await
    }

    /// Takes the buffered answer, which must be complete.
    pub(crate) fn take_answer(&mut self) -> Answer {
        self.answer.body = self.buffered.split().freeze();
        std::mem::take(&mut self.answer)
    }

    /// Sends a complete answer.
    pub(crate) fn send_answer(&mut self, answer: Answer) {
        if let Some(start) = self.start.take() {
            // The send fails only if the caller has disconnected.
            let _ = start.send(Start::Complete(answer));
        }
    }

    /// Sends a refusal: as the answer, or as an error event in a stream that has begun.
    pub(crate) async fn refuse(&mut self, refusal: Refusal) {
        if let Some(start) = self.start.take() {
            let _ = start.send(Start::Refused(refusal));
            return;
        }
        metrics::counter!("clem_entry_cut_streams").increment(1);
        let event = format!("event: error\ndata: {}\n\n", refusal.json());
        let _ = self.send(event).await;
    }

    async fn send(&mut self, text: String) -> Result<(), Disconnected> {
        if let Some(start) = self.start.take() {
            let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
            if start.send(Start::Stream(receiver)).is_err() {
                return Err(Disconnected);
            }
            self.events = Some(sender);
        }
        let Some(events) = &self.events else {
            return Err(Disconnected);
        };
        events
            .send(Bytes::from(text))
            .await
            .map_err(|_| Disconnected)
    }
}
