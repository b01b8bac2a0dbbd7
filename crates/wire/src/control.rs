//! The client of the control processes, which finds their leader.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{Call, CallError, Client, ControlReply, LeaderView};

/// The pause before all control processes are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// How much longer than a call may be held a control process is waited for before the next one
/// is asked.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// A call that fails sooner than this has met a process that is starting or stopping, not one that
/// is frozen or cut off.
const AT_ONCE: Duration = Duration::from_millis(100);
/// How many processes are asked for the leader when a caller can't wait.
const LEADER_TRIES: usize = 3;

type Result<T> = std::result::Result<T, CallError>;

/// Sends calls to whichever control process leads.
///
/// Calls are idempotent, so one whose answer was lost is sent again until the time is over.
#[derive(Debug)]
pub struct ControlClient {
    client: Client,
    view: Mutex<LeaderView>,
}

impl ControlClient {
    /// A client of the control processes at `addresses`, which may follow later.
    pub fn new(client: Client, addresses: Vec<SocketAddr>) -> Self {
        Self {
            client,
            view: Mutex::new(LeaderView::new(addresses)),
        }
    }

    /// Replaces the addresses, as members come and go; an empty list changes nothing.
    pub fn set_addresses(&self, addresses: &[SocketAddr]) {
        self.view().set_known(addresses);
    }

    /// Adds addresses to those that are known.
    pub fn add_addresses(&self, addresses: &[SocketAddr]) {
        self.view().add_known(addresses);
    }

    /// Sends a call to the leader and waits for its reply, for `timeout` at the most.
    ///
    /// # Errors
    /// [`CallError::MayHaveArrived`] when the outcome is not known at the end of the time,
    /// [`CallError::NotSent`] when no control process was reached at all.
    pub async fn call<C: Call>(&self, call: &C, timeout: Duration) -> Result<C::Reply>
    where
        ControlReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let end = Instant::now() + timeout;
        let mut arrived = false;
        loop {
            let members = self.view().count();
            for _ in 0..=members {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(out_of_time(arrived));
                }
                let Some(address) = self.view().target() else {
                    return Err(out_of_time(arrived));
                };
                let patience = self.patience::<C>(timeout);
                let asked = Instant::now();
                match self.ask(address, call, left.min(patience)).await {
                    Ok(ControlReply::Done(reply)) => {
                        self.view().note_leads(address);
                        return Ok(reply);
                    }
                    Ok(ControlReply::NotLeader { leader }) => {
                        self.view().note_follows(Instant::now(), address, leader);
                    }
                    Ok(ControlReply::Unknown) => {
                        arrived = true;
                        self.view().note_follows(Instant::now(), address, None);
                    }
                    Err(error @ CallError::Refused { .. }) => return Err(error),
                    Err(error) => {
                        arrived |= !error.is_not_run();
                        if left < patience && Instant::now() >= end {
                            // It may only not have had the time to answer.
                            return Err(out_of_time(arrived));
                        }
                        self.note_error(asked, address);
                    }
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Sends a call to the presumed leader only, so that a caller who has another way out learns
    /// soon that no leader answers.
    ///
    /// # Errors
    /// The process that was taken for the leader is silent, or no process leads.
    pub async fn ask_leader<C: Call>(&self, call: &C, timeout: Duration) -> Result<C::Reply>
    where
        ControlReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let end = Instant::now() + timeout;
        for _ in 0..LEADER_TRIES {
            let left = end.saturating_duration_since(Instant::now());
            let Some(address) = self.view().target() else {
                return Err(out_of_time(false));
            };
            let asked = Instant::now();
            match self.ask(address, call, left).await {
                Ok(ControlReply::Done(reply)) => {
                    self.view().note_leads(address);
                    return Ok(reply);
                }
                Ok(ControlReply::NotLeader { leader }) => {
                    self.view().note_follows(Instant::now(), address, leader);
                }
                Ok(ControlReply::Unknown) => {
                    self.view().note_follows(Instant::now(), address, None);
                    return Err(out_of_time(true));
                }
                Err(error) => {
                    self.note_error(asked, address);
                    return Err(error);
                }
            }
        }
        Err(out_of_time(false))
    }

    /// A single control process is waited for as long as the call may take.
    fn patience<C: Call>(&self, timeout: Duration) -> Duration {
        if self.view().count() == 1 {
            return timeout;
        }
        C::MAX_HOLD + TRY_TIMEOUT
    }

    async fn ask<C: Call>(
        &self,
        address: SocketAddr,
        call: &C,
        timeout: Duration,
    ) -> Result<ControlReply<C::Reply>>
    where
        ControlReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let body =
            crate::codec::encode(call).map_err(|error| CallError::NotSent(error.to_string()))?;
        let reply = self
            .client
            .post(address, C::PATH, body.into(), timeout)
            .await?;
        crate::codec::decode(&reply).map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Moves on from a process that was asked at `asked` and did not answer.
    fn note_error(&self, asked: Instant, address: SocketAddr) {
        let now = Instant::now();
        if now.duration_since(asked) < AT_ONCE {
            self.view().note_failed(now, address);
        } else {
            self.view().note_silent(now, address);
        }
    }

    fn view(&self) -> MutexGuard<'_, LeaderView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn out_of_time(arrived: bool) -> CallError {
    if arrived {
        return CallError::MayHaveArrived("no control process answered in time".to_owned());
    }
    CallError::NotSent("no control leader was reached in time".to_owned())
}
