//! The server side of calls, for salvo.

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{StatusCode, header::CONTENT_TYPE, header::HeaderValue},
};
use serde::Serialize;

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
    let Ok(body) = req.payload_with_max_size(MAX_MESSAGE_BYTES).await else {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        res.render(format!(
            "the message body can't be read or exceeds {MAX_MESSAGE_BYTES} bytes"
        ));
        return None;
    };
    match codec::decode(body) {
        Ok(call) => Some(call),
        Err(error) => {
            res.status_code(StatusCode::BAD_REQUEST);
            res.render(error.to_string());
            None
        }
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
