//! The calls that the leader answers.

use std::{sync::Arc, time::Duration};

use clem_control::endpoint::{Replicated, Result, Serve, ServeError, route};
use clem_policy::dispatch::{Ticket, Verdict};
use clem_state::{Command, Outcome, batch_group::BatchGroupChange, document};
use clem_types::RulesVersion;
use clem_wire::fleet::{
    FOLLOW_MAX_HOLD, Follow, FollowReply, GetRules, PLACE_MAX_HOLD, Ping, Place, PutRules, Release,
    Retire, RetireReply, RulesDocument,
};
use salvo::Router;

use crate::{Hub, list::change_batch_group};

/// The paths of all calls.
pub(crate) fn routes(hub: &Arc<Hub>) -> Vec<Router> {
    vec![
        route::<Follow, _>(hub),
        route::<Place, _>(hub),
        route::<Ping, _>(hub),
        route::<Release, _>(hub),
        route::<PutRules, _>(hub),
        route::<GetRules, _>(hub),
        route::<Retire, _>(hub),
    ]
}

impl Serve<Hub> for Follow {
    async fn serve(self, hub: Arc<Hub>) -> Result<FollowReply> {
        let mut news = hub.news();
        let mut leadership = hub.replica.watch();
        leadership.mark_unchanged();
        hub.lead(|lead, now| lead.hear(now, &self))?;
        let wait = Duration::from_millis(self.wait_ms.into()).min(FOLLOW_MAX_HOLD);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            news.mark_unchanged();
            let members = hub.members();
            if let Some(reply) = hub.lead(|lead, _| lead.news(&self, members))? {
                return Ok(reply);
            }
            tokio::select! {
                _ = news.changed() => {}
                _ = leadership.changed() => {}
                () = tokio::time::sleep_until(deadline) => return Ok(FollowReply::default()),
            }
        }
    }
}

/// A request that waits for its slot; whoever asked may go away.
struct Asked<'a> {
    hub: &'a Hub,
    ticket: Ticket,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.hub.forget(self.ticket);
    }
}

impl Serve<Hub> for Place {
    async fn serve(self, hub: Arc<Hub>) -> Result<Verdict> {
        let ticket = self.want.ticket;
        let held = self.want.patience.min(PLACE_MAX_HOLD) + Duration::from_millis(50);
        let answer = hub.lead(|lead, now| {
            for (ticket, ended) in &self.ends {
                lead.dispatcher.withdraw_or_release(now, *ticket, *ended);
            }
            let receiver = hub.wait_for(ticket);
            lead.dispatcher.ask(now, self.want);
            receiver
        })?;
        let _asked = Asked { hub: &hub, ticket };
        match tokio::time::timeout(held, answer).await {
            Ok(Ok(verdict)) => Ok(verdict),
            Ok(Err(_)) => Err(ServeError::NotLeader),
            Err(_) => Ok(Verdict::Busy {
                retry: Duration::from_millis(500),
                wait: held,
            }),
        }
    }
}

impl Serve<Hub> for Ping {
    async fn serve(self, hub: Arc<Hub>) -> Result<()> {
        hub.lead(|_, _| ())
    }
}

impl Serve<Hub> for Release {
    async fn serve(self, hub: Arc<Hub>) -> Result<()> {
        hub.lead(|lead, now| {
            for (ticket, ended) in self.ends {
                lead.dispatcher.withdraw_or_release(now, ticket, ended);
            }
        })
    }
}

impl Serve<Hub> for PutRules {
    const DETACHED: bool = true;

    async fn serve(self, hub: Arc<Hub>) -> Result<RulesVersion> {
        let version = self.rules.version;
        let outcome = hub.propose(Command::Document(self.rules)).await?;
        let Outcome::Document(kept) = outcome else {
            return Err(ServeError::Unknown);
        };
        log::info!(version = version.0, kept = kept.0; "rules put");
        let rules = hub.replica.read(document::document);
        hub.lead(|lead, now| hub.take_rules(lead, now, &rules))?;
        Ok(kept)
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
        let reply = hub.lead(|lead, _| lead.retire(&self.vm, wanted, self.begin))?;
        if self.begin && reply == RetireReply::Running {
            log::info!(vm = self.vm.as_str(); "vm is to be emptied");
            change_batch_group(&hub, BatchGroupChange::Retire(self.vm)).await?;
        }
        Ok(reply)
    }
}
