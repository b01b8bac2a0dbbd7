//! Sends messages to other members. At most one exchange with each member is in flight in each lane, so that
//! messages queued meanwhile are sent together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_log::MemberId;

use super::{
    calls::{Exchange, ExchangeReply},
    outbox::Lane,
    shared::Shared,
};

/// Approximate maximum size of the messages in one exchange, on a link that carries as much in time.
const EXCHANGE_BYTES: usize = 2 * 1024 * 1024;
/// The size with which exchanges begin.
const FIRST_BYTES: usize = 256 * 1024;
/// The size below which exchanges are not made smaller.
const LEAST_BYTES: usize = 64 * 1024;
/// Timeout of an exchange, beside the time that its body takes on a slow link.
const TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of an exchange however long its body takes.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends the outbox of the replica and tracks which exchanges are in flight.
pub(super) struct PeerSender {
    shared: Arc<Shared>,
    links: Arc<Mutex<Links>>,
}

/// What is known of the links to the other members.
#[derive(Debug, Default)]
struct Links {
    in_flight: BTreeSet<(MemberId, Lane)>,
    /// How much entries an exchange may carry, in bytes; members that are not listed have [`FIRST_BYTES`].
    sizes: BTreeMap<MemberId, usize>,
}

impl Links {
    fn size(&self, member: MemberId) -> usize {
        self.sizes.get(&member).copied().unwrap_or(FIRST_BYTES)
    }

    /// Makes later exchanges larger or smaller, by whether one arrived.
    fn note_exchange(&mut self, member: MemberId, arrived: bool) {
        let size = self.size(member);
        let next = if arrived { size * 2 } else { size / 2 };
        self.sizes
            .insert(member, next.clamp(LEAST_BYTES, EXCHANGE_BYTES));
    }
}

/// An exchange that is in flight; another one may begin once this is dropped, however its task ends.
struct InFlight {
    shared: Arc<Shared>,
    links: Arc<Mutex<Links>>,
    member: MemberId,
    lane: Lane,
    arrived: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        {
            let mut links = lock(&self.links);
            links.in_flight.remove(&(self.member, self.lane));
            if self.lane == Lane::Entries {
                links.note_exchange(self.member, self.arrived);
            }
        }
        if self.lane == Lane::Entries
            && let Some(core) = self.shared.core().as_mut()
        {
            core.entries_sent(self.member, self.arrived);
        }
        self.shared.work.notify_one();
    }
}

impl PeerSender {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            links: Arc::default(),
        }
    }

    /// Starts an exchange with each member that has queued messages and no exchange in flight.
    pub(super) fn send(&mut self) {
        for lane in Lane::ALL {
            self.send_lane(lane);
        }
    }

    fn send_lane(&self, lane: Lane) {
        let mut core = self.shared.core();
        let Some(core) = core.as_mut() else { return };
        for member in core.pending_members(lane) {
            let size = {
                let mut links = lock(&self.links);
                if !links.in_flight.insert((member, lane)) {
                    continue;
                }
                match lane {
                    Lane::Signals => EXCHANGE_BYTES,
                    Lane::Entries => links.size(member),
                }
            };
            let messages = core.take_messages(member, lane, size);
            let known = core.node().members().get(member);
            let address = known.and_then(|known| known.address.parse().ok());
            let exchange = Exchange {
                cluster: core.cluster,
                from: self.shared.member,
                messages,
            };
            let in_flight = InFlight {
                shared: Arc::clone(&self.shared),
                links: Arc::clone(&self.links),
                member,
                lane,
                arrived: false,
            };
            tokio::spawn(exchange_with(in_flight, address, exchange));
        }
    }
}

async fn exchange_with(mut in_flight: InFlight, address: Option<SocketAddr>, exchange: Exchange) {
    let Some(address) = address else { return };
    let timeout = match in_flight.lane {
        Lane::Signals => TIMEOUT,
        Lane::Entries => ENTRIES_TIMEOUT,
    };
    let client = &in_flight.shared.client;
    match client
        .call_unless_stalled(address, &exchange, TIMEOUT, timeout)
        .await
    {
        Ok(reply) => {
            in_flight.arrived = true;
            handle_reply(&in_flight.shared, reply);
        }
        Err(error) => {
            log::debug!(member:% = in_flight.member, error:% = error; "failed to reach member");
        }
    }
}

fn handle_reply(shared: &Shared, reply: ExchangeReply) {
    let now = shared.clock.now();
    let mut core = shared.core();
    let Some(core) = core.as_mut() else { return };
    for message in reply.messages {
        core.step(now, message);
    }
}

fn lock(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    links.lock().unwrap_or_else(PoisonError::into_inner)
}
