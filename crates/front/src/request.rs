//! A caller's request that has been routed, authenticated and read.

use std::{sync::Arc, time::Duration};

use clem_direct::Shipment;
use clem_edge::{Ask, Customer, Route, RouteKind};
use clem_policy::dispatch::{RateLimit, SlotRequest, Ticket, Urgency};
use clem_types::Time;

/// The time for which a request may wait for a slot, beyond which it can't be on time: what is
/// left of the objective goes to the way to the target and its first output.
const START_TIME: Duration = Duration::from_millis(60);
/// How much longer than on time a request may wait for a slot, as a share of its objective.
const LATE_SHARE: u32 = 2;
/// The share of what is left of a caller's patience after which waiting has no use.
const PATIENCE_SHARE: u32 = 2;

/// A caller's request that has been routed, authenticated and read.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) ask: Ask,
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) shipment: Shipment,
    /// Whether the caller has most likely been refused before.
    pub(crate) returned: bool,
    pub(crate) arrived: Time,
    /// When the caller or the operator wants it to be over.
    pub(crate) until: Time,
}

impl CallerRequest {
    /// What is left of the time.
    pub(crate) fn left(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// What to ask the hub for.
    pub(crate) fn want(&self, now: Time, service: &str, avoid: &[String]) -> SlotRequest {
        let objective = self.route.objective;
        let on_time = (self.arrived + objective)
            .since(now)
            .saturating_sub(START_TIME);
        let patience = (on_time + objective * LATE_SHARE).min(self.left(now) / PATIENCE_SHARE);
        let rank = self.customer.as_ref().and_then(|customer| customer.rank);
        SlotRequest {
            ticket: Ticket(0),
            holder: String::new(),
            service: service.to_owned(),
            customer: self.customer.as_ref().map(|c| c.name.clone()),
            rank: rank.unwrap_or(self.route.rank),
            urgency: Urgency::Online,
            final_try: self.returned,
            on_time,
            patience,
            data_centre: String::new(),
            avoid: avoid.to_vec(),
        }
    }

    /// The customer's rate, for when no leader answers.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        let customer = self.customer.as_ref()?;
        Some(RateLimit {
            rate: customer.rate,
            burst: customer.burst,
        })
    }

    /// Whether its answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}
