//! The leases under which entries and agents apply the rules.
//!
//! A holder applies its version of the rules while its lease is valid. A version is therefore in
//! force when every holder has confirmed it or its lease has expired, and no leases of a former
//! leader are outstanding. See `docs/DESIGN.md`, "Rules in force".

use std::{collections::BTreeMap, time::Duration};

use clem_types::{HolderId, Incarnation, Time, Version};
use clem_wire::{
    admin::HolderView,
    sync::{Holder, Sync},
};

/// Duration of a lease from the moment the leader granted it.
pub const LEASE: Duration = Duration::from_secs(3);
/// How much longer the leader treats a lease as valid, to allow for clock drift.
const MARGIN: Duration = Duration::from_millis(100);
/// How long a holder stays in the table after its lease has expired.
const EXPIRED_RETENTION: Duration = Duration::from_secs(600);

/// A holder, the rules version that it has confirmed and its lease.
#[derive(Debug)]
struct Entry {
    holder: Holder,
    confirmed: Version,
    expires: Time,
    stopping: bool,
}

/// The leader's table of holders and their leases.
#[derive(Debug)]
pub struct Leases {
    entries: BTreeMap<HolderId, Entry>,
    /// When all leases granted by a former leader have expired.
    complete_at: Time,
}

impl Leases {
    /// Creates the table of a process that became leader at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            entries: BTreeMap::new(),
            complete_at: now + LEASE + MARGIN,
        }
    }

    /// Records a holder's sync call; returns whether it comes from a new incarnation of the holder.
    ///
    /// A new incarnation voids the lease of the former one, which must have ended, because both use
    /// the same address.
    pub fn record(&mut self, call: &Sync, now: Time) -> bool {
        let holder = &call.holder;
        let Some(entry) = self.entries.get_mut(&holder.id) else {
            let entry = Entry {
                holder: holder.clone(),
                confirmed: call.rules,
                expires: now,
                stopping: call.stopping,
            };
            self.entries.insert(holder.id.clone(), entry);
            return true;
        };
        entry.stopping = call.stopping;
        if entry.holder.incarnation == holder.incarnation {
            // Calls may arrive out of order, but a holder's version never decreases.
            entry.confirmed = entry.confirmed.max(call.rules);
            return false;
        }
        entry.holder = holder.clone();
        entry.confirmed = call.rules;
        true
    }

    /// Grants a lease for a call that arrived at `asked` and is answered at `now`.
    ///
    /// Returns the duration of the lease from the moment at which the holder sent the call.
    pub fn grant(&mut self, id: &HolderId, asked: Time, now: Time) -> Duration {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.expires = entry.expires.max(now + LEASE + MARGIN);
        }
        now.since(asked) + LEASE
    }

    /// Whether all valid leases are known: those granted by a former leader have expired.
    pub fn is_complete(&self, now: Time) -> bool {
        now >= self.complete_at
    }

    /// Whether this incarnation of a holder has a valid lease.
    pub fn holds(&self, id: &HolderId, incarnation: Incarnation, now: Time) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        entry.holder.incarnation == incarnation && now < entry.expires
    }

    /// The rules version that a holder has confirmed; 0 for an unknown holder.
    pub fn confirmed(&self, id: &HolderId) -> Version {
        let entry = self.entries.get(id);
        entry.map(|entry| entry.confirmed).unwrap_or_default()
    }

    /// The number of valid leases.
    pub fn live_count(&self, now: Time) -> usize {
        self.entries
            .values()
            .filter(|entry| now < entry.expires)
            .count()
    }

    /// The holders that may still apply rules older than `version`.
    pub fn behind(&self, version: Version, now: Time) -> Vec<HolderId> {
        let mut behind = Vec::new();
        for (id, entry) in &self.entries {
            if entry.confirmed >= version || now >= entry.expires {
                continue;
            }
            behind.push(id.clone());
        }
        behind
    }

    /// Whether no holder can still apply rules older than `version`.
    pub fn in_force(&self, version: Version, now: Time) -> bool {
        self.is_complete(now) && self.behind(version, now).is_empty()
    }

    /// All holders, for the status shown to operators.
    pub fn views(&self, now: Time) -> Vec<HolderView> {
        let mut views = Vec::new();
        for (id, entry) in &self.entries {
            let left = entry.expires.since(now).as_millis();
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

    /// Removes holders whose lease expired more than `EXPIRED_RETENTION` ago.
    pub fn sweep(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now < entry.expires + EXPIRED_RETENTION);
    }
}
