//! Client of a replicated group, which finds the group's leader.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{Call, CallError, Client, LeaderReply, LeaderTracker};

/// Pause after all processes of the group have been tried.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// How long nothing may arrive, in addition to the time that the call may be held, before the next
/// process is tried.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection that fails sooner than this was refused by a process that is starting or stopping,
/// not lost on the way to one that is frozen or partitioned.
const QUICK_FAILURE: Duration = Duration::from_millis(100);
/// Number of processes that [`LeaderClient::ask_leader`] tries.
const LEADER_TRIES: usize = 3;
/// Why a leader refuses a call for now.
const NO_ROOM: &str = "the leader's disk is short of room";

type Result<T> = std::result::Result<T, CallError>;

/// Sends calls to the leader of a replicated group.
///
/// Calls are idempotent, so a call whose reply was lost is resent until its timeout.
#[derive(Debug)]
pub struct LeaderClient {
    client: Client,
    leader: Mutex<LeaderTracker>,
}

impl LeaderClient {
    /// Creates a client of the processes at `addresses`; the list may be empty and set later.
    pub fn new(client: Client, addresses: Vec<SocketAddr>) -> Self {
        Self {
            client,
            leader: Mutex::new(LeaderTracker::new(addresses)),
        }
    }

    /// Sets how soon the members of the group notice that their leader is frozen or partitioned; see
    /// [`LeaderTracker::with_election_timeout`].
    #[must_use]
    pub fn with_election_timeout(self, timeout: Duration) -> Self {
        let leader = self.leader.into_inner();
        let leader = leader.unwrap_or_else(PoisonError::into_inner);
        Self {
            client: self.client,
            leader: Mutex::new(leader.with_election_timeout(timeout)),
        }
    }

    /// Replaces the addresses after a membership change; an empty list changes nothing.
    pub fn set_addresses(&self, addresses: &[SocketAddr]) {
        self.leader().set_members(addresses);
    }

    /// Adds addresses to the known ones.
    pub fn add_addresses(&self, addresses: &[SocketAddr]) {
        self.leader().add_members(addresses);
    }

    /// Notes the group's leader, for clients in a member; see [`LeaderTracker::note_elected`].
    pub fn note_elected(&self, leader: Option<SocketAddr>) {
        self.leader().note_elected(leader);
    }

    /// The addresses of the group's processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.leader().members().to_vec()
    }

    /// The addresses of the group's processes other than the presumed leader.
    pub fn others(&self) -> Vec<SocketAddr> {
        let leader = self.leader();
        let mut others = leader.members().to_vec();
        others.retain(|address| Some(*address) != leader.presumed());
        others
    }

    /// Sends a call to the leader and waits at most `timeout` for its reply.
    ///
    /// # Errors
    /// [`CallError::MayHaveArrived`] if the call may have been executed when the time is over,
    /// [`CallError::NotSent`] if it reached no leader, and [`CallError::Refused`] if a process
    /// rejected it. A process that refuses a repeat says nothing of the tries before, which may still be
    /// on their way: the result is [`CallError::MayHaveArrived`].
    pub async fn call<C: Call>(&self, call: &C, timeout: Duration) -> Result<C::Reply>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let start = Instant::now();
        let end = start + timeout;
        let mut arrived = false;
        let mut tries = 0;
        loop {
            let members = self.leader().count();
            for _ in 0..=members {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    log_retries::<C>(start, tries, false);
                    return Err(timeout_error(arrived));
                }
                let Some(address) = self.leader().presumed() else {
                    return Err(timeout_error(arrived));
                };
                let try_timeout = self.try_timeout::<C>(timeout);
                let sent = Instant::now();
                tries += 1;
                match self.call_member(address, call, try_timeout, left).await {
                    Ok(LeaderReply::Done(reply)) => {
                        self.leader().note_leader(address);
                        log_retries::<C>(start, tries, true);
                        if arrived && C::is_refusal(&reply) {
                            return Err(unknown_error("a repeat of the call was refused"));
                        }
                        return Ok(reply);
                    }
                    Ok(LeaderReply::NotLeader { leader }) => {
                        self.leader().note_follower(Instant::now(), address, leader);
                    }
                    Ok(LeaderReply::Unknown) => {
                        arrived = true;
                        self.leader().note_follower(Instant::now(), address, None);
                    }
                    Ok(LeaderReply::NoRoom) => {
                        self.leader().note_leader(address);
                        log_retries::<C>(start, tries, true);
                        if arrived {
                            return Err(unknown_error(NO_ROOM));
                        }
                        return Err(no_room());
                    }
                    Err(error @ CallError::Refused { .. }) if arrived => {
                        return Err(unknown_error(&error.to_string()));
                    }
                    Err(error @ CallError::Refused { .. }) => return Err(error),
                    Err(error) => {
                        arrived |= !error.is_not_run();
                        if Instant::now() >= end {
                            // The process is not avoided: it had less time than usual to reply, or
                            // was still replying.
                            log_retries::<C>(start, tries, false);
                            return Err(timeout_error(arrived));
                        }
                        self.note_error::<C>(sent, address, &error);
                    }
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Sends a call without retrying other processes after a failure, for callers that have a
    /// fallback and must learn soon that no leader replies.
    ///
    /// # Errors
    /// The presumed leader didn't reply, or the group has no leader.
    pub async fn ask_leader<C: Call>(&self, call: &C, timeout: Duration) -> Result<C::Reply>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let end = Instant::now() + timeout;
        for _ in 0..LEADER_TRIES {
            let left = end.saturating_duration_since(Instant::now());
            let Some(address) = self.leader().presumed() else {
                return Err(timeout_error(false));
            };
            let sent = Instant::now();
            match self.call_member(address, call, left, left).await {
                Ok(LeaderReply::Done(reply)) => {
                    self.leader().note_leader(address);
                    return Ok(reply);
                }
                Ok(LeaderReply::NotLeader { leader }) => {
                    self.leader().note_follower(Instant::now(), address, leader);
                }
                Ok(LeaderReply::Unknown) => {
                    self.leader().note_follower(Instant::now(), address, None);
                    return Err(timeout_error(true));
                }
                Ok(LeaderReply::NoRoom) => {
                    self.leader().note_leader(address);
                    return Err(no_room());
                }
                Err(error) => {
                    self.note_error::<C>(sent, address, &error);
                    return Err(error);
                }
            }
        }
        Err(timeout_error(false))
    }

    /// How long one process may send nothing; a single member gets the whole timeout, since there is no
    /// other to try.
    fn try_timeout<C: Call>(&self, timeout: Duration) -> Duration {
        if self.leader().count() == 1 {
            return timeout;
        }
        C::MAX_HOLD + TRY_TIMEOUT
    }

    /// Sends a call to one process, whether it leads or not, and reads its reply, however long that
    /// takes within `timeout`, unless nothing arrives for `stall`.
    ///
    /// # Errors
    /// The process didn't reply in time.
    pub async fn call_member<C: Call>(
        &self,
        address: SocketAddr,
        call: &C,
        stall: Duration,
        timeout: Duration,
    ) -> Result<LeaderReply<C::Reply>>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let body =
            crate::codec::encode(call).map_err(|error| CallError::NotSent(error.to_string()))?;
        let reply = self
            .client
            .post_unless_stalled(address, C::PATH, body.into(), stall, timeout)
            .await?;
        crate::codec::decode(&reply).map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Notes a failed call that was sent at `sent`.
    fn note_error<C: Call>(&self, sent: Instant, address: SocketAddr, error: &CallError) {
        let now = Instant::now();
        let waited = now.duration_since(sent);
        let timed_out = match error {
            CallError::TimedOut(_) => true,
            // A connection to a process that is gone is refused at once, to one that is cut off late.
            CallError::NotSent(_) => waited >= QUICK_FAILURE,
            // The process, or its path, has ended the connection; a held poll may have waited long.
            CallError::MayHaveArrived(_) | CallError::Refused { .. } | CallError::Malformed(_) => {
                false
            }
        };
        if !timed_out {
            self.leader().note_broken_connection(now, address);
            return;
        }
        if self.leader().note_timeout(now, sent, address) {
            log::info!(
                call = C::PATH, address:% = address, waited_ms = waited.as_millis() as u64,
                error:% = error;
                "process did not reply, avoided for a while"
            );
        }
    }

    fn leader(&self) -> MutexGuard<'_, LeaderTracker> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a call that took more than one try.
fn log_retries<C: Call>(start: Instant, tries: u32, replied: bool) {
    if tries < 2 {
        return;
    }
    log::info!(
        call = C::PATH, tries, replied, took_ms = start.elapsed().as_millis() as u64;
        "call to the leader retried"
    );
}

fn timeout_error(arrived: bool) -> CallError {
    if arrived {
        return unknown_error("no control process answered in time");
    }
    CallError::NotSent("no control leader was reached in time".to_owned())
}

/// The error of a call that a leader without room has refused.
fn no_room() -> CallError {
    CallError::Refused {
        status: 503,
        message: NO_ROOM.to_owned(),
    }
}

/// The error of a call of which a try may have been executed.
fn unknown_error(reason: &str) -> CallError {
    CallError::MayHaveArrived(reason.to_owned())
}
