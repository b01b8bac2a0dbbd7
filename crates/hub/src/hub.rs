//! What all handlers of this process share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use clem_boot::Clock;
use clem_control::{
    endpoint::{Replicated, Result, ServeError},
    replica::Replica,
};
use clem_edge::Dialect;
use clem_policy::dispatch::{GrantOutcome, Ticket, Verdict};
use clem_state::{batch_group, document};
use clem_types::Time;
use clem_wire::ControlClient;
use tokio::sync::{oneshot, watch};

use crate::lead::{Lead, LeadStart};

/// What all handlers of this process share; all of it is used on one thread.
pub struct Hub {
    /// This process's part in the group.
    pub replica: Replica,
    /// The process's clock.
    pub clock: Clock,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
    /// All members, this one included.
    pub peers: ControlClient,
    /// Whether this process may be a member; otherwise it passes calls on.
    pub has_disk: bool,
    /// Where the platform lists its targets.
    pub list: SocketAddr,
    /// How many disks may be lost at once.
    pub tolerance: usize,
    /// What a customer may send right after a change of leader, in requests.
    pub restart_allowance: f64,
    lead: Mutex<Option<Lead>>,
    waiting: Mutex<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    news: watch::Sender<u64>,
}

/// What a [`Hub`] is made of.
pub(crate) struct Parts {
    pub(crate) replica: Replica,
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) peers: ControlClient,
    pub(crate) has_disk: bool,
    pub(crate) list: SocketAddr,
    pub(crate) tolerance: usize,
    pub(crate) restart_allowance: f64,
}

impl Hub {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            replica: parts.replica,
            clock: parts.clock,
            dialect: parts.dialect,
            peers: parts.peers,
            has_disk: parts.has_disk,
            list: parts.list,
            tolerance: parts.tolerance,
            restart_allowance: parts.restart_allowance,
            lead: Mutex::new(None),
            waiting: Mutex::default(),
            news: watch::Sender::new(0),
        }
    }

    /// Works on the leader's soft state, built anew when this process has just begun to lead, and
    /// hands out the answers that are ready then.
    ///
    /// # Errors
    /// This process does not lead at this moment.
    pub fn lead<T>(&self, work: impl FnOnce(&mut Lead, Time) -> T) -> Result<T> {
        let now = self.clock.now();
        let mut lead = self.lead.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(epoch) = self.replica.leading_epoch(now) else {
            if lead.take().is_some() {
                log::warn!("leads no more");
                self.waiting().clear();
            }
            return Err(ServeError::NotLeader);
        };
        if lead.as_ref().is_none_or(|lead| lead.epoch != epoch) {
            self.waiting().clear();
            let rules = self.replica.read(document::document);
            let start = LeadStart {
                epoch,
                batch_group: self.replica.read(batch_group::read),
                allowance: self.restart_allowance,
            };
            let mut fresh = Lead::new(start);
            self.take_rules(&mut fresh, now, &rules);
            log::info!(epoch = epoch.0, rules = rules.version.0; "leads");
            *lead = Some(fresh);
        }
        let Some(lead) = lead.as_mut() else {
            return Err(ServeError::NotLeader);
        };
        let stamp = lead.stamp();
        let result = work(lead, now);
        self.hand_out(lead, now);
        if lead.stamp() != stamp || lead.has_recalls() {
            self.news.send_modify(|count| *count += 1);
        }
        Ok(result)
    }

    /// Takes newer rules into the leader's soft state.
    pub(crate) fn take_rules(
        &self,
        lead: &mut Lead,
        now: Time,
        rules: &clem_wire::fleet::RulesDocument,
    ) {
        if rules.version.0 == 0 {
            return;
        }
        match self.dialect.read_rules(&rules.document) {
            Ok(read) => lead.set_rules(now, rules.clone(), &read),
            Err(findings) => {
                log::error!(version = rules.version.0, findings:% = findings; "rules unreadable");
            }
        }
    }

    /// Registers a request for a slot; its answer comes through the receiver.
    pub(crate) fn wait_for(&self, ticket: Ticket) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(ticket, sender);
        receiver
    }

    /// Nobody waits for this answer any more.
    pub(crate) fn forget(&self, ticket: Ticket) {
        if self.waiting().remove(&ticket).is_none() {
            return;
        }
        // A leader that lost its place has nothing to take back.
        let _ = self.lead(|lead, now| lead.dispatcher.withdraw(now, ticket));
    }

    /// Tells when there may be news.
    pub(crate) fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// The addresses of the members.
    pub(crate) fn members(&self) -> Vec<SocketAddr> {
        self.replica.members().iter().map(|m| m.address).collect()
    }

    fn hand_out(&self, lead: &mut Lead, now: Time) {
        for (ticket, verdict) in lead.dispatcher.take_decided() {
            let granted = matches!(verdict, Verdict::Granted { .. });
            let waiter = self.waiting().remove(&ticket);
            let sent = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
            if granted && !sent {
                lead.dispatcher.release(now, ticket, GrantOutcome::NotRun);
            }
        }
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, oneshot::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Replicated for Hub {
    fn replica(&self) -> &Replica {
        &self.replica
    }
}
