//! Requests for the simulated workloads of the dispatcher.

use std::time::Duration;

use clem_policy::dispatch::{SlotRequest, Ticket, Urgency};

pub(crate) const SERVICE: &str = "engines";

/// An online request that is late after 240 ms and refused after 800 ms in the queue.
pub(crate) fn want(ticket: u64) -> SlotRequest {
    SlotRequest {
        ticket: Ticket(ticket),
        holder: "front".to_owned(),
        service: SERVICE.to_owned(),
        customer: None,
        rank: 0,
        urgency: Urgency::Online,
        final_try: false,
        on_time: Duration::from_millis(240),
        queue_timeout: Duration::from_millis(800),
        data_centre: "a".to_owned(),
        avoid: Vec::new(),
        parts: Vec::new(),
        stream: None,
    }
}
