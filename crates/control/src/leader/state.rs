//! The leader's soft state as a whole, and the replies to sync calls built from it.

use std::collections::{BTreeMap, BTreeSet};

use clem_policy::bucket::{Buckets, Granted, Limit, TokenRequest};
use clem_rules::Rules;
use clem_types::{CustomerId, Epoch, FenceNumber, HolderId, Incarnation, TargetId, Time, Version};
use clem_wire::{
    online::{Grant, TakeTokens, TakeTokensReply},
    sync::{ItemRef, Role, Sync, SyncReply},
};

use super::{
    fleet::{Fleet, ViewInputs},
    history::History,
    leases::Leases,
};

/// The leader's soft state during one epoch.
#[derive(Debug)]
pub struct LeaderState {
    /// The epoch (term) in which this process leads.
    pub epoch: Epoch,
    /// The leases of entries and agents on the rules.
    pub leases: Leases,
    /// The fleet view.
    pub fleet: Fleet,
    /// The current rules and their latest changes.
    pub history: History,
    /// Targets that an operator has ordered to drain.
    pub drained: BTreeSet<TargetId>,
    /// The current version of the poison list.
    pub poison: Version,
    /// The rules version for which all batches of removed customers have been cancelled.
    pub orphans_checked: Version,
    buckets: Buckets,
    /// The newest order sent to each holder, with the incarnation it was sent to.
    sent_orders: BTreeMap<HolderId, (Incarnation, FenceNumber)>,
    /// Batch items that holders have to stop and have not been told about yet.
    stops: BTreeMap<HolderId, BTreeSet<ItemRef>>,
}

/// What a sync call changed in the soft state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncEffect {
    /// The caller's target; `None` for an entry, or an agent whose target is not in the rules.
    pub target: Option<TargetId>,
    /// Whether the fleet view changed.
    pub fleet_changed: bool,
    /// Whether the holder confirmed a different rules version.
    pub confirmed: bool,
}

impl LeaderState {
    /// Creates the soft state of a process that became leader at `now`.
    pub fn new(epoch: Epoch, now: Time, rules: Rules, drained: BTreeSet<TargetId>) -> Self {
        Self {
            epoch,
            leases: Leases::new(now),
            fleet: Fleet::new(epoch),
            history: History::new(rules),
            drained,
            poison: Version(0),
            orphans_checked: Version(0),
            buckets: Buckets::new(now),
            sent_orders: BTreeMap::new(),
            stops: BTreeMap::new(),
        }
    }

    /// Records a holder's sync call.
    pub fn handle_sync(&mut self, call: &Sync, now: Time) -> SyncEffect {
        let before = self.leases.confirmed(&call.holder.id);
        if self.leases.record(call, now) {
            self.sent_orders.remove(&call.holder.id);
        }
        let mut effect = SyncEffect {
            target: None,
            fleet_changed: false,
            confirmed: self.leases.confirmed(&call.holder.id) != before,
        };
        effect.target = match call.holder.role {
            Role::Entry => None,
            Role::Agent => Fleet::target_of(self.history.rules(), call),
        };
        let Some(target) = &effect.target else {
            return effect;
        };
        self.fleet.record_report(target, call);
        // The reply will grant a lease; granted now, it already keeps the target in the view.
        self.leases.grant(&call.holder.id, now, now);
        effect.fleet_changed = self.refresh_target(target, now);
        effect
    }

    /// Removes stale leases and recomputes the fleet view; returns whether the view changed.
    pub fn refresh(&mut self, now: Time) -> bool {
        self.leases.sweep(now);
        let leases = &self.leases;
        self.fleet.refresh(&ViewInputs {
            now,
            rules: self.history.rules(),
            drained: &self.drained,
            lease_valid: &|id, incarnation| leases.holds(id, incarnation, now),
            leases_known: leases.is_complete(now),
        })
    }

    fn refresh_target(&mut self, target: &TargetId, now: Time) -> bool {
        let leases = &self.leases;
        let inputs = ViewInputs {
            now,
            rules: self.history.rules(),
            drained: &self.drained,
            lease_valid: &|id, incarnation| leases.holds(id, incarnation, now),
            leases_known: leases.is_complete(now),
        };
        self.fleet.refresh_target(target, &inputs)
    }

    /// Builds the part of a sync reply that comes from the soft state. It does not grant the lease.
    pub fn updates(&self, call: &Sync) -> SyncReply {
        let fleet = match call.holder.role {
            Role::Entry => self.fleet.delta(call.fleet),
            Role::Agent => None,
        };
        let stops = self.stops.get(&call.holder.id);
        SyncReply {
            lease_ms: 0,
            rules: self.history.delta(call.rules),
            fleet,
            poison: None,
            fence: FenceNumber(0),
            orders: Vec::new(),
            cancelled: stops.into_iter().flatten().copied().collect(),
        }
    }

    /// Whether `newest` is newer than the orders already sent to this incarnation of the holder.
    pub fn has_new_order(&self, call: &Sync, newest: FenceNumber) -> bool {
        match self.sent_orders.get(&call.holder.id) {
            Some((incarnation, sent)) if *incarnation == call.holder.incarnation => newest > *sent,
            Some(_) | None => newest > FenceNumber(0),
        }
    }

    /// Records that orders up to `newest` and the items to stop are being sent to a holder.
    ///
    /// If the reply is lost, the items stop nevertheless: their leases are not renewed.
    pub fn mark_sent(&mut self, call: &Sync, newest: FenceNumber) {
        self.stops.remove(&call.holder.id);
        let sent = (call.holder.incarnation, newest);
        self.sent_orders.insert(call.holder.id.clone(), sent);
    }

    /// Grants a lease for a call that arrived at `asked` and is answered at `now`.
    ///
    /// Returns its duration in milliseconds from the moment at which the holder sent the call.
    pub fn grant(&mut self, call: &Sync, asked: Time, now: Time) -> u32 {
        let span = self.leases.grant(&call.holder.id, asked, now);
        u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
    }

    /// Adds a batch item that a holder is told to stop in its next sync reply.
    pub fn stop_item(&mut self, holder: &HolderId, item: ItemRef) {
        self.stops.entry(holder.clone()).or_default().insert(item);
    }

    /// Grants rate tokens to an entry from the customers' token buckets.
    pub fn take_tokens(&mut self, call: &TakeTokens, now: Time) -> TakeTokensReply {
        let mut requests = Vec::new();
        for want in &call.wants {
            requests.push(TokenRequest {
                customer: want.customer.clone(),
                tokens: want.tokens,
                returned: want.returned,
                held: want.held,
            });
        }
        let rules = self.history.rules();
        let limit = |customer: &CustomerId| {
            let rule = rules.customers().get(customer)?;
            Some(Limit {
                rate: rule.rate,
                burst: rule.burst,
            })
        };
        let holder = (call.holder.clone(), call.incarnation);
        let granted = self
            .buckets
            .take(now, holder, call.sequence, &requests, limit);
        let mut grants = Vec::new();
        for (want, granted) in call.wants.iter().zip(granted) {
            grants.push(grant(want.customer.clone(), granted));
        }
        TakeTokensReply { grants }
    }
}

fn grant(customer: CustomerId, granted: Granted) -> Grant {
    let ttl = clem_policy::bucket::GRANT_TTL.as_millis();
    Grant {
        customer,
        tokens: granted.tokens,
        expires_ms: u32::try_from(ttl).unwrap_or(u32::MAX),
        retry_ms: granted.retry_ms,
        settling: granted.settling,
    }
}
