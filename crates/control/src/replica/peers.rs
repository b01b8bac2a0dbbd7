//! Sends messages to other members. At most one exchange with each member is in flight, so that
//! messages queued meanwhile are sent together.

use std::{sync::Arc, time::Duration};

use clem_log::MemberId;

use super::{
    calls::{Exchange, ExchangeReply},
    in_flight::InFlightGuard,
    shared::Shared,
};

/// Approximate maximum size of the messages in one exchange.
const EXCHANGE_BYTES: usize = 2 * 1024 * 1024;
/// Timeout of one exchange.
const TIMEOUT: Duration = Duration::from_millis(1000);

/// Sends the outbox of the replica.
pub(super) struct PeerSender {
    shared: Arc<Shared>,
}

impl PeerSender {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Starts an exchange with each member that has queued messages and no exchange in flight.
    pub(super) fn send(&mut self) {
        let now = self.shared.clock.now();
        let mut core = self.shared.core();
        let Some(core) = core.as_mut() else { return };
        for member in core.pending_members() {
            let Some(guard) = self.shared.exchanges.begin(now, member) else {
                continue;
            };
            let messages = core.take_messages(member, EXCHANGE_BYTES);
            let address = core
                .node()
                .members()
                .get(member)
                .map(|known| known.address.clone());
            let exchange = Exchange {
                cluster: core.cluster,
                from: self.shared.member,
                messages,
            };
            tokio::spawn(exchange_with(
                Arc::clone(&self.shared),
                guard,
                member,
                address,
                exchange,
            ));
        }
    }
}

async fn exchange_with(
    shared: Arc<Shared>,
    guard: InFlightGuard,
    member: MemberId,
    address: Option<String>,
    exchange: Exchange,
) {
    let address = address.and_then(|address| address.parse().ok());
    if let Some(address) = address {
        match shared.client.call(address, &exchange, TIMEOUT).await {
            Ok(reply) => handle_reply(&shared, reply),
            Err(error) => log::debug!(member:% = member, error:% = error; "failed to reach member"),
        }
    }
    drop(guard);
    shared.work.notify_one();
}

fn handle_reply(shared: &Shared, reply: ExchangeReply) {
    let now = shared.clock.now();
    let mut core = shared.core();
    let Some(core) = core.as_mut() else { return };
    for message in reply.messages {
        core.step(now, message);
    }
}
