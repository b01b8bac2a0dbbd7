//! Tracking of a group's presumed leader.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Default of [`LeaderTracker::with_election_timeout`].
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Tracks which process of a group is presumed to be its leader; shared by all concurrent calls.
///
/// When several calls to the same process fail together, only the first failure moves on to the
/// next process: the others say nothing about that one.
#[derive(Debug)]
pub struct LeaderTracker {
    /// The addresses of the group's processes.
    members: Vec<SocketAddr>,
    /// The presumed leader, which need not be one of `members`.
    current: Option<SocketAddr>,
    /// Processes that timed out, and until when they are avoided.
    unresponsive: Vec<(SocketAddr, Instant)>,
    election_timeout: Duration,
    /// The last leader passed to [`note_elected`](Self::note_elected).
    elected: Option<SocketAddr>,
}

impl LeaderTracker {
    /// Creates a tracker of the processes at `members`, which presumes that the first one leads.
    pub fn new(members: Vec<SocketAddr>) -> Self {
        Self {
            current: members.first().copied(),
            members,
            unresponsive: Vec::new(),
            election_timeout: ELECTION_TIMEOUT,
            elected: None,
        }
    }

    /// Sets how soon the members of the group notice that their leader is frozen or partitioned.
    ///
    /// A process that timed out is not presumed to lead for as long after its call was sent, even if
    /// another one names it. A process that is still named later is alive.
    #[must_use]
    pub fn with_election_timeout(mut self, timeout: Duration) -> Self {
        self.election_timeout = timeout;
        self
    }

    /// Replaces the list of processes; an empty list changes nothing.
    pub fn set_members(&mut self, members: &[SocketAddr]) {
        if members.is_empty() || self.members == members {
            return;
        }
        self.members = members.to_vec();
        if self
            .current
            .is_none_or(|current| !members.contains(&current))
        {
            self.current = members.first().copied();
        }
    }

    /// Adds processes to the list.
    pub fn add_members(&mut self, more: &[SocketAddr]) {
        for address in more {
            if !self.members.contains(address) {
                self.members.push(*address);
            }
        }
        self.current = self.current.or_else(|| self.members.first().copied());
    }

    /// The presumed leader; `None` if no process is known.
    pub fn presumed(&self) -> Option<SocketAddr> {
        self.current
    }

    /// The addresses of the known processes.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Number of known processes.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Notes that a process replied as the leader.
    pub fn note_leader(&mut self, address: SocketAddr) {
        self.unresponsive.retain(|(other, _)| *other != address);
    }

    /// Notes the leader that a member of the group has heard from in the current term, if any. Only
    /// a change counts: later calls may show that this leader no longer replies.
    pub fn note_elected(&mut self, leader: Option<SocketAddr>) {
        if self.elected == leader {
            return;
        }
        self.elected = leader;
        if let Some(leader) = leader {
            self.unresponsive.retain(|(other, _)| *other != leader);
            self.current = Some(leader);
        }
    }

    /// Notes that a process replied that it is not the leader, and which process it named instead.
    pub fn note_follower(&mut self, now: Instant, address: SocketAddr, named: Option<SocketAddr>) {
        self.unresponsive.retain(|(other, _)| *other != address);
        if self.current != Some(address) {
            return;
        }
        let named = named.filter(|named| *named != address && !self.is_unresponsive(now, *named));
        self.current = named.or_else(|| self.next_after(now, address));
    }

    /// Notes a call whose connection was refused or reset, as when a process is restarting; the process
    /// is not avoided, since it may lead soon.
    pub fn note_broken_connection(&mut self, now: Instant, address: SocketAddr) {
        if self.current == Some(address) {
            self.current = self.next_after(now, address);
        }
    }

    /// Notes that a process did not reply in time to a call sent at `sent`; it is avoided for a while.
    /// Returns whether it was not avoided before.
    pub fn note_timeout(&mut self, now: Instant, sent: Instant, address: SocketAddr) -> bool {
        let fresh = !self.is_unresponsive(now, address);
        let mut avoided = sent + self.election_timeout;
        for (other, until) in &self.unresponsive {
            if *other == address {
                avoided = avoided.max(*until);
            }
        }
        self.unresponsive
            .retain(|(other, until)| *other != address && now < *until);
        self.unresponsive.push((address, avoided));
        if self.current == Some(address) {
            self.current = self.next_after(now, address);
        }
        fresh
    }

    fn is_unresponsive(&self, now: Instant, address: SocketAddr) -> bool {
        let mut unresponsive = self.unresponsive.iter();
        unresponsive.any(|(other, until)| *other == address && now < *until)
    }

    /// The next process of the list after `address`, preferably one that is not avoided.
    fn next_after(&self, now: Instant, address: SocketAddr) -> Option<SocketAddr> {
        let index = self.members.iter().position(|member| *member == address);
        let start = index.map_or(0, |index| index + 1);
        let order = self
            .members
            .iter()
            .cycle()
            .skip(start)
            .take(self.members.len());
        let mut others = order
            .clone()
            .filter(|other| !self.is_unresponsive(now, **other));
        others.next().or_else(|| order.clone().next()).copied()
    }
}
