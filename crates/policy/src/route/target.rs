//! What the router knows of one target.

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

    /// The same target with news from the fleet view.
    pub(super) fn with(self, info: TargetInfo) -> Self {
        Self { info, ..self }
    }

    pub(super) fn sent(&mut self, now: Time, unread: u32) {
        self.load.sent(now, unread);
        self.health.sent(now);
    }

    pub(super) fn finished(&mut self) {
        self.load.finished();
    }

    pub(super) fn report(&mut self, now: Time, report: Report) {
        self.load.report(now, report);
    }
}
