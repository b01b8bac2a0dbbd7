//! What a process knows of where streams began, for new leaders and for the time without one.

use clem_policy::dispatch::{Origin, OriginReport, StreamKey, Streams};
use clem_types::{Epoch, Time};

/// Maximum number of origins in one report.
const REPORTS_MAX: usize = 1024;

/// Where the streams of this process began, and what of it the leader does not know.
///
/// A leader knows the origins of the streams to which it granted slots. It doesn't know those of its
/// predecessors, nor of streams that were placed without a leader.
#[derive(Debug, Default)]
pub(crate) struct StreamLog {
    streams: Streams,
    /// The leader that knows all but `untold`.
    epoch: Epoch,
    untold: Vec<StreamKey>,
}

impl StreamLog {
    /// What is known of the streams of this process.
    pub(crate) fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Records where an attempt got a slot.
    pub(crate) fn note(
        &mut self,
        now: Time,
        customer: &str,
        key: StreamKey,
        origin: Origin,
        without_leader: bool,
    ) {
        if without_leader && self.untold.len() < REPORTS_MAX {
            self.untold.push(key);
        }
        self.streams.note(now, customer, key, origin);
    }

    /// What the leader of an epoch was not told of.
    pub(crate) fn untold(&self, now: Time, epoch: Epoch) -> Vec<OriginReport> {
        if epoch == self.epoch && self.untold.is_empty() {
            return Vec::new();
        }
        let mut reports = self.streams.reports(now, REPORTS_MAX);
        if epoch == self.epoch {
            reports.retain(|report| self.untold.contains(&report.key));
        }
        reports
    }

    /// Records that the leader of `epoch` replied to these reports, which were chosen for the leader of
    /// `asked`.
    pub(crate) fn note_told(
        &mut self,
        now: Time,
        asked: Epoch,
        epoch: Epoch,
        told: &[OriginReport],
    ) {
        self.streams.expire(now);
        if asked != epoch {
            return;
        }
        self.epoch = epoch;
        self.untold
            .retain(|key| !told.iter().any(|report| report.key == *key));
    }
}
