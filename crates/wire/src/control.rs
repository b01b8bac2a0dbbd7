//! The client of the control processes, which finds their leader.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{Call, CallError, Client, ControlReply};

/// The pause before all control processes are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// How much longer than a call may be held a control process is waited for before the next one
/// is asked.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a process that was silent is not taken for the leader on another one's word.
const SILENT_SPAN: Duration = Duration::from_millis(1500);

/// How many processes are asked for the leader when a caller can't wait.
const LEADER_TRIES: usize = 3;

type Result<T> = std::result::Result<T, CallError>;

/// Sends calls to whichever control process leads.
///
/// Calls are idempotent, so one whose answer was lost is sent again until the time is over.
#[derive(Debug)]
pub struct ControlClient {
    client: Client,
    addresses: Mutex<Vec<SocketAddr>>,
    view: Mutex<View>,
}

/// What is known of the control processes.
#[derive(Debug, Clone, Copy)]
struct View {
    leader: Leader,
    /// A process that did not answer, and until when the others' word on it does not count: they
    /// may not have noticed yet that it is frozen or cut off.
    silent: Option<(SocketAddr, Instant)>,
}

/// Which control process is asked next.
#[derive(Debug, Clone, Copy)]
enum Leader {
    /// The process at this place of the list.
    Listed(usize),
    /// A process that the settings don't list, named by another one.
    Named(SocketAddr),
}

impl ControlClient {
    /// A client of the control processes at `addresses`, which may follow later.
    pub fn new(client: Client, addresses: Vec<SocketAddr>) -> Self {
        Self {
            client,
            addresses: Mutex::new(addresses),
            view: Mutex::new(View {
                leader: Leader::Listed(0),
                silent: None,
            }),
        }
    }

    /// Replaces the addresses, as members come and go; an empty list changes nothing.
    pub fn set_addresses(&self, addresses: &[SocketAddr]) {
        let mut known = self.addresses();
        if addresses.is_empty() || *known == addresses {
            return;
        }
        let mut view = self.view();
        let asked = match view.leader {
            Leader::Listed(place) => known.get(place).copied(),
            Leader::Named(address) => Some(address),
        };
        let place = addresses.iter().position(|one| Some(*one) == asked);
        view.leader = Leader::Listed(place.unwrap_or_default());
        *known = addresses.to_vec();
    }

    fn addresses(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
            let members = self.addresses().len();
            for _ in 0..=members {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(out_of_time(arrived));
                }
                let Some(address) = self.next_address() else {
                    return Err(out_of_time(arrived));
                };
                match self
                    .ask(address, call, left.min(self.patience::<C>(timeout)))
                    .await
                {
                    Ok(ControlReply::Done(reply)) => return Ok(reply),
                    Ok(ControlReply::NotLeader { leader }) => self.follow(leader),
                    Ok(ControlReply::Unknown) => {
                        arrived = true;
                        self.follow(None);
                    }
                    Err(error @ CallError::Refused { .. }) => return Err(error),
                    Err(error) => {
                        arrived |= !error.is_not_run();
                        self.note_silent(address);
                        self.follow(None);
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
            let Some(address) = self.next_address() else {
                return Err(out_of_time(false));
            };
            match self.ask(address, call, left).await {
                Ok(ControlReply::Done(reply)) => return Ok(reply),
                Ok(ControlReply::NotLeader { leader }) => self.follow(leader),
                Ok(ControlReply::Unknown) => {
                    self.follow(None);
                    return Err(out_of_time(true));
                }
                Err(error) => {
                    self.note_silent(address);
                    self.follow(None);
                    return Err(error);
                }
            }
        }
        Err(out_of_time(false))
    }

    /// A single control process is waited for as long as the call may take.
    fn patience<C: Call>(&self, timeout: Duration) -> Duration {
        if self.addresses().len() == 1 {
            return timeout;
        }
        C::HELD + TRY_TIMEOUT
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

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The process to ask; none as long as no address is known.
    fn next_address(&self) -> Option<SocketAddr> {
        let addresses = self.addresses();
        match self.view().leader {
            Leader::Listed(place) => addresses.get(place % addresses.len().max(1)).copied(),
            Leader::Named(address) => Some(address),
        }
    }

    fn note_silent(&self, address: SocketAddr) {
        self.view().silent = Some((address, Instant::now() + SILENT_SPAN));
    }

    fn follow(&self, named: Option<SocketAddr>) {
        let addresses = self.addresses();
        let mut view = self.view();
        let now = Instant::now();
        let silent = view.silent.filter(|(_, until)| now < *until);
        let named = named.filter(|named| silent.is_none_or(|(address, _)| address != *named));
        let Some(named) = named else {
            view.leader = match view.leader {
                Leader::Listed(place) => Leader::Listed((place + 1) % addresses.len().max(1)),
                Leader::Named(_) => Leader::Listed(0),
            };
            return;
        };
        view.leader = match addresses.iter().position(|address| *address == named) {
            Some(place) => Leader::Listed(place),
            None => Leader::Named(named),
        };
    }
}

fn out_of_time(arrived: bool) -> CallError {
    if arrived {
        return CallError::MayHaveArrived("no control process answered in time".to_owned());
    }
    CallError::NotSent("no control leader was reached in time".to_owned())
}
