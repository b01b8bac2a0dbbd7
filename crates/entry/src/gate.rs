//! Rate limiting: requests wait here for a token of their customer's rate.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_policy::{
    bucket::Granted,
    limiter::{LeaderCall, Limiter, Outcome, RateDecision},
};
use clem_types::CustomerId;
use clem_wire::online::{TakeTokens, TakeTokensReply, TokenRequest};
use tokio::sync::{Notify, oneshot};

use crate::entry::Entry;

/// Timeout of one call to the leader; afterwards the waiting requests are retried or refused.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval for checking whether tokens must be requested or idle ones returned.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The rate tokens that this entry holds, and the requests that wait for one.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    inner: Mutex<Inner>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    limiter: Limiter,
    waiting: HashMap<CustomerId, VecDeque<oneshot::Sender<RateDecision>>>,
}

impl Gate {
    /// Takes a token, waiting for one call to the leader if none is at hand.
    ///
    /// # Errors
    /// The time until the next token, in milliseconds.
    pub(crate) async fn admit(&self, entry: &Entry, customer: &CustomerId) -> Result<(), u32> {
        let receiver = {
            let mut inner = self.lock();
            match inner.limiter.admit(entry.now(), customer) {
                RateDecision::Admitted => None,
                RateDecision::Refused { retry_ms } => return Err(retry_ms),
                RateDecision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    inner
                        .waiting
                        .entry(customer.clone())
                        .or_default()
                        .push_back(sender);
                    Some(receiver)
                }
            }
        };
        self.wake.notify_one();
        let Some(receiver) = receiver else {
            return Ok(());
        };
        match receiver.await {
            Ok(RateDecision::Refused { retry_ms }) => Err(retry_ms),
            Ok(RateDecision::Admitted | RateDecision::Wait) => Ok(()),
            Err(_) => Err(1),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests tokens from the leader while the process runs; one call at a time.
pub(crate) async fn run(entry: Arc<Entry>) {
    let mut sequence = 0;
    loop {
        if entry.gate.lock().limiter.is_quiet() {
            entry.gate.wake.notified().await;
        }
        let call = entry.gate.lock().limiter.next_call(entry.now());
        let Some(call) = call else {
            let _ = tokio::time::timeout(POLL_INTERVAL, entry.gate.wake.notified()).await;
            continue;
        };
        sequence += 1;
        request_tokens(&entry, sequence, &call).await;
    }
}

async fn request_tokens(entry: &Entry, sequence: u64, call: &LeaderCall) {
    let request = TakeTokens {
        holder: entry.holder.id.clone(),
        incarnation: entry.holder.incarnation,
        sequence,
        wants: call
            .requests
            .iter()
            .map(|request| TokenRequest {
                customer: request.customer.clone(),
                tokens: request.tokens,
                returned: request.returned,
                held: request.held,
            })
            .collect(),
    };
    let reply = entry.control.call(&request, CALL_TIMEOUT).await;
    let mut inner = entry.gate.lock();
    let outcomes = match reply {
        Ok(reply) => {
            let ttl = ttl(&reply);
            let grants = grants(&reply);
            inner.limiter.answered(entry.now(), call, &grants, ttl)
        }
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "rate token call to control failed");
            inner.limiter.failed(entry.now(), call)
        }
    };
    for outcome in outcomes {
        inner.notify(&outcome);
    }
}

fn ttl(reply: &TakeTokensReply) -> Duration {
    let ms = reply.grants.iter().map(|grant| grant.expires_ms).min();
    Duration::from_millis(ms.unwrap_or_default().into())
}

fn grants(reply: &TakeTokensReply) -> Vec<Granted> {
    reply
        .grants
        .iter()
        .map(|grant| Granted {
            tokens: grant.tokens,
            retry_ms: grant.retry_ms,
            settling: grant.settling,
        })
        .collect()
}

impl Inner {
    /// Wakes the waiting requests of a customer, oldest first.
    fn notify(&mut self, outcome: &Outcome) {
        let Some(waiting) = self.waiting.get_mut(&outcome.customer) else {
            return;
        };
        for number in 0..outcome.admitted + outcome.refused {
            let Some(sender) = waiting.pop_front() else {
                break;
            };
            let decision = if number < outcome.admitted {
                RateDecision::Admitted
            } else {
                RateDecision::Refused {
                    retry_ms: outcome.retry_ms,
                }
            };
            // If the caller has disconnected, its token counts as spent.
            let _ = sender.send(decision);
        }
        if waiting.is_empty() {
            self.waiting.remove(&outcome.customer);
        }
    }
}
