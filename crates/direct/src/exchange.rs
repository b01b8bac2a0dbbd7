//! One attempt at a target.

use std::sync::Arc;

use bytes::Bytes;
use clem_edge::{Forward, TargetHead};
use clem_policy::dispatch::GrantOutcome;
use http::{HeaderMap, Method, Request, response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    Node, Slot,
    pool::{Connection, connect},
};

/// A request as it is sent to a target.
#[derive(Debug, Clone)]
pub struct Shipment {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What is known after an attempt.
pub enum Outcome {
    /// The target answered.
    Answered(Box<Reply>),
    /// Nothing was sent; the request has not run.
    NotSent(String),
    /// The target says that it has not run the request.
    Refused(TargetHead),
    /// It was sent, and may have run.
    Lost(String),
}

/// A target's answer, whose body is still on its way.
pub struct Reply {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection, to be kept once the body was read to its end.
    connection: Option<Connection>,
}

impl Node {
    /// Sends a request to the target of a slot and waits for the head of the answer.
    pub async fn send(
        self: &Arc<Self>,
        slot: &mut Slot,
        shipment: &Shipment,
        forward: &Forward<'_>,
    ) -> Outcome {
        let address = slot.target.address;
        loop {
            let kept = self.pool.take(self.now(), address);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => match connect(address).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        slot.note(GrantOutcome::Unreachable);
                        return Outcome::NotSent(error);
                    }
                },
            };
            let request = match self.request(shipment, forward) {
                Ok(request) => request,
                Err(error) => return Outcome::NotSent(error.to_string()),
            };
            // Whoever asks may go away meanwhile; that says nothing of the target.
            slot.note(GrantOutcome::Lost);
            match connection.try_send_request(request).await {
                Ok(response) => return self.take_head(slot, response, connection, forward.id),
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    let reason = error.into_error().to_string();
                    if !unsent {
                        slot.note(GrantOutcome::Broken);
                        return Outcome::Lost(reason);
                    }
                    slot.note(GrantOutcome::Unreachable);
                    if fresh {
                        return Outcome::NotSent(reason);
                    }
                    // The target had closed the kept connection; a new one may do.
                }
            }
        }
    }

    fn request(
        &self,
        shipment: &Shipment,
        forward: &Forward<'_>,
    ) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(shipment.method.clone())
            .uri(&shipment.path)
            .body(Full::new(shipment.body.clone()))?;
        *request.headers_mut() = self.dialect.forward_headers(&shipment.headers, forward);
        Ok(request)
    }

    fn take_head(
        &self,
        slot: &mut Slot,
        response: http::Response<Incoming>,
        connection: Connection,
        id: &str,
    ) -> Outcome {
        let (head, body) = response.into_parts();
        let read = self.dialect.read_head(&head, id);
        if !read.matches {
            slot.note(GrantOutcome::Broken);
            return Outcome::Lost("the answer belongs to another request".to_owned());
        }
        if read.not_run {
            let ended = if read.replaced {
                GrantOutcome::Replaced
            } else {
                GrantOutcome::Full
            };
            slot.note(ended);
            return Outcome::Refused(read);
        }
        Outcome::Answered(Box::new(Reply {
            head,
            body,
            connection: (!read.closes).then_some(connection),
        }))
    }

    /// Keeps the connection of an answer whose body was read to its end.
    pub fn keep(&self, slot: &mut Slot, connection: Option<Kept>) {
        slot.note(GrantOutcome::Answered);
        if let Some(Kept(connection)) = connection {
            self.pool.put(self.now(), slot.target.address, connection);
        }
    }
}

/// The connection of an answer.
pub struct Kept(Connection);

impl Reply {
    /// Takes the answer apart: the connection is kept once the body was read to its end.
    pub fn into_parts(self) -> (response::Parts, Incoming, Option<Kept>) {
        (self.head, self.body, self.connection.map(Kept))
    }
}
