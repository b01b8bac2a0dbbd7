//! State of one target in the router.

use clem_types::Time;

use super::{TargetInfo, health::Health, load::Estimate, load::Report};

#[derive(Debug)]
pub(super) struct Slot {
    pub(super) info: TargetInfo,
    pub(super) load: Estimate,
    pub(super) health: Health,
}

impl Slot {
    pub(super) fn new(info: TargetInfo) -> Self {
        Self {
            info,
            load: Estimate::default(),
            health: Health::default(),
        }
    }

    /// Replaces the fleet view's information and keeps load and health.
    pub(super) fn with_info(self, info: TargetInfo) -> Self {
        Self { info, ..self }
    }

    pub(super) fn sent(&mut self, now: Time, tokens: u32) {
        self.load.sent(now, tokens);
        self.health.sent(now);
    }

    pub(super) fn finished(&mut self) {
        self.load.finished();
    }

    pub(super) fn report(&mut self, now: Time, report: Report) {
        self.load.report(now, report);
    }
}
