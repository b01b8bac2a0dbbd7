//! The way from an answer to its caller.
//!
//! A stream goes out token by token; any other answer goes out when it is whole.

use bytes::{Bytes, BytesMut};
use clem_wire::dispatch::Header;
use tokio::sync::{mpsc, oneshot};

use crate::refusal::Refusal;

/// Events that may wait for a slow caller before the target has to wait.
const EVENTS_AHEAD: usize = 32;
/// The longest answer that is gathered, in bytes.
const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// How the answer to a caller begins.
#[derive(Debug)]
pub(crate) enum Start {
    /// A whole answer.
    Whole(Answer),
    /// A stream of server-sent events.
    Stream(mpsc::Receiver<Bytes>),
    /// A refusal.
    Refused(Refusal),
}

/// A whole answer of a target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Whether it is the first result of an earlier call.
    pub(crate) replayed: bool,
}

/// The caller is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

/// Where a token fits in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fit {
    /// It is the next one, and went out.
    Next,
    /// It went out before.
    Repeated,
    /// One before it is missing.
    Gap,
}

/// One caller's end of the way.
pub(crate) struct Relay {
    start: Option<oneshot::Sender<Start>>,
    events: Option<mpsc::Sender<Bytes>>,
    /// The place of the next token.
    next: u32,
    /// An answer that is being gathered.
    answer: Answer,
    gathered: BytesMut,
}

impl Relay {
    pub(crate) fn new() -> (Self, oneshot::Receiver<Start>) {
        let (start, receiver) = oneshot::channel();
        let relay = Self {
            start: Some(start),
            events: None,
            next: 0,
            answer: Answer::default(),
            gathered: BytesMut::new(),
        };
        (relay, receiver)
    }

    /// How many tokens went out.
    pub(crate) fn sent(&self) -> u32 {
        self.next
    }

    /// Whether a stream has begun.
    pub(crate) fn streams(&self) -> bool {
        self.events.is_some()
    }

    /// Waits until the caller is gone.
    pub(crate) async fn gone(&mut self) {
        if let Some(events) = &self.events {
            events.closed().await;
        } else if let Some(start) = &mut self.start {
            start.closed().await;
        }
    }

    /// Begins an answer that is gathered; what an earlier attempt brought is dropped.
    pub(crate) fn head(&mut self, status: u16, headers: Vec<Header>) {
        self.answer = Answer {
            status,
            headers,
            ..Answer::default()
        };
        self.gathered.clear();
    }

    /// Gathers a part of an answer; says whether there is room for it.
    pub(crate) fn data(&mut self, part: &[u8]) -> bool {
        if self.gathered.len() + part.len() > ANSWER_MAX {
            return false;
        }
        self.gathered.extend_from_slice(part);
        true
    }

    /// Sends a token on, unless it went out before or one before it is missing.
    pub(crate) async fn token(&mut self, index: u32, data: &str) -> Result<Fit, Gone> {
        if index < self.next {
            return Ok(Fit::Repeated);
        }
        if index > self.next {
            return Ok(Fit::Gap);
        }
        self.send(format!("data: {data}\n\n")).await?;
        self.next += 1;
        Ok(Fit::Next)
    }

    /// Ends a whole stream.
    pub(crate) async fn done(&mut self) -> Result<(), Gone> {
        self.send("data: [DONE]\n\n".to_owned()).await
    }

    /// The gathered answer, which is whole.
    pub(crate) fn take_answer(&mut self) -> Answer {
        self.answer.body = self.gathered.split().freeze();
        std::mem::take(&mut self.answer)
    }

    /// Gives a whole answer.
    pub(crate) fn whole(&mut self, answer: Answer) {
        if let Some(start) = self.start.take() {
            // A caller that is gone misses it.
            let _ = start.send(Start::Whole(answer));
        }
    }

    /// Ends with a refusal: as the answer, or as an error event in a stream that has begun.
    pub(crate) async fn refuse(&mut self, refusal: Refusal) {
        if let Some(start) = self.start.take() {
            let _ = start.send(Start::Refused(refusal));
            return;
        }
        metrics::counter!("clem_entry_cut_streams").increment(1);
        let event = format!("event: error\ndata: {}\n\n", refusal.json());
        let _ = self.send(event).await;
    }

    async fn send(&mut self, text: String) -> Result<(), Gone> {
        if let Some(start) = self.start.take() {
            let (sender, receiver) = mpsc::channel(EVENTS_AHEAD);
            if start.send(Start::Stream(receiver)).is_err() {
                return Err(Gone);
            }
            self.events = Some(sender);
        }
        let Some(events) = &self.events else {
            return Err(Gone);
        };
        events.send(Bytes::from(text)).await.map_err(|_| Gone)
    }
}
