//! The serving side of calls, for salvo.

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{StatusCode, header::CONTENT_TYPE, header::HeaderValue},
};
use serde::Serialize;

use crate::{Call, FleetSecret, MAX_MESSAGE_BYTES, SECRET_HEADER, codec};

/// Refuses every request that does not show the fleet secret; put before internal routes.
#[derive(Debug)]
pub struct Guard {
    secret: FleetSecret,
}

impl Guard {
    /// A guard that asks for `secret`.
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
        let shown = req.headers().get(SECRET_HEADER);
        let admitted = shown.is_some_and(|value| self.secret.admits(value.as_bytes()));
        if admitted {
            return;
        }
        res.status_code(StatusCode::FORBIDDEN);
        res.render("the fleet secret is missing or wrong");
        ctrl.skip_rest();
    }
}

/// Reads the call in a request; on a message that is too long or malformed it sets the refusal
/// in `res` and returns nothing.
pub async fn read_call<C: Call>(req: &mut Request, res: &mut Response) -> Option<C> {
    let Ok(body) = req.payload_with_max_size(MAX_MESSAGE_BYTES).await else {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        res.render("the message can't be read or is too long");
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

/// Answers a call with `reply`.
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
