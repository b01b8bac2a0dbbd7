//! Refuses requests while this process has no lease on the rules or is at its limit.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::refuse;
use crate::{body, caller::Caller, entry::Entry, refusal::Refusal};

/// The most requests in progress at once; further ones are refused immediately.
const MAX_RUNNING: usize = 4096;
/// Retry delay for callers while there is no lease, in milliseconds.
const LEASE_RETRY_MS: u32 = 1000;
/// Retry delay for callers at the request limit, in milliseconds.
const BUSY_RETRY_MS: u32 = 250;

/// The second filter: checks the lease on the rules and the number of running requests.
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
        match self.entry.start(MAX_RUNNING) {
            Some(running) => {
                depot.insert_typed(running);
            }
            None => {
                body::drain(req.take_body());
                let retry_ms = self.entry.retry_ms(BUSY_RETRY_MS);
                let refusal = Refusal::unavailable("busy", "too many requests in progress");
                refuse(res, ctrl, &refusal.retry(retry_ms));
            }
        }
    }
}

impl Admit {
    /// Open routes need no current lease: requests without a key pass once rules have been loaded.
    fn check(&self, depot: &Depot) -> Result<(), Refusal> {
        let has_key = depot
            .get_typed::<Caller>()
            .is_ok_and(|caller| caller.key.is_some());
        let has_rules = self.entry.view().lease.is_some();
        if self.entry.has_lease() || (has_rules && !has_key) {
            return Ok(());
        }
        let refusal =
            Refusal::unavailable("no_lease", "this entry has no valid lease on the rules");
        Err(refusal.retry(self.entry.retry_ms(LEASE_RETRY_MS)))
    }
}
