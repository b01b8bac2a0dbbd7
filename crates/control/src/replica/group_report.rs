//! Reports why this process's group has no leader, or a voter that should be replaced.

use std::time::Duration;

use clem_log::{GroupStatus, MemberKind, VoterStatus};
use clem_types::Time;
use metrics::gauge;

use super::LOG_INTERVAL;

/// How long a group may be without a leader before that is logged; elections take less.
const LEADERLESS_LOGGED: Duration = Duration::from_secs(2);

/// How long a group may lack voters before that is logged; a process that can vote joins in less.
const LACKING_LOGGED: Duration = Duration::from_secs(10);

/// When the state of the group was logged.
#[derive(Debug, Default)]
pub(super) struct GroupReport {
    logged: Option<Time>,
    /// Since when the group lacks voters, or when that was logged.
    lacking: Option<Time>,
}

impl GroupReport {
    /// Reports the group at `now`.
    pub(super) fn report(&mut self, now: Time, status: &GroupStatus) {
        let leaderless = status.leaderless.unwrap_or_default();
        gauge!("clem_control_leaderless_seconds").set(leaderless.as_secs_f64());
        gauge!("clem_control_voters_reachable").set(status.reachable as f64);
        gauge!("clem_control_voters_needed").set(status.quorum as f64);
        let vacancies = if status.vacancy.is_some() { 1.0 } else { 0.0 };
        gauge!("clem_control_vacancies").set(vacancies);
        let own = status.own == Some(MemberKind::Voter);
        gauge!("clem_control_own_vote").set(f64::from(u8::from(own)));
        let refused = |voter: &&VoterStatus| voter.granted == Some(false);
        let refused = status.voters.iter().filter(refused).count();
        gauge!("clem_control_votes_refused").set(refused as f64);
        self.report_size(now, status);
        let without_leader = leaderless >= LEADERLESS_LOGGED;
        if !without_leader && status.vacancy.is_none() {
            return;
        }
        if self.logged.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged = Some(now);
        let voters: Vec<String> = status.voters.iter().map(describe).collect();
        if without_leader {
            log::warn!(
                leaderless_ms = leaderless.as_millis() as u64, reachable = status.reachable,
                needed = status.quorum, unheard_ms = voters.join(" ").as_str(), own,
                received = received(status).as_str(), answered = answered(status).as_str();
                "group without a leader"
            );
        }
        if let Some(vacancy) = &status.vacancy {
            log::info!(
                member:% = vacancy.id, hold = vacancy.hold.as_str(),
                needed = status.quorum, unheard_ms = voters.join(" ").as_str();
                "voter not replaced"
            );
        }
    }

    /// Reports a group that lacks voters for as long that no process seems to be there to become one.
    fn report_size(&mut self, now: Time, status: &GroupStatus) {
        gauge!("clem_control_voters_lacking").set(status.lacking as f64);
        if status.lacking == 0 {
            self.lacking = None;
            return;
        }
        let since = *self.lacking.get_or_insert(now);
        if now.since(since) < LACKING_LOGGED {
            return;
        }
        self.lacking = Some(now);
        let voters = status.voters.len() + usize::from(status.own == Some(MemberKind::Voter));
        log::warn!(
            voters, wanted = voters + status.lacking, survives = voters.saturating_sub(1) / 2;
            "group too small for the losses that it should survive"
        );
    }
}

/// How the voters answered when this member last asked for their votes, as `IDENTITY=ANSWER`.
fn received(status: &GroupStatus) -> String {
    let answers = status.voters.iter().map(|voter| {
        let answer = match voter.granted {
            Some(true) => "granted",
            Some(false) => "refused",
            None => "none",
        };
        format!("{}={answer}", voter.id)
    });
    answers.collect::<Vec<_>>().join(" ")
}

/// What this member last answered to those that asked for its vote, as `IDENTITY=ANSWER`.
fn answered(status: &GroupStatus) -> String {
    let answers = status.answers.iter();
    let answers = answers.map(|(id, answer)| format!("{id}={}", answer.as_str()));
    answers.collect::<Vec<_>>().join(" ")
}

/// A voter and the milliseconds since its last message, as `IDENTITY@IP:PORT=MILLISECONDS`.
fn describe(voter: &VoterStatus) -> String {
    let unheard = voter.unheard.map(|unheard| unheard.as_millis().to_string());
    let unheard = unheard.unwrap_or_else(|| "never".to_owned());
    format!("{}@{}={unheard}", voter.id, voter.address)
}
