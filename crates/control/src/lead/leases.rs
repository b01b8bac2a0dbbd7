//! The table of leases on the rules.
//!
//! A holder works by its version of the rules while its lease holds. So a version is in force
//! when each holder has confirmed it or its lease has run out, and no holder is unknown. See
//! `docs/DESIGN.md`, "Rules in force".

use std::{collections::BTreeMap, time::Duration};

use clem_types::{HolderId, Incarnation, RulesVersion, Time};
use clem_wire::{
    admin::HolderView,
    sync::{Holder, Sync},
};

/// How long a lease holds from the moment the leader granted it.
pub const LEASE: Duration = Duration::from_secs(3);
/// How much longer the leader counts a lease, for clocks that run apart.
const MARGIN: Duration = Duration::from_millis(100);
/// How long a holder is listed after its lease has run out.
const LISTED: Duration = Duration::from_secs(600);

/// A holder and its lease.
#[derive(Debug)]
struct Entry {
    holder: Holder,
    confirmed: RulesVersion,
    until: Time,
    stopping: bool,
}

/// The table of leases, at the leader.
#[derive(Debug)]
pub struct Leases {
    entries: BTreeMap<HolderId, Entry>,
    /// When the leases that a former leader granted have all run out.
    known_from: Time,
}

impl Leases {
    /// The table of a leader that took office at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            entries: BTreeMap::new(),
            known_from: now + LEASE + MARGIN,
        }
    }

    /// Takes in what a holder says of itself; says whether it is a new life of the process.
    ///
    /// A life that begins ends the former one, which had the same address: its lease is void.
    pub fn hear(&mut self, call: &Sync, now: Time) -> bool {
        let holder = &call.holder;
        let Some(entry) = self.entries.get_mut(&holder.id) else {
            let entry = Entry {
                holder: holder.clone(),
                confirmed: call.rules,
                until: now,
                stopping: call.stopping,
            };
            self.entries.insert(holder.id.clone(), entry);
            return true;
        };
        entry.stopping = call.stopping;
        if entry.holder.incarnation == holder.incarnation {
            // Calls may cross; a holder's version never goes down.
            entry.confirmed = entry.confirmed.max(call.rules);
            return false;
        }
        entry.holder = holder.clone();
        entry.confirmed = call.rules;
        true
    }

    /// Grants the lease of a call that arrived at `asked` and is answered at `now`; how long it
    /// holds from the moment the holder asked.
    pub fn grant(&mut self, id: &HolderId, asked: Time, now: Time) -> Duration {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.until = entry.until.max(now + LEASE + MARGIN);
        }
        now.since(asked) + LEASE
    }

    /// Whether a leader that took office lately has to reckon with leases it doesn't know.
    pub fn is_complete(&self, now: Time) -> bool {
        now >= self.known_from
    }

    /// Whether the lease of this life of a holder holds.
    pub fn holds(&self, id: &HolderId, incarnation: Incarnation, now: Time) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        entry.holder.incarnation == incarnation && now < entry.until
    }

    /// The version that a holder has confirmed.
    pub fn confirmed(&self, id: &HolderId) -> RulesVersion {
        let entry = self.entries.get(id);
        entry.map(|entry| entry.confirmed).unwrap_or_default()
    }

    /// How many leases hold.
    pub fn live(&self, now: Time) -> usize {
        self.entries
            .values()
            .filter(|entry| now < entry.until)
            .count()
    }

    /// The holders that may still work by rules older than `version`.
    pub fn waiting(&self, version: RulesVersion, now: Time) -> Vec<HolderId> {
        let mut waiting = Vec::new();
        for (id, entry) in &self.entries {
            if entry.confirmed >= version || now >= entry.until {
                continue;
            }
            waiting.push(id.clone());
        }
        waiting
    }

    /// Whether `version` is in force everywhere.
    pub fn in_force(&self, version: RulesVersion, now: Time) -> bool {
        self.is_complete(now) && self.waiting(version, now).is_empty()
    }

    /// All holders, for operators.
    pub fn views(&self, now: Time) -> Vec<HolderView> {
        let mut views = Vec::new();
        for (id, entry) in &self.entries {
            let left = entry.until.since(now).as_millis();
            views.push(HolderView {
                id: id.clone(),
                role: entry.holder.role,
                data_centre: entry.holder.data_centre.clone(),
                rules: entry.confirmed,
                lease_ms: u32::try_from(left).unwrap_or(u32::MAX),
                stopping: entry.stopping,
            });
        }
        views
    }

    /// Forgets holders whose leases ran out long ago.
    pub fn sweep(&mut self, now: Time) {
        self.entries.retain(|_, entry| now < entry.until + LISTED);
    }
}
