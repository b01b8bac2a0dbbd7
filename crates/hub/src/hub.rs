//! Shared state of the request handlers.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clem_boot::Clock;
use clem_control::{
    endpoint::{Replicated, Result, ServeError},
    replica::Replica,
};
use clem_edge::Dialect;
use clem_intake::BodyStore;
use clem_policy::dispatch::{GrantOutcome, Placement, Ticket, Verdict};
use clem_state::{batch_group, document, evacuations, low_buckets};
use clem_types::{Time, Version};
use clem_wire::{
    LeaderClient,
    fleet::{FetchHeld, ProcessRole},
};
use tokio::sync::oneshot;

use crate::{
    lead::{LeaderInit, LeaderState},
    polls::Polls,
};

/// How long a front counts that has found no leader.
const FRONT_KEPT: Duration = Duration::from_secs(10);
/// Maximum number of fronts that are counted.
const FRONTS_MAX: usize = 4096;

/// Shared state of the request handlers. The runtime has one thread, so the mutexes are never
/// contended.
pub struct Hub {
    /// This process's replica of the hub group.
    pub replica: Replica,
    /// The clock of this process.
    pub clock: Clock,
    /// Translates the platform's protocol.
    pub dialect: Arc<dyn Dialect>,
    /// Client for all members, this one included.
    pub peers: LeaderClient,
    /// Whether this process may be a member; without a disk it only forwards calls.
    pub has_disk: bool,
    /// The documents that operators send.
    pub(crate) documents: Arc<BodyStore>,
    /// Address of the platform's target list.
    pub list: SocketAddr,
    /// Number of disks that may be lost at once.
    pub tolerance: usize,
    /// Burst granted to each customer after a change of leader, in requests.
    pub restart_allowance: f64,
    /// The data centres that the settings name; empty if they name none.
    data_centres: BTreeSet<String>,
    /// How far the platform's target list lags behind.
    list_lag: Duration,
    /// How the targets of requests are chosen.
    placement: Placement,
    leader: Mutex<Option<LeaderState>>,
    waiters: Mutex<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    /// The polls of followers that wait for an update.
    pub(crate) polls: Polls,
    /// When the front of each vm last asked what this member holds.
    fronts: Mutex<HashMap<String, Time>>,
    /// Held while rules are proposed, so that a resend finds them stored.
    pub(crate) put_turn: tokio::sync::Mutex<()>,
}

/// Arguments of [`Hub::new`].
pub(crate) struct HubParts {
    pub(crate) replica: Replica,
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) peers: LeaderClient,
    pub(crate) has_disk: bool,
    pub(crate) list: SocketAddr,
    pub(crate) tolerance: usize,
    pub(crate) restart_allowance: f64,
    pub(crate) document_bytes: usize,
    pub(crate) data_centres: BTreeSet<String>,
    pub(crate) list_lag: Duration,
    pub(crate) placement: Placement,
}

impl Hub {
    pub(crate) fn new(parts: HubParts) -> Self {
        Self {
            replica: parts.replica,
            clock: parts.clock,
            dialect: parts.dialect,
            peers: parts.peers,
            has_disk: parts.has_disk,
            documents: BodyStore::new(parts.document_bytes),
            list: parts.list,
            tolerance: parts.tolerance,
            restart_allowance: parts.restart_allowance,
            data_centres: parts.data_centres,
            list_lag: parts.list_lag,
            placement: parts.placement,
            leader: Mutex::new(None),
            waiters: Mutex::default(),
            polls: Polls::default(),
            fronts: Mutex::default(),
            put_turn: tokio::sync::Mutex::new(()),
        }
    }

    /// Runs `work` on the leader's in-memory state, which is rebuilt when this process has just
    /// become leader, and delivers the verdicts that result.
    ///
    /// # Errors
    /// This process is not the leader.
    pub fn with_leader<T>(&self, work: impl FnOnce(&mut LeaderState, Time) -> T) -> Result<T> {
        let now = self.clock.now();
        let mut leader = self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(epoch) = self.replica.leading_epoch(now) else {
            if leader.take().is_some() {
                log::warn!("lost leadership");
                self.waiters().clear();
            }
            return Err(ServeError::NotLeader);
        };
        if leader.as_ref().is_none_or(|leader| leader.epoch != epoch) {
            self.waiters().clear();
            let rules = self.replica.read(document::document);
            let start = LeaderInit {
                epoch,
                batch_group: self.replica.read(batch_group::read),
                allowance: self.restart_allowance,
            };
            let mut fresh = LeaderState::new(start);
            fresh.dispatcher.set_list_lag(self.list_lag);
            fresh.restore_low_buckets(self.replica.read(low_buckets::read));
            fresh.dispatcher.set_placement(self.placement);
            fresh.set_evacuations(now, &self.replica.read(evacuations::read));
            self.install_rules(&mut fresh, now, &rules);
            log::info!(epoch = epoch.0, rules = rules.version.0; "became leader");
            *leader = Some(fresh);
        }
        let Some(leader) = leader.as_mut() else {
            return Err(ServeError::NotLeader);
        };
        let result = work(leader, now);
        self.deliver_verdicts(leader, now);
        leader.publish_parts(now);
        leader.log_streams();
        self.polls.wake(leader.take_wakes());
        Ok(result)
    }

    /// Whether a data centre exists, as far as the settings say.
    pub(crate) fn knows_data_centre(&self, name: &str) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(name)
    }

    /// Installs newer rules in the leader's in-memory state.
    pub(crate) fn install_rules(
        &self,
        leader: &mut LeaderState,
        now: Time,
        rules: &clem_wire::fleet::RulesDocument,
    ) {
        if rules.version.0 == 0 {
            return;
        }
        let text = match rules.text() {
            Ok(text) => text,
            Err(error) => {
                log::error!(version = rules.version.0, error:% = error; "rules damaged");
                return;
            }
        };
        match self.dialect.read_rules(&text) {
            Ok(read) => leader.set_rules(now, rules.clone(), &read),
            Err(findings) => {
                log::error!(version = rules.version.0, findings:% = findings; "rules unreadable");
            }
        }
    }

    /// Registers a request that waits for a slot; the verdict is sent to the receiver.
    pub(crate) fn register_waiter(&self, ticket: Ticket) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiters().insert(ticket, sender);
        receiver
    }

    /// Withdraws a request whose caller is gone.
    pub(crate) fn cancel_wait(&self, ticket: Ticket) {
        if self.waiters().remove(&ticket).is_none() {
            return;
        }
        // If this process is no longer the leader, there is nothing to withdraw.
        let _ = self.with_leader(|leader, now| leader.dispatcher.withdraw(now, ticket));
    }

    /// The version of the rules that this process knows to be stored by the group.
    pub(crate) fn stored_rules(&self) -> Version {
        self.replica.read(document::version)
    }

    /// Notes a process that finds no leader, and counts the fronts that find none. They divide the
    /// customers' rates among themselves.
    pub(crate) fn count_front(&self, asked: &FetchHeld) -> u32 {
        let now = self.clock.now();
        let mut fronts = self.fronts.lock().unwrap_or_else(PoisonError::into_inner);
        fronts.retain(|_, at| now.since(*at) < FRONT_KEPT);
        if asked.role == ProcessRole::Front && fronts.len() < FRONTS_MAX {
            fronts.insert(asked.vm.clone(), now);
        }
        u32::try_from(fronts.len()).unwrap_or(u32::MAX)
    }

    /// The addresses of the members.
    pub(crate) fn members(&self) -> Vec<SocketAddr> {
        self.replica.members().iter().map(|m| m.address).collect()
    }

    fn deliver_verdicts(&self, leader: &mut LeaderState, now: Time) {
        for (ticket, verdict) in leader.dispatcher.take_decided() {
            let granted = matches!(verdict, Verdict::Granted { .. });
            let waiter = self.waiters().remove(&ticket);
            let sent = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
            if granted && !sent {
                leader.dispatcher.release(now, ticket, GrantOutcome::NotRun);
            }
        }
    }

    fn waiters(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, oneshot::Sender<Verdict>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Replicated for Hub {
    fn replica(&self) -> &Replica {
        &self.replica
    }

    fn now(&self) -> Time {
        self.clock.now()
    }
}
