//! Reports whether this process's member takes part in its group.

use clem_log::{LogIndex, MemberKind};
use clem_types::Time;
use metrics::gauge;

use super::{LOG_INTERVAL, core::Core, shared::Shared};

/// Why a member takes no part in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Absence {
    /// It is not a member, as far as it knows.
    NoMember,
    /// It knows of no leader.
    NoLeader,
    /// Its disk hangs, so that it neither acknowledges nor applies anything.
    Disk,
    /// It lags behind with applying what is committed.
    Behind,
    /// It leads, but has not applied everything committed before its term, or holds no lease.
    NotServing,
}

impl Absence {
    /// The name for log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NoMember => "no member",
            Self::NoLeader => "no leader",
            Self::Disk => "disk",
            Self::Behind => "behind",
            Self::NotServing => "not serving",
        }
    }
}

/// Since when this member takes no part, and when that was logged.
#[derive(Debug, Default)]
pub(super) struct Participation {
    absent: Option<Time>,
    logged: Option<Time>,
}

impl Participation {
    /// Reports the member at `now`, whose store has applied the log up to `applied`.
    pub(super) fn report(&mut self, now: Time, shared: &Shared, core: &Core, applied: LogIndex) {
        let node = core.node();
        let disk = core.disk();
        let own = node.kind();
        let absence = core.absence(now, applied);
        let learner = own == Some(MemberKind::Learner);
        let participates = absence.is_none();
        gauge!("clem_control_own_learner").set(f64::from(u8::from(learner)));
        gauge!("clem_control_participates").set(f64::from(u8::from(participates)));
        gauge!("clem_control_log_write_seconds").set(disk.write_age(now).as_secs_f64());
        gauge!("clem_control_store_syncing_seconds").set(disk.sync_age(now).as_secs_f64());
        let exchange = shared.exchanges.longest(now);
        gauge!("clem_control_exchange_seconds").set(exchange.as_secs_f64());
        let copy = shared.copies.longest(now);
        gauge!("clem_control_copy_seconds").set(copy.as_secs_f64());
        let Some(absence) = absence else {
            *self = Self::default();
            return;
        };
        let since = *self.absent.get_or_insert(now);
        if now.since(self.logged.unwrap_or(since)) < LOG_INTERVAL {
            return;
        }
        self.logged = Some(now);
        log::warn!(
            cause = absence.as_str(), absent_ms = now.since(since).as_millis() as u64,
            term = node.term().0, commit = node.commit().0, applied = applied.0,
            last = node.last().0, write_ms = disk.write_age(now).as_millis() as u64,
            sync_ms = disk.sync_age(now).as_millis() as u64,
            exchange_ms = exchange.as_millis() as u64, copy_ms = copy.as_millis() as u64;
            "taking no part"
        );
    }
}
