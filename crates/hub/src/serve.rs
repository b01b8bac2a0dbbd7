//! Internal calls, which only the leader answers.

use std::{sync::Arc, time::Duration};

use clem_control::endpoint::{Replicated, Result, Serve, ServeError, route};
use clem_policy::dispatch::{Ticket, Verdict};
use clem_state::{
    Command, Outcome,
    batch_group::BatchGroupChange,
    document,
    evacuations::{self, EVACUATED_MAX, EvacuationChange},
};
use clem_types::Version;
use clem_wire::fleet::{
    Evacuate, EvacuateReply, FOLLOW_MAX_HOLD, FetchHeld, FetchRules, Follow, FollowReply, GetRules,
    Held, Ping, PutRules, Release, RequestSlot, Retire, RetireReply, RulesDocument, SLOT_MAX_HOLD,
};
use salvo::Router;

use crate::{Hub, tasks::change_batch_group};

/// The routes of all calls.
pub(crate) fn routes(hub: &Arc<Hub>) -> Vec<Router> {
    vec![
        route::<Follow, _>(hub),
        route::<RequestSlot, _>(hub),
        route::<Ping, _>(hub),
        route::<Release, _>(hub),
        route::<PutRules, _>(hub),
        route::<FetchRules, _>(hub),
        route::<FetchHeld, _>(hub),
        route::<GetRules, _>(hub),
        route::<Retire, _>(hub),
        route::<Evacuate, _>(hub),
    ]
}

impl Serve<Hub> for Follow {
    async fn serve(self, hub: Arc<Hub>) -> Result<FollowReply> {
        let mut guard = PollGuard {
            hub: &hub,
            holder: &self.holder,
            replied: false,
        };
        let reply = poll(&hub, &self).await;
        guard.replied = true;
        reply
    }
}

/// Records a report and waits until there is something to reply.
async fn poll(hub: &Hub, follow: &Follow) -> Result<FollowReply> {
    let poll = hub.polls.register(&follow.holder);
    let mut leadership = hub.replica.watch_leadership();
    leadership.mark_unchanged();
    hub.with_leader(|leader, now| {
        leader.note_leaving(now, &follow.vm, &follow.leaving);
        leader.record_report(now, follow);
    })?;
    let wait = Duration::from_millis(follow.wait_ms.into()).min(FOLLOW_MAX_HOLD);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let members = hub.members();
        if let Some(reply) = hub.with_leader(|leader, now| leader.updates(now, follow, members))? {
            if let Some(rules) = &reply.rules {
                log::info!(
                    vm = follow.vm.as_str(), version = rules.version.0, known = follow.rules.0,
                    bytes = rules.document.len();
                    "rules sent with a poll"
                );
            }
            return Ok(reply);
        }
        tokio::select! {
            () = poll.woken() => {}
            _ = leadership.changed() => {}
            () = tokio::time::sleep_until(deadline) => return Ok(FollowReply::default()),
        }
    }
}

/// Notes that a process has hung up when its poll is dropped: its system closes the connection when it
/// ends, while one out of touch is only silent.
struct PollGuard<'a> {
    hub: &'a Hub,
    holder: &'a str,
    replied: bool,
}

impl Drop for PollGuard<'_> {
    fn drop(&mut self) {
        if self.replied {
            return;
        }
        // If this process is no longer the leader, the next one has not heard of it.
        let _ = self
            .hub
            .with_leader(|leader, now| leader.dispatcher.note_ended(now, self.holder));
    }
}

/// Withdraws a waiting request when the call that made it is dropped.
struct WaitGuard<'a> {
    hub: &'a Hub,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.hub.cancel_wait(self.ticket);
    }
}

impl Serve<Hub> for RequestSlot {
    async fn serve(self, hub: Arc<Hub>) -> Result<Verdict> {
        let ticket = self.want.ticket;
        let held = self.want.queue_timeout.min(SLOT_MAX_HOLD) + Duration::from_millis(50);
        let answer = hub.with_leader(|leader, now| {
            for (ticket, ended) in &self.ends {
                leader.dispatcher.withdraw_or_release(now, *ticket, *ended);
            }
            leader.restore_limits(now, &self.want.holder, &self.limits);
            let receiver = hub.register_waiter(ticket);
            leader.dispatcher.request_slot(now, self.want);
            receiver
        })?;
        let _guard = WaitGuard { hub: &hub, ticket };
        match tokio::time::timeout(held, answer).await {
            Ok(Ok(verdict)) => Ok(verdict),
            Ok(Err(_)) => Err(ServeError::NotLeader),
            Err(_) => Ok(Verdict::Busy {
                retry: Duration::from_millis(500),
                wait: held,
                suspected: false,
            }),
        }
    }
}

impl Serve<Hub> for Ping {
    async fn serve(self, hub: Arc<Hub>) -> Result<()> {
        hub.with_leader(|_, _| ())
    }
}

impl Serve<Hub> for Release {
    async fn serve(self, hub: Arc<Hub>) -> Result<()> {
        hub.with_leader(|leader, now| {
            leader.note_leaving(now, &self.holder, &self.leaving);
            leader.note_limits(now, &self.holder, &self.limits);
            for (ticket, ended) in self.ends {
                leader.dispatcher.withdraw_or_release(now, ticket, ended);
            }
        })
    }
}

impl Serve<Hub> for PutRules {
    const DETACHED: bool = true;

    async fn serve(self, hub: Arc<Hub>) -> Result<Version> {
        let version = self.rules.version;
        let _turn = hub.put_turn.lock().await;
        let stored = hub.stored_rules();
        if version <= stored {
            log::info!(version = version.0, kept = stored.0; "rules already stored");
            return Ok(stored);
        }
        let outcome = hub.propose(Command::Document(self.rules.into())).await?;
        let Outcome::Document(kept) = outcome else {
            return Err(ServeError::Unknown);
        };
        log::info!(version = version.0, kept = kept.0; "rules stored");
        let rules = hub.replica.read(document::document);
        hub.with_leader(|leader, now| hub.install_rules(leader, now, &rules))?;
        Ok(kept)
    }
}

impl Serve<Hub> for FetchRules {
    async fn serve(self, hub: Arc<Hub>) -> Result<RulesDocument> {
        if hub.stored_rules() < self.wanted {
            return Err(ServeError::NotLeader);
        }
        let rules = hub.replica.read(document::document);
        log::info!(
            version = rules.version.0, wanted = self.wanted.0, bytes = rules.document.len();
            "rules sent"
        );
        Ok(rules)
    }
}

impl Serve<Hub> for FetchHeld {
    async fn serve(self, hub: Arc<Hub>) -> Result<Held> {
        // Others may lag, and a removed one doesn't hear of changes any more.
        let (changed, voters) = hub.replica.membership().ok_or(ServeError::NotLeader)?;
        let evacuations = hub.replica.read(evacuations::read);
        Ok(Held {
            rules: hub.replica.read(document::document),
            evacuated: evacuations.data_centres,
            fronts: hub.count_front(&self),
            voters,
            changed: (changed.term.0, changed.index.0),
        })
    }
}

impl Serve<Hub> for GetRules {
    async fn serve(self, hub: Arc<Hub>) -> Result<RulesDocument> {
        hub.barrier().await?;
        Ok(hub.replica.read(document::document))
    }
}

impl Serve<Hub> for Retire {
    const DETACHED: bool = true;

    async fn serve(self, hub: Arc<Hub>) -> Result<RetireReply> {
        hub.barrier().await?;
        let wanted = 2 * hub.tolerance + 1;
        let reply = hub.with_leader(|leader, _| leader.retire(&self.vm, wanted, self.begin))?;
        if self.begin && reply == RetireReply::Running {
            log::info!(vm = self.vm.as_str(); "retiring vm");
            change_batch_group(&hub, BatchGroupChange::Retire(self.vm)).await?;
        }
        Ok(reply)
    }
}

impl Serve<Hub> for Evacuate {
    const DETACHED: bool = true;

    async fn serve(self, hub: Arc<Hub>) -> Result<EvacuateReply> {
        // A resent order must find the first one stored, and be in force when it is acknowledged again.
        let _turn = hub.put_turn.lock().await;
        hub.barrier().await?;
        let data_centre = self.data_centre.clone();
        let change = if self.begin {
            EvacuationChange::Start(self.data_centre)
        } else {
            EvacuationChange::End(self.data_centre)
        };
        let kept = hub.replica.read(evacuations::read);
        if !kept.includes(&change) {
            if self.begin && kept.data_centres.len() >= EVACUATED_MAX {
                log::warn!(data_centre, evacuated = kept.data_centres.len(); "evacuation refused");
                return Ok(EvacuateReply::TooMany);
            }
            hub.propose(Command::Document(change.into())).await?;
        }
        let stored = hub.replica.read(evacuations::read);
        let evacuated = stored.data_centres.len();
        let changed = hub.with_leader(|leader, now| leader.set_evacuations(now, &stored))?;
        log::info!(data_centre, begin = self.begin, changed, evacuated; "evacuation stored");
        Ok(EvacuateReply::Stored)
    }
}
