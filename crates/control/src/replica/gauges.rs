//! Gauges of the replica's state; the alarms on them are described in `docs/OPERATING.md`.

use std::{sync::Arc, time::Duration};

use clem_log::LogIndex;
use clem_types::Time;
use metrics::gauge;

use super::{
    group_report::GroupReport, learners::Learners, participation::Participation, shared::Shared,
};

/// Time between two updates of the gauges.
const INTERVAL: Duration = Duration::from_millis(500);

/// Updates the gauges until the process exits.
pub(super) async fn report(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    let mut learners = Learners::default();
    let mut group = GroupReport::default();
    let mut participation = Participation::default();
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        update(&shared, &mut learners, &mut group, &mut participation);
    }
}

fn update(
    shared: &Shared,
    learners: &mut Learners,
    group: &mut GroupReport,
    participation: &mut Participation,
) {
    let now = shared.clock.now();
    gauge!("clem_control_reported_seconds").set(now.since(Time::ZERO).as_secs_f64());
    let applied = shared.store().applied();
    gauge!("clem_control_applied_index").set(applied as f64);
    let core = shared.core();
    let Some(core) = core.as_ref() else {
        gauge!("clem_control_seated").set(0.0);
        return;
    };
    let node = core.node();
    learners.report(now, &node.learners(now), core.ticked());
    group.report(now, &node.status(now));
    participation.report(now, shared, core, LogIndex(applied));
    let voters = node.members().voters().count();
    gauge!("clem_control_seated").set(1.0);
    gauge!("clem_control_leads").set(f64::from(u8::from(core.leased_epoch(now).is_some())));
    gauge!("clem_control_leader_known").set(f64::from(u8::from(node.leader().is_some())));
    gauge!("clem_control_term").set(node.term().0 as f64);
    gauge!("clem_control_voters").set(voters as f64);
    gauge!("clem_control_commit_index").set(node.commit().0 as f64);
    gauge!("clem_control_log_entries").set((node.last().0 - node.base().0) as f64);
    gauge!("clem_control_log_bytes").set(node.log_bytes() as f64);
    gauge!("clem_control_disk_free_bytes").set(core.free_bytes() as f64);
}
