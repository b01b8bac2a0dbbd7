//! Sends one request to one target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::{Forward, Framing, NamedRequest, TargetHead, TargetVm};
use clem_policy::dispatch::GrantOutcome;
use http::{HeaderMap, Method, Request, StatusCode, response};
use hyper::body::Incoming;

use crate::{
    Node, Slot, Upload,
    pool::{ConnectError, Connection, connect},
};

/// A request to forward to a target.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The caller's headers, before hop-by-hop and reserved ones are replaced.
    pub headers: HeaderMap,
    /// The complete body; it is buffered so that the request can be retried.
    pub body: Bytes,
}

/// Frames of a response up to which it counts as hardly begun: a target that crashes when it begins
/// to answer may still send one.
const BEGUN_FRAMES: u32 = 1;

/// How long a target that crashes may go on accepting connections after it has closed the others.
const CRASH_TIME: Duration = Duration::from_millis(50);

/// Whether the process of a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts connections.
    Running,
    /// It refuses connections.
    Ended,
    /// It can't be reached.
    Unknown,
}

/// The result of one attempt.
pub enum Outcome {
    /// The target responded; the response body is still to be read.
    Answered(Box<Reply>),
    /// Nothing was sent, so the request has not run.
    NotSent(String),
    /// The target reports that it did not run the request.
    Refused(TargetHead),
    /// The request was sent and may have run.
    Lost(String),
}

/// A target's response whose body has not been read yet.
pub struct Reply {
    /// Status and headers.
    pub head: response::Parts,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// The body stream.
    pub body: Incoming,
    /// How much of the request has been written.
    pub upload: Arc<Upload>,
    /// The connection that the body is read from.
    connection: ReplyConnection,
}

impl Node {
    /// Sends a request to the slot's target and waits for the response head.
    pub async fn send(
        self: &Arc<Self>,
        slot: &mut Slot,
        outgoing: &OutgoingRequest,
        forward: &Forward<'_>,
    ) -> Outcome {
        let address = slot.target.address;
        if self.is_closed(&slot.target.id) {
            slot.set_ended(GrantOutcome::NotRun);
            return Outcome::NotSent("the target is leaving".to_owned());
        }
        loop {
            let kept = self.pool.take(self.now(), address);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => match connect(address).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        slot.set_ended(GrantOutcome::Unreachable);
                        return Outcome::NotSent(error.to_string());
                    }
                },
            };
            let request = match self.request(outgoing, forward) {
                Ok(request) => request,
                Err(error) => return Outcome::NotSent(error.to_string()),
            };
            // This future may be dropped while it waits; that must not count against the target.
            slot.set_ended(GrantOutcome::Lost);
            let used = connection.is_used();
            match connection.send(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let read = self.dialect.read_head(&head, forward.id);
                    if read.leaves && !read.replaced {
                        self.note_leaving(&slot.target);
                    }
                    if !is_answer(read.named, head.status, used) {
                        return self.reject_stray(slot, &read, head.status, forward.id);
                    }
                    return self.read_response(slot, read, head, body, connection);
                }
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    let reason = error.into_error().to_string();
                    if !unsent {
                        slot.set_ended(GrantOutcome::Broken);
                        return Outcome::Lost(reason);
                    }
                    slot.set_ended(GrantOutcome::Unreachable);
                    if fresh {
                        return Outcome::NotSent(reason);
                    }
                    // The target closed the pooled connection before the request was sent; retry on
                    // a new one.
                }
            }
        }
    }

    fn request(
        &self,
        outgoing: &OutgoingRequest,
        forward: &Forward<'_>,
    ) -> http::Result<Request<Bytes>> {
        let mut request = Request::builder()
            .method(outgoing.method.clone())
            .uri(&outgoing.path)
            .body(outgoing.body.clone())?;
        *request.headers_mut() = self.dialect.forward_headers(&outgoing.headers, forward);
        Ok(request)
    }

    /// Ends an attempt whose response can't be told to belong to the request, which may have run.
    fn reject_stray(
        &self,
        slot: &mut Slot,
        read: &TargetHead,
        status: StatusCode,
        id: &str,
    ) -> Outcome {
        metrics::counter!("clem_target_strays").increment(1);
        log::warn!(
            target = slot.target.id.as_str(), request = id, status = status.as_u16(),
            named = read.named.as_str(), not_run = read.not_run;
            "answer of another request"
        );
        slot.set_ended(GrantOutcome::Broken);
        Outcome::Lost("the answer belongs to another request".to_owned())
    }

    fn read_response(
        &self,
        slot: &mut Slot,
        read: TargetHead,
        head: response::Parts,
        body: Incoming,
        connection: Connection,
    ) -> Outcome {
        if !read.replaced {
            self.note_limit(slot.ticket(), &slot.target, read.limit);
        }
        if read.not_run {
            let ended = if read.replaced {
                GrantOutcome::Replaced
            } else {
                GrantOutcome::Full
            };
            slot.set_ended(ended);
            return Outcome::Refused(read);
        }
        Outcome::Answered(Box::new(Reply {
            framing: Framing::of(&head.headers, &body),
            head,
            body,
            upload: connection.upload(),
            connection: ReplyConnection {
                connection,
                closes: read.closes,
            },
        }))
    }

    /// Whether the process of a target still runs, as far as a new connection tells.
    /// `id` is the request whose response ended early.
    pub async fn probe(&self, target: &TargetVm, id: &str) -> Liveness {
        match connect(target.address).await {
            Ok(connection) => {
                self.pool.put(self.now(), target.address, connection);
                log::info!(target = target.id.as_str(), request = id; "target still accepts connections");
                Liveness::Running
            }
            Err(ConnectError::Refused) => {
                log::warn!(target = target.id.as_str(), request = id; "target crashed");
                Liveness::Ended
            }
            Err(ConnectError::Failed(error)) => {
                log::info!(
                    target = target.id.as_str(), request = id, error = error.as_str();
                    "target not reached"
                );
                Liveness::Unknown
            }
        }
    }

    /// Whether a target may have closed the connection of the request `id` after a complete response: the
    /// request was written before, and the target still accepts connections, so that it did not close this
    /// one by ending.
    pub async fn may_be_complete(&self, target: &TargetVm, id: &str, upload: &Upload) -> bool {
        if upload.is_cut() {
            log::warn!(
                target = target.id.as_str(), request = id;
                "response ended before its request was written"
            );
            return false;
        }
        tokio::time::sleep(CRASH_TIME).await;
        self.probe(target, id).await == Liveness::Running
    }

    /// Releases the slot of a response that ended early. If it had hardly begun, its request may be
    /// what crashed the target; `otherwise` is how it ended if the target didn't crash.
    pub fn end_early(
        self: &Arc<Self>,
        mut slot: Slot,
        id: &str,
        frames: u32,
        otherwise: GrantOutcome,
    ) {
        slot.set_ended(otherwise);
        if frames > BEGUN_FRAMES {
            return;
        }
        let node = Arc::clone(self);
        let id = id.to_owned();
        tokio::spawn(async move {
            match node.probe(&slot.target, &id).await {
                Liveness::Ended => slot.set_ended(GrantOutcome::Crashed),
                Liveness::Running | Liveness::Unknown if otherwise == GrantOutcome::Broken => {
                    slot.set_ended(GrantOutcome::Cut);
                }
                Liveness::Running | Liveness::Unknown => {}
            }
        });
    }

    /// Releases the slot of a response that is not read further.
    pub fn end_unread(&self, mut slot: Slot, frames: u32) {
        slot.set_ended(if frames > BEGUN_FRAMES {
            GrantOutcome::Answered
        } else {
            GrantOutcome::Lost
        });
    }

    /// Returns a connection to the pool after the response body was read completely, if it may be reused.
    pub fn recycle(&self, slot: &mut Slot, status: StatusCode, reply: ReplyConnection) {
        slot.set_ended(if status.is_success() {
            GrantOutcome::Answered
        } else {
            GrantOutcome::Failed
        });
        if !reply.closes {
            let address = slot.target.address;
            self.pool.put(self.now(), address, reply.connection);
        }
    }
}

/// Whether a response belongs to the request that was sent. One that names no request may be a copy of
/// an earlier response if the connection was `used` before; a success always names its request. No
/// request asks for another protocol, which is the only interim head that ends a response.
fn is_answer(named: NamedRequest, status: StatusCode, used: bool) -> bool {
    let belongs = match named {
        NamedRequest::Sent => true,
        NamedRequest::Other => false,
        NamedRequest::Unnamed => !used && !status.is_success(),
    };
    belongs && !status.is_informational()
}

/// The connection that a response comes from, closed when this is dropped.
pub struct ReplyConnection {
    connection: Connection,
    /// Whether the target closes it after the response.
    closes: bool,
}

impl Reply {
    /// Splits the response; the connection must be kept until the body has been read, and may be reused then.
    pub fn into_parts(self) -> (response::Parts, Incoming, ReplyConnection) {
        (self.head, self.body, self.connection)
    }
}
