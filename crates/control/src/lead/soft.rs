//! The leader's whole soft state, and what a holder is told of it.

use std::collections::{BTreeMap, BTreeSet};

use clem_policy::bucket::{Ask, Buckets, Granted, Limit};
use clem_rules::Rules;
use clem_types::{
    CustomerId, Epoch, FenceNumber, HolderId, Incarnation, RulesVersion, TargetId, Time,
};
use clem_wire::{
    online::{Grant, TakeTokens, TakeTokensReply},
    sync::{ItemRef, Role, Sync, SyncReply},
};

use super::{
    fleet::{Facts, Fleet},
    history::History,
    leases::Leases,
};

/// The leader's soft state, for one term.
#[derive(Debug)]
pub struct Lead {
    /// The term.
    pub epoch: Epoch,
    /// The leases on the rules.
    pub leases: Leases,
    /// The view of the fleet.
    pub fleet: Fleet,
    /// The rules and their latest changes.
    pub history: History,
    /// Targets with a drain mark.
    pub drained: BTreeSet<TargetId>,
    /// The version of the poison list.
    pub poison: RulesVersion,
    /// The rules by which batches of customers that are gone were last looked for.
    pub swept: RulesVersion,
    buckets: Buckets,
    /// The newest order that each holder has been told of.
    told: BTreeMap<HolderId, (Incarnation, FenceNumber)>,
    /// Items that holders run and that must stop.
    stops: BTreeMap<HolderId, BTreeSet<ItemRef>>,
}

/// What a call of a holder brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// The target that the caller stands beside.
    pub target: Option<TargetId>,
    /// Whether the fleet view changed.
    pub moved: bool,
    /// Whether the holder confirmed another version of the rules.
    pub confirmed: bool,
}

impl Lead {
    /// The soft state of a leader that took office at `now`.
    pub fn new(epoch: Epoch, now: Time, rules: Rules, drained: BTreeSet<TargetId>) -> Self {
        Self {
            epoch,
            leases: Leases::new(now),
            fleet: Fleet::new(epoch),
            history: History::new(rules),
            drained,
            poison: RulesVersion(0),
            swept: RulesVersion(0),
            buckets: Buckets::new(now),
            told: BTreeMap::new(),
            stops: BTreeMap::new(),
        }
    }

    /// Takes in a call of a holder.
    pub fn hear(&mut self, call: &Sync, now: Time) -> Heard {
        let before = self.leases.confirmed(&call.holder.id);
        if self.leases.hear(call, now) {
            self.told.remove(&call.holder.id);
        }
        let mut heard = Heard {
            target: None,
            moved: false,
            confirmed: self.leases.confirmed(&call.holder.id) != before,
        };
        heard.target = match call.holder.role {
            Role::Entry => None,
            Role::Agent => Fleet::target_of(self.history.rules(), call),
        };
        let Some(target) = &heard.target else {
            return heard;
        };
        self.fleet.hear(target, call);
        // The call will be answered by a lease, which the target counts by.
        self.leases.grant(&call.holder.id, now, now);
        heard.moved = self.refresh_target(target, now);
        heard
    }

    /// Brings the fleet view up to date; says whether it changed.
    pub fn refresh(&mut self, now: Time) -> bool {
        self.leases.sweep(now);
        let leases = &self.leases;
        self.fleet.refresh(&Facts {
            now,
            rules: self.history.rules(),
            drained: &self.drained,
            holds: &|id, incarnation| leases.holds(id, incarnation, now),
            complete: leases.is_complete(now),
        })
    }

    fn refresh_target(&mut self, target: &TargetId, now: Time) -> bool {
        let leases = &self.leases;
        let facts = Facts {
            now,
            rules: self.history.rules(),
            drained: &self.drained,
            holds: &|id, incarnation| leases.holds(id, incarnation, now),
            complete: leases.is_complete(now),
        };
        self.fleet.refresh_target(target, &facts)
    }

    /// What the soft state has to tell a holder that called; the lease is not granted yet.
    pub fn news(&self, call: &Sync) -> SyncReply {
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

    /// Whether an order is newer than those that the holder has been told of.
    pub fn is_untold(&self, call: &Sync, newest: FenceNumber) -> bool {
        match self.told.get(&call.holder.id) {
            Some((incarnation, told)) if *incarnation == call.holder.incarnation => newest > *told,
            Some(_) | None => newest > FenceNumber(0),
        }
    }

    /// Remembers that a holder is being told of orders up to `newest`, and of items that must
    /// stop. Where the answer is lost, such an item's lease is not renewed, which stops it too.
    pub fn tell(&mut self, call: &Sync, newest: FenceNumber) {
        self.stops.remove(&call.holder.id);
        let told = (call.holder.incarnation, newest);
        self.told.insert(call.holder.id.clone(), told);
    }

    /// Grants the lease of a call that arrived at `asked` and is answered at `now`; in
    /// milliseconds from when the holder asked.
    pub fn grant(&mut self, call: &Sync, asked: Time, now: Time) -> u32 {
        let span = self.leases.grant(&call.holder.id, asked, now);
        u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
    }

    /// Tells a holder to stop an item.
    pub fn stop_item(&mut self, holder: &HolderId, item: ItemRef) {
        self.stops.entry(holder.clone()).or_default().insert(item);
    }

    /// Grants rate tokens.
    pub fn take_tokens(&mut self, call: &TakeTokens, now: Time) -> TakeTokensReply {
        let mut asks = Vec::new();
        for want in &call.wants {
            asks.push(Ask {
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
        let granted = self.buckets.take(now, holder, call.sequence, &asks, limit);
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
