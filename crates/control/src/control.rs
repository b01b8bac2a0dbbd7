//! What all handlers of this process share.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
};

use clem_boot::Clock;
use clem_rules::Rules;
use clem_state::{orders, poison, rules};
use clem_types::{Epoch, Time, UnixMillis};
use tokio::sync::watch;

pub use crate::endpoint::{Replicated, Result, ServeError};
use crate::{lead::Lead, replica::Replica};

/// Bounds that enter commands as values.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most bytes that all batches together may take up.
    pub batch_bytes: u64,
    /// How long the results of a finished batch are kept, in milliseconds.
    pub retention_ms: u64,
    /// Free bytes on the disk below which new batches are refused.
    pub disk_reserve: u64,
}

/// What all handlers of this process share.
pub struct Control {
    /// This process's part in the group.
    pub replica: Replica,
    /// The process's clock.
    pub clock: Clock,
    /// Bounds that enter commands as values.
    pub limits: Limits,
    lead: Mutex<Option<Lead>>,
    /// Counts the changes that a waiting holder may have to be told of.
    news: watch::Sender<u64>,
    /// Counts confirmations of the rules, apart from `news`, so that not every confirmation wakes
    /// every holder.
    confirmed: watch::Sender<u64>,
}

impl Control {
    /// Starts without any soft state.
    pub fn new(replica: Replica, clock: Clock, limits: Limits) -> Self {
        let (news, _) = watch::channel(0);
        let (confirmed, _) = watch::channel(0);
        Self {
            replica,
            clock,
            limits,
            lead: Mutex::new(None),
            news,
            confirmed,
        }
    }

    /// Works on the leader's soft state; built anew when this process has just begun to lead.
    ///
    /// # Errors
    /// This process does not lead at this moment.
    pub fn lead<T>(&self, work: impl FnOnce(&mut Lead, Time) -> T) -> Result<T> {
        let now = self.clock.now();
        let mut lead = self.lead.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(epoch) = self.replica.leads(now) else {
            *lead = None;
            return Err(ServeError::NotLeader);
        };
        if lead.as_ref().is_none_or(|lead| lead.epoch != epoch) {
            *lead = Some(self.take_office(epoch, now));
        }
        match lead.as_mut() {
            Some(lead) => Ok(work(lead, now)),
            None => Err(ServeError::NotLeader),
        }
    }

    /// The present on the calendar.
    pub fn wall(&self) -> UnixMillis {
        self.clock.wall()
    }

    /// Wakes the holders that wait for news.
    pub fn wake(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Tells when there may be news.
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Wakes the calls that wait for a version to be in force.
    pub fn note_confirmed(&self) {
        self.confirmed.send_modify(|count| *count += 1);
    }

    /// Tells when a holder has confirmed a version.
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.confirmed.subscribe()
    }

    fn take_office(&self, epoch: Epoch, now: Time) -> Lead {
        let file = self.replica.read(rules::file);
        let rules = match clem_rules::parse(&file.text, file.version) {
            Ok(rules) => rules,
            Err(findings) => {
                // The file was checked before it was accepted, by an older release maybe.
                let first = findings
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                log::error!(version = file.version.0, first; "the rules in force can't be read");
                Rules::default()
            }
        };
        let drained: BTreeSet<_> = self.replica.read(orders::drained).into_iter().collect();
        let mut lead = Lead::new(epoch, now, rules, drained);
        lead.poison = self.replica.read(poison::version);
        log::info!(epoch = epoch.0, rules = file.version.0; "leads");
        lead
    }
}

impl Replicated for Control {
    fn replica(&self) -> &Replica {
        &self.replica
    }
}
