//! A member whose log is too far behind installs a snapshot, and counts for quorums only after
//! that.

#![allow(dead_code, reason = "each test file uses a part of the group")]

mod agreement;

use std::fmt::Write;

use agreement::Group;
use clem_checks::{Result, eventually_value};
use clem_types::Version;
use clem_wire::admin::{Apply, ApplyReply};

/// Customers in a large rules file, which is about half a megabyte long.
const CUSTOMERS: u32 = 6000;
/// Changes with a large rules file until the log exceeds its retention.
const CHANGES: u32 = 30;

fn large_text(change: u32) -> String {
    let mut text = String::new();
    for customer in 0..CUSTOMERS {
        let _ = writeln!(
            text,
            "customer.c{customer} = {{ rate = \"20/s\", burst = {}, weight = 1 }}  # asked by Mere",
            change + 1
        );
    }
    text
}

/// Changes the rules until the leader has removed its first log segment.
async fn cut_log(group: &mut Group) -> Result<()> {
    for change in 0..CHANGES {
        group.change_to(large_text(change)).await?;
    }
    let leader = group.leader().await?;
    eventually_value("the first segment to be removed", async || {
        let first = group.fleet.data_dir(leader).join("segment-000000000001");
        (!first.exists()).then_some(())
    })
    .await
}

/// Transfers leadership to a member, so that later reads are answered from its state.
async fn make_leader(group: &Group, index: usize) -> Result<()> {
    let identity = group.identity(index).await?;
    eventually_value("the repaired member to lead", async || {
        if group.leader().await.ok()? == index {
            return Some(());
        }
        let _ = group.fleet.ctl(&["members", "transfer", &identity]).await;
        None
    })
    .await
}

/// Checks that a resent command gets its first answer, which the snapshot must contain.
async fn check_first_answer(group: &Group) -> Result<()> {
    let first = Apply {
        command: "change-4".parse()?,
        expect: Version(3),
        text: large_text(1),
    };
    match group.call(&first).await? {
        ApplyReply::Accepted { version, .. } => assert_eq!(version, Version(4)),
        other => panic!("unexpected answer: {other:?}"),
    }
    Ok(())
}

#[tokio::test]
async fn a_lost_disk_is_restored_from_a_snapshot_and_a_second_loss_loses_nothing() -> Result<()> {
    let mut group = Group::start().await?;
    cut_log(&mut group).await?;
    let index = (group.leader().await? + 1) % 3;
    let lost = group.identity(index).await?;
    group.lose_disk(index)?;
    group.change_to(large_text(CHANGES)).await?;
    group.wait_repaired(&lost).await?;
    let log = group.fleet.control[index].log()?;
    assert!(log.contains("snapshot installed"));
    make_leader(&group, index).await?;
    group.check_rules().await?;
    check_first_answer(&group).await?;
    // Without the leader, the repaired member is needed for a quorum.
    let leader = group.leader().await?;
    group.fleet.control[leader].kill()?;
    group.check_rules().await?;
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_member_that_was_away_for_long_gets_a_copy() -> Result<()> {
    let mut group = Group::start().await?;
    let index = (group.leader().await? + 1) % 3;
    group.fleet.control[index].kill()?;
    cut_log(&mut group).await?;
    group.fleet.control[index].restart()?;
    eventually_value("the snapshot to be installed", async || {
        let log = group.fleet.control[index].log().ok()?;
        log.contains("snapshot installed").then_some(())
    })
    .await?;
    // It also recovers from the snapshot after a kill.
    group.fleet.control[index].kill()?;
    group.fleet.control[index].restart()?;
    let leader = group.leader().await?;
    group.fleet.control[leader].kill()?;
    group.check_rules().await?;
    group.change().await?;
    group.check_rules().await
}
