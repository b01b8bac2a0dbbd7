//! Refuses what this process can't serve now.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::refuse;
use crate::{body, caller::Caller, entry::Entry, refusal::Refusal};

/// Requests that may run at once; a further one is refused quickly.
const RUNNING_MAX: usize = 4096;
/// When to come back to an entry without a lease, in milliseconds.
const LEASE_RETRY_MS: u32 = 1000;
/// When to come back to a busy entry, in milliseconds.
const BUSY_RETRY_MS: u32 = 250;

/// The second filter: asks for a lease, and for room.
pub(crate) struct Admit {
    pub(crate) entry: Arc<Entry>,
}

#[async_trait]
impl Handler for Admit {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        if let Err(refusal) = self.check(depot) {
            body::drain(req.take_body());
            refuse(res, ctrl, &refusal);
            return;
        }
        match self.entry.start(RUNNING_MAX) {
            Some(running) => {
                depot.insert_typed(running);
            }
            None => {
                body::drain(req.take_body());
                let retry_ms = self.entry.retry_ms(BUSY_RETRY_MS);
                let refusal = Refusal::unavailable("busy", "too many requests run here");
                refuse(res, ctrl, &refusal.retry(retry_ms));
            }
        }
    }
}

impl Admit {
    fn check(&self, depot: &Depot) -> Result<(), Refusal> {
        let keyed = depot
            .get_typed::<Caller>()
            .is_ok_and(|caller| caller.key.is_some());
        let read = self.entry.view().lease.is_some();
        if self.entry.leased() || (read && !keyed) {
            return Ok(());
        }
        let refusal = Refusal::unavailable("no_lease", "this entry has no lease on the rules now");
        Err(refusal.retry(self.entry.retry_ms(LEASE_RETRY_MS)))
    }
}
