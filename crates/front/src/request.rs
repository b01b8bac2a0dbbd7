//! A caller's request after routing, authentication and reading its body.

use std::{sync::Arc, time::Duration};

use clem_direct::OutgoingRequest;
use clem_edge::{Customer, RequestInfo, Route, RouteKind};
use clem_policy::dispatch::{RateLimit, SlotRequest, Ticket, Urgency};
use clem_types::{PartId, Time};

use crate::caller::CallerLink;

/// Part of the latency objective reserved for the way to the target and its first output; the rest
/// may be spent waiting for a slot.
const RESERVED_TIME: Duration = Duration::from_millis(60);
/// How much longer than the on-time wait a request may wait for a slot, as a multiple of its
/// objective.
const LATE_FACTOR: u32 = 2;
/// A request may wait for a slot for its remaining time divided by this.
const LEFT_DIVISOR: u32 = 2;

/// A caller's request after routing, authentication and reading its body.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) info: RequestInfo,
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) outgoing: OutgoingRequest,
    /// The connection that it came on.
    pub(crate) link: CallerLink,
    /// Whether the caller understands a response in chunks, which HTTP/1.0 doesn't have.
    pub(crate) reads_chunks: bool,
    /// What it has in common with other requests.
    pub(crate) parts: Vec<PartId>,
    /// Whether the caller has probably been refused before.
    pub(crate) is_retry: bool,
    pub(crate) arrived: Time,
    /// The deadline: the earlier of the caller's and the route's.
    pub(crate) until: Time,
}

impl CallerRequest {
    /// Time left until the deadline.
    pub(crate) fn left(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Builds the request for a slot.
    pub(crate) fn want(&self, now: Time, service: &str, avoid: &[String]) -> SlotRequest {
        let objective = self.route.objective;
        let on_time = (self.arrived + objective)
            .since(now)
            .saturating_sub(RESERVED_TIME);
        let queue_timeout = (on_time + objective * LATE_FACTOR).min(self.left(now) / LEFT_DIVISOR);
        let rank = self.customer.as_ref().and_then(|customer| customer.rank);
        SlotRequest {
            ticket: Ticket(0),
            holder: String::new(),
            service: service.to_owned(),
            customer: self.customer.as_ref().map(|c| c.name.clone()),
            rank: rank.unwrap_or(self.route.rank),
            urgency: Urgency::Online,
            final_try: self.is_retry,
            on_time,
            queue_timeout,
            data_centre: String::new(),
            avoid: avoid.to_vec(),
            parts: self.parts.clone(),
            stream: None,
        }
    }

    /// The customer's rate limit, enforced locally while no leader responds.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        let customer = self.customer.as_ref()?;
        Some(RateLimit {
            rate: customer.rate,
            burst: customer.burst,
        })
    }

    /// The ids of the prompt's segments that other requests may have too, for the log; the last one
    /// belongs to the request or its session.
    pub(crate) fn shared_parts(&self) -> String {
        let parts = &self.info.parts;
        let shared = parts.len().saturating_sub(1);
        let ids: Vec<&str> = parts[..shared]
            .iter()
            .map(|part| part.id.as_str())
            .collect();
        ids.join(",")
    }

    /// The services that may run it.
    pub(crate) fn services(&self) -> Vec<String> {
        let backends = self.route.backends.iter().filter(|b| b.weight > 0);
        backends.map(|backend| backend.service.clone()).collect()
    }

    /// Whether its response is a stream that can be resumed.
    pub(crate) fn is_resumable(&self) -> bool {
        self.is_stream() && self.route.resumable
    }

    /// Whether the response is an event stream.
    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}
