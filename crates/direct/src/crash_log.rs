//! What a process knows of crashes of targets, for new leaders and for the time without one.

use std::collections::HashSet;

use clem_policy::dispatch::{
    Admission, CrashParts, CrashReport, GrantOutcome, SlotRequest, SoundPart, Ticket,
};
use clem_types::{Epoch, Time};

use crate::node::HeldSlot;

/// Crashes that this process saw or was told of, and which of them the leader knows.
///
/// The leader counts a crash when the slot of its request is released. It doesn't if it never granted
/// that slot, and a new leader has not seen it. See `docs/design/platform.md`, "Requests that crash
/// targets".
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    parts: CrashParts,
    /// The leader that knows the crashes of `told`.
    epoch: Epoch,
    told: HashSet<Ticket>,
}

impl CrashLog {
    /// Whether a request may be placed without a leader; if so, the slot's release ends the attempt.
    pub(crate) fn admit(&mut self, now: Time, want: &SlotRequest) -> Admission {
        self.parts
            .admit(now, want.ticket, want.urgency, &want.parts)
    }

    /// Records how the request in a slot ended.
    pub(crate) fn note_end(&mut self, now: Time, held: &HeldSlot, ended: GrantOutcome) {
        let grant = &held.grant;
        match ended {
            GrantOutcome::Answered => self.parts.note_sound(held.since, &grant.parts),
            GrantOutcome::Crashed => {
                let report = CrashReport {
                    ticket: grant.ticket,
                    target: grant.target.clone(),
                    parts: grant.parts.clone(),
                    age_ms: 0,
                };
                self.parts.note_crash(now, &report);
            }
            GrantOutcome::Cut => {
                self.parts.fail_trial(now, grant.ticket, ended);
                self.parts
                    .note_cut(now, grant.ticket, &grant.target, &grant.parts);
            }
            GrantOutcome::Replaced => self.parts.note_gone(now, &grant.target),
            GrantOutcome::Broken | GrantOutcome::Silent => {
                self.parts.fail_trial(now, grant.ticket, ended);
            }
            GrantOutcome::Failed
            | GrantOutcome::Full
            | GrantOutcome::NotRun
            | GrantOutcome::Unreachable
            | GrantOutcome::Lost => {}
        }
        self.parts.end(grant.ticket);
        // The leader logs what is suspected and blocked.
        self.parts.take_news();
    }

    /// The crashes that the leader of an epoch was not told of.
    pub(crate) fn untold(&self, now: Time, epoch: Epoch) -> Vec<CrashReport> {
        let mut reports = self.parts.reports(now, 1);
        if epoch == self.epoch {
            reports.retain(|report| !self.told.contains(&report.ticket));
        }
        reports
    }

    /// Records that the leader of an epoch replied to these reports.
    pub(crate) fn note_told(&mut self, now: Time, epoch: Epoch, reports: &[CrashReport]) {
        if epoch != self.epoch {
            self.told.clear();
            self.epoch = epoch;
        }
        if reports.is_empty() {
            return;
        }
        self.told.extend(reports.iter().map(|report| report.ticket));
        let kept: HashSet<Ticket> = self
            .parts
            .reports(now, 1)
            .iter()
            .map(|report| report.ticket)
            .collect();
        self.told.retain(|ticket| kept.contains(ticket));
    }

    /// Takes over what the leader of an epoch knows.
    pub(crate) fn note_reports(
        &mut self,
        now: Time,
        epoch: Epoch,
        reports: &[CrashReport],
        sound: &[SoundPart],
    ) {
        for report in reports {
            self.parts.note_crash(now, report);
        }
        self.parts.note_sound_parts(now, sound);
        self.parts.take_news();
        self.note_told(now, epoch, reports);
    }
}
