//! A member whose log is too far behind gets a copy of the state, and counts only with it.

#![allow(dead_code, reason = "each test file uses a part of the group")]

mod agreement;

use std::fmt::Write;

use agreement::Group;
use clem_checks::{Result, eventually_value};
use clem_types::Version;
use clem_wire::admin::{Apply, ApplyReply};

/// Customers in a large file: about half a megabyte.
const CUSTOMERS: u32 = 6000;
/// Changes of a large file until the log is longer than it is kept.
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

/// Changes the rules until a member's log has been cut.
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

/// Hands leadership to the member at a place, so that what it has is what is read.
async fn lead_with(group: &Group, place: usize) -> Result<()> {
    let identity = group.identity(place).await?;
    eventually_value("the repaired member to lead", async || {
        if group.leader().await.ok()? == place {
            return Some(());
        }
        let _ = group.fleet.ctl(&["members", "transfer", &identity]).await;
        None
    })
    .await
}

/// A command sent again gets its first answer, from the copy of the table of answers.
async fn check_first_answer(group: &Group) -> Result<()> {
    let first = Apply {
        command: "change-4".parse()?,
        expect: Version(3),
        text: large_text(1),
    };
    match group.ask(&first).await? {
        ApplyReply::Accepted { version, .. } => assert_eq!(version, Version(4)),
        other => panic!("another answer: {other:?}"),
    }
    Ok(())
}

#[tokio::test]
async fn a_lost_disk_is_filled_from_a_copy_and_a_second_loss_loses_nothing() -> Result<()> {
    let mut group = Group::start().await?;
    cut_log(&mut group).await?;
    let place = (group.leader().await? + 1) % 3;
    let lost = group.identity(place).await?;
    group.lose_disk(place)?;
    group.change_to(large_text(CHANGES)).await?;
    group.whole_without(&lost).await?;
    let log = group.fleet.control[place].log()?;
    assert!(log.contains("snapshot installed"));
    lead_with(&group, place).await?;
    group.check_rules().await?;
    check_first_answer(&group).await?;
    // With the leader gone, the repaired member is needed for a quorum.
    let leader = group.leader().await?;
    group.fleet.control[leader].kill()?;
    group.check_rules().await?;
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_member_that_was_away_for_long_gets_a_copy() -> Result<()> {
    let mut group = Group::start().await?;
    let place = (group.leader().await? + 1) % 3;
    group.fleet.control[place].kill()?;
    cut_log(&mut group).await?;
    group.fleet.control[place].restart()?;
    eventually_value("the copy to be taken in", async || {
        let log = group.fleet.control[place].log().ok()?;
        log.contains("snapshot installed").then_some(())
    })
    .await?;
    // It goes on from the copy after a kill, too.
    group.fleet.control[place].kill()?;
    group.fleet.control[place].restart()?;
    let leader = group.leader().await?;
    group.fleet.control[leader].kill()?;
    group.check_rules().await?;
    group.change().await?;
    group.check_rules().await
}
