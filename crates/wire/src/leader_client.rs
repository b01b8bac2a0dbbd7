//! Client of a replicated group, which finds the group's leader.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    Answer, Asked, Call, CallError, Client, LeaderReply, LeaderTracker,
    client::{ReplyRoom, Unbounded},
};

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
const NO_ROOM: &str = "the leader is short of room";

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
    /// [`CallError::NoLeader`] if no leader replied, which tells whether the call may have been executed,
    /// and [`CallError::Refused`] if a process rejected it, or if processes that are not of the group
    /// answer at all known addresses. Neither says anything of the tries before, which may still be on
    /// their way: the result is [`CallError::MayHaveArrived`] then.
    pub async fn call<C: Call>(&self, call: &C, timeout: Duration) -> Result<C::Reply>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        self.call_with_room(call, timeout, &Unbounded).await
    }

    /// As [`call`](Self::call), and reads a reply only once `room` has taken its length.
    ///
    /// # Errors
    /// Those of [`call`](Self::call), and [`CallError::NoRoom`].
    pub async fn call_with_room<C: Call, R: ReplyRoom>(
        &self,
        call: &C,
        timeout: Duration,
        room: &R,
    ) -> Result<C::Reply>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let start = Instant::now();
        let end = start + timeout;
        let mut arrived = false;
        let mut tries = 0;
        let mut asked = Asked::default();
        loop {
            let members = self.leader().count();
            let mut outside = Vec::new();
            for _ in 0..=members {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    log_retries::<C>(start, tries, false, &asked);
                    return Err(CallError::NoLeader { arrived, asked });
                }
                let Some(address) = self.leader().presumed() else {
                    return Err(CallError::NoLeader { arrived, asked });
                };
                let try_timeout = self.try_timeout::<C>(timeout);
                let sent = Instant::now();
                tries += 1;
                let replied = self.ask_member(address, call, try_timeout, left, room);
                match replied.await {
                    Ok(LeaderReply::Done(reply)) => {
                        self.leader().note_leader(address);
                        if tries > 1 {
                            asked.note(address, Answer::Leads);
                            log_retries::<C>(start, tries, true, &asked);
                        }
                        if arrived && C::is_refusal(&reply) {
                            return Err(unknown_error("a repeat of the call was refused"));
                        }
                        return Ok(reply);
                    }
                    Ok(LeaderReply::NotLeader { leader, brief }) => {
                        asked.note_follower(address, leader, brief);
                        let named = leader.filter(|named| !outside.contains(named));
                        self.leader().note_follower(Instant::now(), address, named);
                    }
                    Ok(LeaderReply::Unknown) => {
                        arrived = true;
                        asked.note(address, Answer::Unknown);
                        self.leader().note_follower(Instant::now(), address, None);
                    }
                    Ok(LeaderReply::NoRoom) => {
                        self.leader().note_leader(address);
                        asked.note(address, Answer::NoRoom);
                        log_retries::<C>(start, tries, true, &asked);
                        if arrived {
                            return Err(unknown_error(NO_ROOM));
                        }
                        return Err(no_room());
                    }
                    Err(CallError::NoRoom) => return Err(CallError::NoRoom),
                    Err(error) if error.is_from_outside() => {
                        asked.note(address, Answer::Outside);
                        if !self.note_outside(address, &mut outside) {
                            continue;
                        }
                        log_retries::<C>(start, tries, false, &asked);
                        if arrived {
                            return Err(unknown_error(&error.to_string()));
                        }
                        return Err(error);
                    }
                    Err(error @ CallError::Refused { .. }) if arrived => {
                        return Err(unknown_error(&error.to_string()));
                    }
                    Err(error @ CallError::Refused { .. }) => return Err(error),
                    Err(error) => {
                        arrived |= !error.is_not_run();
                        let answer = answer_of(&error, sent.elapsed());
                        if Instant::now() >= end {
                            // The process is not avoided: it had less time than usual to reply, or
                            // was still replying.
                            asked.note_last(address, answer);
                            log_retries::<C>(start, tries, false, &asked);
                            return Err(CallError::NoLeader { arrived, asked });
                        }
                        asked.note(address, answer);
                        self.note_error::<C>(sent, address, answer, &error);
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
        let mut asked = Asked::default();
        let mut outside = Vec::new();
        for _ in 0..LEADER_TRIES {
            let left = end.saturating_duration_since(Instant::now());
            let Some(address) = self.leader().presumed() else {
                return Err(CallError::NoLeader {
                    arrived: false,
                    asked,
                });
            };
            let sent = Instant::now();
            match self.call_member(address, call, left, left).await {
                Ok(LeaderReply::Done(reply)) => {
                    self.leader().note_leader(address);
                    return Ok(reply);
                }
                Ok(LeaderReply::NotLeader { leader, brief }) => {
                    asked.note_follower(address, leader, brief);
                    let named = leader.filter(|named| !outside.contains(named));
                    self.leader().note_follower(Instant::now(), address, named);
                }
                Ok(LeaderReply::Unknown) => {
                    asked.note(address, Answer::Unknown);
                    self.leader().note_follower(Instant::now(), address, None);
                    return Err(CallError::NoLeader {
                        arrived: true,
                        asked,
                    });
                }
                Ok(LeaderReply::NoRoom) => {
                    self.leader().note_leader(address);
                    return Err(no_room());
                }
                Err(error) if error.is_from_outside() => {
                    asked.note(address, Answer::Outside);
                    if self.note_outside(address, &mut outside) {
                        return Err(error);
                    }
                }
                Err(error) => {
                    let answer = answer_of(&error, sent.elapsed());
                    self.note_error::<C>(sent, address, answer, &error);
                    return Err(error);
                }
            }
        }
        Err(CallError::NoLeader {
            arrived: false,
            asked,
        })
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
        self.ask_member(address, call, stall, timeout, &Unbounded)
            .await
    }

    async fn ask_member<C: Call, R: ReplyRoom>(
        &self,
        address: SocketAddr,
        call: &C,
        stall: Duration,
        timeout: Duration,
        room: &R,
    ) -> Result<LeaderReply<C::Reply>>
    where
        LeaderReply<C::Reply>: serde::de::DeserializeOwned,
    {
        let body =
            crate::codec::encode(call).map_err(|error| CallError::NotSent(error.to_string()))?;
        let reply = self
            .client
            .post_with_room(address, C::PATH, body.into(), stall, timeout, room)
            .await?;
        crate::codec::decode(&reply).map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Adds a process that answered as none of the group does to those `outside` it. Returns whether these
    /// are all known ones, so that nobody is left to ask.
    fn note_outside(&self, address: SocketAddr, outside: &mut Vec<SocketAddr>) -> bool {
        let mut leader = self.leader();
        leader.note_follower(Instant::now(), address, None);
        outside.push(address);
        let mut members = leader.members().iter();
        members.all(|member| outside.contains(member))
    }

    /// Notes a failed call that was sent at `sent`, and what that says of the process.
    fn note_error<C: Call>(
        &self,
        sent: Instant,
        address: SocketAddr,
        answer: Answer,
        error: &CallError,
    ) {
        let now = Instant::now();
        if !matches!(answer, Answer::Silent | Answer::Unreachable) {
            self.leader().note_broken_connection(now, address);
            return;
        }
        let waited = now.duration_since(sent);
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

/// What a call that failed after `waited` says of the process.
fn answer_of(error: &CallError, waited: Duration) -> Answer {
    match error {
        CallError::TimedOut(_) => Answer::Silent,
        // A connection to a process that is gone is refused at once, to one that is cut off late.
        CallError::NotSent(_) if waited < QUICK_FAILURE => Answer::RefusedConnection,
        CallError::NotSent(_) => Answer::Unreachable,
        // The process, or its path, has ended the connection; a held poll may have waited long.
        CallError::MayHaveArrived(_) | CallError::NoLeader { .. } => Answer::Broken,
        CallError::Refused { .. } | CallError::NoRoom => Answer::Rejected,
        CallError::Malformed(_) => Answer::Malformed,
    }
}

/// Logs a call that took more than one try.
fn log_retries<C: Call>(start: Instant, tries: u32, replied: bool, asked: &Asked) {
    if tries < 2 {
        return;
    }
    log::info!(
        asked:% = asked, call = C::PATH, tries, replied, took_ms = start.elapsed().as_millis() as u64;
        "call to the leader retried"
    );
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
