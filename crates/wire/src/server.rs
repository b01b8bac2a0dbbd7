//! The server side of calls, for salvo.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{
        StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue},
    },
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{Call, FleetSecret, MAX_MESSAGE_BYTES, SECRET_HEADER, codec};

/// Middleware for internal routes that rejects requests without the fleet secret.
#[derive(Debug)]
pub struct Guard {
    secret: FleetSecret,
}

impl Guard {
    /// Creates a guard that requires `secret`.
    pub fn new(secret: FleetSecret) -> Self {
        Self { secret }
    }
}

#[async_trait]
impl Handler for Guard {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let header = req.headers().get(SECRET_HEADER);
        let authorized = header.is_some_and(|value| self.secret.matches(value.as_bytes()));
        if authorized {
            return;
        }
        res.status_code(StatusCode::FORBIDDEN);
        res.render("the fleet secret is missing or wrong");
        ctrl.skip_rest();
    }
}

/// Decodes the call in a request. If the body is too long or malformed, writes an error response
/// and returns none.
pub async fn read_call<C: Call>(req: &mut Request, res: &mut Response) -> Option<C> {
    read_message(req, res).await
}

/// As [`read_call`], for a message whose reply is not a single one.
pub async fn read_message<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let Some(body) = read_body(req).await else {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        res.render(format!(
            "the message body can't be read or exceeds {MAX_MESSAGE_BYTES} bytes"
        ));
        return None;
    };
    match codec::decode(&body) {
        Ok(call) => Some(call),
        Err(error) => {
            res.status_code(StatusCode::BAD_REQUEST);
            res.render(error.to_string());
            None
        }
    }
}

/// Reads the body of a request, which is not kept with the request; none if it is too long or can't be read.
async fn read_body(req: &mut Request) -> Option<BytesMut> {
    let mut body = req.take_body();
    let length = usize::try_from(body.size_hint().lower()).ok()?;
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let wanted = read.len() + data.len();
        if wanted > MAX_MESSAGE_BYTES {
            return None;
        }
        // One allocation where the length is known, but not before bytes of it arrive.
        if wanted > read.capacity() {
            read.reserve(wanted.max(length) - read.len());
        }
        read.extend_from_slice(&data);
    }
    Some(read)
}

/// Length of a message by its head; the most that is read if it has none.
pub fn message_bytes(req: &Request) -> u64 {
    let length = req.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
    length.unwrap_or(u64::MAX).min(MAX_MESSAGE_BYTES as u64)
}

/// Reads the body of a request without keeping it, as far as a message may be long.
pub async fn discard_body(req: &mut Request) {
    let mut body = req.take_body();
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await
        && read <= MAX_MESSAGE_BYTES
    {
        read += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// Writes the reply to a call as the response.
pub fn answer<T: Serialize>(res: &mut Response, reply: &T) {
    match codec::encode(reply) {
        Ok(bytes) => {
            res.headers_mut().insert(
                CONTENT_TYPE,
                HeaderValue::from_static("application/msgpack"),
            );
            if res.write_body(bytes).is_err() {
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
        Err(error) => {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            res.render(error.to_string());
        }
    }
}
