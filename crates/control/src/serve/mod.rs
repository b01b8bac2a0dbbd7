//! The calls that this process answers, one module for each area.

mod admin;
mod batch;
mod online;
mod order_check;
mod route_check;
mod sync;

use std::{future::Future, marker::PhantomData, sync::Arc};

use clem_wire::{Call, answer, read_call};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::control::{Control, Result};

/// A call that the control leader answers.
trait Serve: Call + Send + 'static {
    /// Answers the call.
    fn serve(self, control: &Control) -> impl Future<Output = Result<Self::Reply>> + Send;
}

/// The paths of all calls.
pub fn routes(control: &Arc<Control>) -> Vec<Router> {
    let mut routes = admin::routes(control);
    routes.extend(batch::routes(control));
    routes.extend(online::routes(control));
    routes.extend(sync::routes(control));
    routes
}

/// The path of one call.
fn route<C: Serve>(control: &Arc<Control>) -> Router
where
    C::Reply: Send,
{
    let path = C::PATH.trim_start_matches('/');
    Router::with_path(path).post(Endpoint::<C> {
        control: Arc::clone(control),
        call: PhantomData,
    })
}

/// Reads a call, has it answered, and writes the reply.
struct Endpoint<C> {
    control: Arc<Control>,
    call: PhantomData<fn() -> C>,
}

#[async_trait]
impl<C: Serve> Handler for Endpoint<C>
where
    C::Reply: Send,
{
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Some(call) = read_call::<C>(req, res).await else {
            return;
        };
        let result = call.serve(&self.control).await;
        answer(res, &self.control.reply(result));
    }
}
