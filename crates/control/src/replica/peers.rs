//! Messages between members: one exchange at a time with each, so that messages that pile up
//! meanwhile travel together.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clem_log::MemberId;

use super::{
    calls::{Exchange, ExchangeReply},
    shared::Shared,
};

/// About how many bytes of messages travel together.
const EXCHANGE_BYTES: usize = 2 * 1024 * 1024;
/// How long a member is waited for.
const TIMEOUT: Duration = Duration::from_millis(1000);

/// The exchanges that are on their way.
pub(super) struct Peers {
    shared: Arc<Shared>,
    busy: Arc<Mutex<BTreeSet<MemberId>>>,
}

impl Peers {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            busy: Arc::new(Mutex::new(BTreeSet::new())),
        }
    }

    /// Starts an exchange with each member for whom messages wait.
    pub(super) fn send(&mut self) {
        let mut seat = self.shared.seat();
        let Some(seat) = seat.as_mut() else { return };
        for member in seat.receivers() {
            let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
            if !busy.insert(member) {
                continue;
            }
            let messages = seat.take_messages(member, EXCHANGE_BYTES);
            let address = seat
                .node()
                .members()
                .get(member)
                .map(|known| known.address.clone());
            let exchange = Exchange {
                cluster: seat.cluster,
                from: self.shared.member,
                messages,
            };
            tokio::spawn(send_one(
                Arc::clone(&self.shared),
                Arc::clone(&self.busy),
                member,
                address,
                exchange,
            ));
        }
    }
}

async fn send_one(
    shared: Arc<Shared>,
    busy: Arc<Mutex<BTreeSet<MemberId>>>,
    member: MemberId,
    address: Option<String>,
    exchange: Exchange,
) {
    let address = address.and_then(|address| address.parse().ok());
    if let Some(address) = address {
        match shared.client.call(address, &exchange, TIMEOUT).await {
            Ok(reply) => take_reply(&shared, reply),
            Err(error) => log::debug!(member:% = member, error:% = error; "member not reached"),
        }
    }
    busy.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&member);
    shared.work.notify_one();
}

fn take_reply(shared: &Shared, reply: ExchangeReply) {
    let now = shared.clock.now();
    let mut seat = shared.seat();
    let Some(seat) = seat.as_mut() else { return };
    for message in reply.messages {
        seat.step(now, message);
    }
}
