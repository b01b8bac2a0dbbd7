//! Sends messages to other members. At most one exchange with each member is in flight in each lane, so that
//! messages queued meanwhile are sent together.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_log::MemberId;

use super::{
    calls::{Exchange, ExchangeReply},
    in_flight::InFlightGuard,
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

/// Sends the outbox of the replica.
pub(super) struct PeerSender {
    shared: Arc<Shared>,
    sizes: Arc<Mutex<Sizes>>,
}

/// How many bytes of entries an exchange with each member may carry; [`FIRST_BYTES`] unless one is known.
#[derive(Debug, Default)]
struct Sizes(BTreeMap<MemberId, usize>);

impl Sizes {
    fn get(&self, member: MemberId) -> usize {
        self.0.get(&member).copied().unwrap_or(FIRST_BYTES)
    }

    /// Makes later exchanges larger or smaller, by whether one arrived.
    fn note_exchange(&mut self, member: MemberId, arrived: bool) {
        let size = self.get(member);
        let next = if arrived { size * 2 } else { size / 2 };
        self.0
            .insert(member, next.clamp(LEAST_BYTES, EXCHANGE_BYTES));
    }
}

/// An exchange that is under way. Once it is dropped, however its task ends, the next one may begin.
struct Sending {
    shared: Arc<Shared>,
    sizes: Arc<Mutex<Sizes>>,
    guard: Option<InFlightGuard<(MemberId, Lane)>>,
    member: MemberId,
    lane: Lane,
    arrived: bool,
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.guard = None;
        if self.lane == Lane::Entries {
            lock(&self.sizes).note_exchange(self.member, self.arrived);
            if let Some(core) = self.shared.core().as_mut() {
                core.entries_sent(self.member, self.arrived);
            }
        }
        self.shared.work.notify_one();
    }
}

impl PeerSender {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            sizes: Arc::default(),
        }
    }

    /// Starts an exchange with each member that has queued messages and no exchange in flight.
    pub(super) fn send(&mut self) {
        for lane in Lane::ALL {
            self.send_lane(lane);
        }
    }

    fn send_lane(&self, lane: Lane) {
        let now = self.shared.clock.now();
        let mut core = self.shared.core();
        let Some(core) = core.as_mut() else { return };
        for member in core.pending_members(lane) {
            let Some(guard) = self.shared.exchanges.begin(now, (member, lane)) else {
                continue;
            };
            let size = match lane {
                Lane::Signals => EXCHANGE_BYTES,
                Lane::Entries => lock(&self.sizes).get(member),
            };
            let messages = core.take_messages(member, lane, size);
            let known = core.node().members().get(member);
            let address = known.and_then(|known| known.address.parse().ok());
            let exchange = Exchange {
                cluster: core.cluster,
                from: self.shared.member,
                messages,
            };
            let sending = Sending {
                shared: Arc::clone(&self.shared),
                sizes: Arc::clone(&self.sizes),
                guard: Some(guard),
                member,
                lane,
                arrived: false,
            };
            tokio::spawn(exchange_with(sending, address, exchange));
        }
    }
}

async fn exchange_with(mut sending: Sending, address: Option<SocketAddr>, exchange: Exchange) {
    let Some(address) = address else { return };
    let timeout = match sending.lane {
        Lane::Signals => TIMEOUT,
        Lane::Entries => ENTRIES_TIMEOUT,
    };
    let client = &sending.shared.client;
    match client
        .call_unless_stalled(address, &exchange, TIMEOUT, timeout)
        .await
    {
        Ok(reply) => {
            sending.arrived = true;
            handle_reply(&sending.shared, reply);
        }
        Err(error) => {
            log::debug!(member:% = sending.member, error:% = error; "failed to reach member");
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

fn lock(sizes: &Mutex<Sizes>) -> MutexGuard<'_, Sizes> {
    sizes.lock().unwrap_or_else(PoisonError::into_inner)
}
