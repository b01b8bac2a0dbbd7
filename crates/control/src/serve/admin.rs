//! Handlers for operators: rules, orders, status and membership.

use std::{sync::Arc, time::Duration};

use clem_rules::Rules;
use clem_state::{ApplyOutcome, ApplyRules, Command, Outcome, batch, orders, rules};
use clem_types::Version;
use clem_wire::{
    LeaderReply,
    admin::{
        Apply, ApplyReply, ChangeMembers, ChangeMembersReply, FileFinding, GiveOrder,
        GiveOrderReply, ReadRules, ReadStatus, RulesFile, StatusView,
    },
    sync::Action,
};
use salvo::Router;

use crate::control::{Control, Replicated, Result, ServeError};

use super::{Serve, order_check, route, route_check};

/// How long an apply call waits for the version to be in force; the client repeats the call after
/// that.
const IN_FORCE_TIMEOUT: Duration = <Apply as clem_wire::Call>::MAX_HOLD;
/// How often a waiting apply call checks for expired leases.
const IN_FORCE_POLL: Duration = Duration::from_millis(50);
/// Maximum number of orders in a status.
const MAX_ORDERS: usize = 50;
/// Maximum number of endangered batches in a status.
const MAX_ENDANGERED: usize = 50;

pub(super) fn routes(control: &Arc<Control>) -> Vec<Router> {
    vec![
        route::<Apply, _>(control),
        route::<ReadRules, _>(control),
        route::<GiveOrder, _>(control),
        route::<ReadStatus, _>(control),
        route::<ChangeMembers, _>(control),
    ]
}

// ---------------------------------------------------------------------------------------------
// Rules

impl Serve<Control> for Apply {
    async fn serve(self, control: Arc<Control>) -> Result<ApplyReply> {
        let control = &*control;
        let rules = match clem_rules::parse(&self.text, self.expect.next()) {
            Ok(rules) => rules,
            Err(findings) => return Ok(rejected(findings)),
        };
        control.barrier().await?;
        // A repeated command gets its first answer again, even if the fleet has changed since.
        let known = control
            .replica
            .read(|store| rules::is_answered(store, &self.command));
        if !known {
            let findings =
                control.with_leader(|lead, _| route_check::check(lead, &rules, &self.text))?;
            if !findings.is_empty() {
                return Ok(rejected(findings));
            }
        }
        let command = Command::Apply(ApplyRules {
            command: self.command.clone(),
            expect: self.expect,
            text: self.text,
        });
        let Outcome::Apply(outcome) = control.propose(command).await? else {
            return Err(ServeError::Unknown);
        };
        log::info!(command:% = self.command, expect = self.expect.0, outcome:? = outcome; "rules applied");
        match outcome {
            ApplyOutcome::Accepted(version) => {
                publish_rules(control, version, rules)?;
                wait_in_force(control, version).await
            }
            ApplyOutcome::Conflict { current } => Ok(ApplyReply::Conflict { current }),
            ApplyOutcome::Reused => {
                let message = format!("the command id {} was used for another file", self.command);
                Ok(rejected(vec![clem_rules::Finding {
                    line: 1,
                    column: 1,
                    message,
                }]))
            }
        }
    }
}

fn rejected(findings: Vec<clem_rules::Finding>) -> ApplyReply {
    let mut list = Vec::new();
    for finding in findings {
        list.push(FileFinding {
            line: finding.line,
            column: finding.column,
            message: finding.message,
        });
    }
    ApplyReply::Rejected { findings: list }
}

/// Adds an accepted version to the soft state, which sends it to the holders. Has no effect for a
/// repeated command, whose version is already there.
fn publish_rules(control: &Control, version: Version, rules: Rules) -> Result<()> {
    debug_assert_eq!(
        rules.version(),
        version,
        "an accepted file gets the version after the expected one"
    );
    control.with_leader(|lead, now| {
        lead.history.push(rules);
        lead.refresh(now);
    })?;
    control.notify_update();
    Ok(())
}

async fn wait_in_force(control: &Control, version: Version) -> Result<ApplyReply> {
    let mut confirmed = control.confirmations();
    let deadline = tokio::time::Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let (in_force, waiting) = control.with_leader(|lead, now| {
            let waiting = lead.leases.behind(version, now);
            (lead.leases.in_force(version, now), waiting)
        })?;
        if in_force || tokio::time::Instant::now() >= deadline {
            return Ok(ApplyReply::Accepted {
                version,
                in_force,
                waiting,
            });
        }
        let _ = tokio::time::timeout(IN_FORCE_POLL, confirmed.changed()).await;
    }
}

impl Serve<Control> for ReadRules {
    async fn serve(self, control: Arc<Control>) -> Result<RulesFile> {
        let control = &*control;
        control.barrier().await?;
        Ok(control.replica.read(rules::file))
    }
}

// ---------------------------------------------------------------------------------------------
// Orders

impl Serve<Control> for GiveOrder {
    async fn serve(self, control: Arc<Control>) -> Result<GiveOrderReply> {
        let control = &*control;
        control.barrier().await?;
        let refused = control.with_leader(|lead, _| order_check::check(lead, &self).err())?;
        if let Some(reason) = refused {
            log::info!(target:% = self.target, action:? = self.action, reason; "order refused");
            return Ok(GiveOrderReply::Rejected { reason });
        }
        let command = Command::Order(clem_state::GiveOrder {
            command: self.command.clone(),
            target: self.target.clone(),
            action: self.action.clone(),
            expect: self.expect,
            now: control.wall_time(),
        });
        let Outcome::Order(reply) = control.propose(command).await? else {
            return Err(ServeError::Unknown);
        };
        log::info!(
            target:% = self.target, action:? = self.action, command:% = self.command, reply:? = reply;
            "order given"
        );
        if matches!(self.action, Action::Drain | Action::Resume) {
            refresh_drained(control)?;
        }
        control.notify_update();
        Ok(reply)
    }
}

/// Copies the set of draining targets from the replicated state to the soft state.
fn refresh_drained(control: &Control) -> Result<()> {
    let drained = control.replica.read(orders::drained);
    control.with_leader(|lead, now| {
        lead.drained = drained.into_iter().collect();
        lead.refresh(now);
    })
}

// ---------------------------------------------------------------------------------------------
// Status and members

impl Serve<Control> for ReadStatus {
    async fn serve(self, control: Arc<Control>) -> Result<StatusView> {
        let control = &*control;
        control.barrier().await?;
        let orders = control
            .replica
            .read(|store| orders::latest(store, MAX_ORDERS));
        let members = control.replica.members();
        let wall = control.wall_time();
        let endangered = control
            .replica
            .read(|store| batch::endangered(store, wall, MAX_ENDANGERED));
        control.with_leader(|lead, now| StatusView {
            rules: lead.history.rules().version(),
            members,
            holders: lead.leases.views(now),
            targets: lead.fleet.statuses(lead.history.rules()),
            endangered,
            orders,
        })
    }
}

impl Serve<Control> for ChangeMembers {
    async fn serve(self, control: Arc<Control>) -> Result<ChangeMembersReply> {
        let control = &*control;
        log::info!(command:% = self.command, change:? = self.change; "membership change requested");
        match control.replica.change_members(self.change).await {
            LeaderReply::Done(reply) => Ok(reply),
            LeaderReply::NotLeader { .. } => Err(ServeError::NotLeader),
            LeaderReply::Unknown => Err(ServeError::Unknown),
            LeaderReply::NoRoom => Err(ServeError::NoRoom),
        }
    }
}
