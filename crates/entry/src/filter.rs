//! The filter chain of every request: authenticate, admit, read, rate limit.

mod admit;
mod authenticate;
mod limit;
mod read_chat;
mod read_service;

use salvo::{Depot, FlowCtrl, Response};

use crate::refusal::Refusal;

pub(crate) use admit::Admit;
pub(crate) use authenticate::Authenticate;
pub(crate) use limit::Limit;
pub(crate) use read_chat::{ReadChat, idempotency_key};
pub(crate) use read_service::ReadService;

/// Answers with a refusal and skips the remaining filters.
pub(crate) fn refuse(res: &mut Response, ctrl: &mut FlowCtrl, refusal: &Refusal) {
    refusal.render(res);
    ctrl.skip_rest();
}

/// Removes a value that an earlier filter stored in the depot.
pub(crate) fn take<T: Send + Sync + 'static>(depot: &mut Depot) -> Option<T> {
    depot.remove_typed::<T>().ok()
}
