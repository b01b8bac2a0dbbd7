//! Answers requests for unknown paths and methods.

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, catcher::Catcher, http::StatusCode,
};

use crate::{body, refusal::Refusal};

/// Replaces salvo's default error pages by refusals.
pub(crate) fn catcher() -> Catcher {
    Catcher::new(Missing)
}

struct Missing;

#[async_trait]
impl Handler for Missing {
    async fn handle(
        &self,
        req: &mut Request,
        _: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        body::drain(req.take_body());
        let status = res.status_code.unwrap_or(StatusCode::NOT_FOUND);
        let (code, message) = match status {
            StatusCode::METHOD_NOT_ALLOWED => (
                "method_not_allowed",
                "this path does not support the method",
            ),
            _ => ("not_found", "there is no resource at this path"),
        };
        Refusal::not_run(status, code, message).render(res);
        ctrl.skip_rest();
    }
}
