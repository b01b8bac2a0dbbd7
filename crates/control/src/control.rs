//! State shared by all request handlers and background tasks of a control process.

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
use crate::{leader::LeaderState, replica::Replica};

/// Limits that the proposer writes into commands, so that every replica applies the same values.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum total size of all batches, in bytes.
    pub batch_bytes: u64,
    /// How long the results of a finished batch are kept, in milliseconds.
    pub retention_ms: u64,
    /// Free disk space below which new batches are refused, in bytes.
    pub disk_reserve: u64,
}

/// Shared state of a control process: its replica and, while it leads, the leader's soft state.
pub struct Control {
    /// This process's member of the consensus group.
    pub replica: Replica,
    /// Monotonic and wall-clock time.
    pub clock: Clock,
    /// Limits written into commands.
    pub limits: Limits,
    lead: Mutex<Option<LeaderState>>,
    /// Incremented whenever a holder in a held sync call may have something new to receive.
    updates: watch::Sender<u64>,
    /// Incremented when a holder confirms a rules version. Separate from `updates`, so that a
    /// confirmation does not wake every holder.
    confirmed: watch::Sender<u64>,
}

impl Control {
    /// Creates the shared state without soft state, which is built on becoming leader.
    pub fn new(replica: Replica, clock: Clock, limits: Limits) -> Self {
        let (updates, _) = watch::channel(0);
        let (confirmed, _) = watch::channel(0);
        Self {
            replica,
            clock,
            limits,
            lead: Mutex::new(None),
            updates,
            confirmed,
        }
    }

    /// Runs `work` on the leader's soft state, which is rebuilt when this process has just become
    /// leader.
    ///
    /// # Errors
    /// This process is not the leader, or its leader lease has expired.
    pub fn with_leader<T>(&self, work: impl FnOnce(&mut LeaderState, Time) -> T) -> Result<T> {
        let now = self.clock.now();
        let mut lead = self.lead.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(epoch) = self.replica.leased_epoch(now) else {
            *lead = None;
            return Err(ServeError::NotLeader);
        };
        if lead.as_ref().is_none_or(|lead| lead.epoch != epoch) {
            *lead = Some(self.new_leader_state(epoch, now));
        }
        match lead.as_mut() {
            Some(lead) => Ok(work(lead, now)),
            None => Err(ServeError::NotLeader),
        }
    }

    /// The current wall-clock time.
    pub fn wall_time(&self) -> UnixMillis {
        self.clock.wall_time()
    }

    /// Wakes held sync calls, so that they check for something to send.
    pub fn notify_update(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// Subscribes to [`notify_update`](Self::notify_update).
    pub fn updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Wakes the calls that wait for a rules version to be in force.
    pub fn notify_confirmed(&self) {
        self.confirmed.send_modify(|count| *count += 1);
    }

    /// Subscribes to [`notify_confirmed`](Self::notify_confirmed).
    pub fn confirmations(&self) -> watch::Receiver<u64> {
        self.confirmed.subscribe()
    }

    fn new_leader_state(&self, epoch: Epoch, now: Time) -> LeaderState {
        let file = self.replica.read(rules::file);
        let rules = match clem_rules::parse(&file.text, file.version) {
            Ok(rules) => rules,
            Err(findings) => {
                // The file was valid when it was accepted, but perhaps to an older release.
                let first = findings
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                log::error!(version = file.version.0, first; "failed to parse the rules in force");
                Rules::default()
            }
        };
        let drained: BTreeSet<_> = self.replica.read(orders::drained).into_iter().collect();
        let mut lead = LeaderState::new(epoch, now, rules, drained);
        lead.poison = self.replica.read(poison::version);
        log::info!(epoch = epoch.0, rules = file.version.0; "became leader");
        lead
    }
}

impl Replicated for Control {
    fn replica(&self) -> &Replica {
        &self.replica
    }

    fn now(&self) -> Time {
        self.clock.now()
    }
}
