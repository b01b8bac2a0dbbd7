//! Handlers for online requests: rate tokens, records of requests that run at most once, and crash
//! reports.

use std::sync::Arc;

use clem_state::{Command, Outcome, poison};
use clem_wire::online::{
    OnceBegin, OnceBeginReply, OnceFinish, OnceFinishReply, ReportCrash, ReportCrashReply,
    TakeTokens, TakeTokensReply,
};
use salvo::Router;

use crate::control::{Control, Replicated, Result, ServeError};

use super::{Serve, route};

pub(super) fn routes(control: &Arc<Control>) -> Vec<Router> {
    vec![
        route::<TakeTokens, _>(control),
        route::<OnceBegin, _>(control),
        route::<OnceFinish, _>(control),
        route::<ReportCrash, _>(control),
    ]
}

impl Serve<Control> for TakeTokens {
    async fn serve(self, control: Arc<Control>) -> Result<TakeTokensReply> {
        let control = &*control;
        control.barrier().await?;
        control.with_leader(|lead, now| lead.take_tokens(&self, now))
    }
}

impl Serve<Control> for OnceBegin {
    async fn serve(self, control: Arc<Control>) -> Result<OnceBeginReply> {
        let control = &*control;
        let now = control.wall_time();
        match control
            .propose(Command::OnceBegin { call: self, now })
            .await?
        {
            Outcome::OnceBegin(reply) => Ok(reply),
            _ => Err(ServeError::Unknown),
        }
    }
}

impl Serve<Control> for OnceFinish {
    async fn serve(self, control: Arc<Control>) -> Result<OnceFinishReply> {
        let control = &*control;
        control.propose(Command::OnceFinish(self)).await?;
        Ok(OnceFinishReply {})
    }
}

impl Serve<Control> for ReportCrash {
    async fn serve(self, control: Arc<Control>) -> Result<ReportCrashReply> {
        let control = &*control;
        let now = control.wall_time();
        let target = self.target.clone();
        let requests = self.requests.len();
        let outcome = control
            .propose(Command::Crash { report: self, now })
            .await?;
        let Outcome::Crash(reply) = outcome else {
            return Err(ServeError::Unknown);
        };
        log::warn!(target:% = target, requests, verdicts:? = reply.verdicts; "target crashed");
        let version = control.replica.read(poison::version);
        control.with_leader(|lead, _| lead.poison = lead.poison.max(version))?;
        control.notify_update();
        Ok(reply)
    }
}
