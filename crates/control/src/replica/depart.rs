//! Prepares a planned stop: this process's group must be able to do without it.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use clem_log::MemberKind;
use clem_wire::CallError;
use futures_util::future;

use super::{
    calls::{Depart, DepartReply},
    handle::Replica,
    shared::Shared,
};

/// Time between two requests to stop.
const PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_millis(500);

impl Replica {
    /// Prepares a planned stop: transfers leadership, and waits for at most `limit` until the leader
    /// says that the group can do without this member.
    ///
    /// A member that stops while another one is lost takes the quorum with it. One that stops for
    /// good leaves the group unable to bear a lost disk until it is replaced, which is done
    /// before it stops if a process asks to join.
    pub async fn prepare_stop(&self, limit: Duration) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if tokio::time::timeout(limit, self.depart()).await.is_err() {
            log::warn!(waited_ms = limit.as_millis() as u64; "stopping while the group needs this member");
        }
    }

    async fn depart(&self) {
        loop {
            // Noted before leadership is passed on, so that another one that stops doesn't pass it back.
            let _ = self.ask_own();
            // Again in each turn, as this member may have been elected once more.
            self.transfer_leadership().await;
            if self.may_stop().await {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Asks this process, which answers only if it leads.
    fn ask_own(&self) -> DepartReply {
        let shared = &self.shared;
        let now = shared.clock.now();
        let mut core = shared.core();
        let reply = core.as_mut().map(|core| core.depart(now, shared.member));
        reply.unwrap_or(DepartReply::NotLeader)
    }

    /// Asks the leader, then all others: this member may have been removed without being told.
    async fn may_stop(&self) -> bool {
        let shared = &self.shared;
        let (depart, leader, votes) = {
            let core = shared.core();
            let Some(core) = core.as_ref() else {
                return true;
            };
            let depart = Depart {
                cluster: core.cluster,
                member: shared.member,
            };
            let members = core.node().members();
            let leader = core.node().leader().and_then(|id| members.get(id));
            let leader = leader.and_then(|leader| leader.address.parse().ok());
            let votes = core.node().kind() == Some(MemberKind::Voter);
            (depart, leader, votes)
        };
        let own = self.ask_own();
        shared.work.notify_one();
        match own {
            DepartReply::Go => return true,
            DepartReply::Wait => return false,
            DepartReply::NotLeader => {}
        }
        if let Some(leader) = leader {
            match ask(shared, leader, &depart).await {
                // A leader of an earlier release doesn't know the call.
                Ok(DepartReply::Go) | Err(CallError::Refused { .. }) => return true,
                Ok(DepartReply::Wait) => return false,
                Ok(DepartReply::NotLeader) => {}
                Err(error) => {
                    log::debug!(address:% = leader, error:% = error; "failed to reach the leader");
                }
            }
        }
        let mut others = shared.others();
        others.retain(|address| Some(*address) != leader);
        let asked = others.iter().map(|address| ask(shared, *address, &depart));
        let replies = future::join_all(asked).await;
        // Most of them don't lead, and some may be gone.
        let mut answers = replies.into_iter().flatten();
        let answer = answers.find(|reply| *reply != DepartReply::NotLeader);
        // One that is no voter needn't wait for an answer.
        answer.map_or(!votes, |reply| reply == DepartReply::Go)
    }
}

async fn ask(
    shared: &Shared,
    address: SocketAddr,
    depart: &Depart,
) -> Result<DepartReply, CallError> {
    shared.client.call(address, depart, TIMEOUT).await
}
