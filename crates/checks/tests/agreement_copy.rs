//! A member whose log is too far behind gets a copy of the state, and counts only with it.

#![allow(dead_code, reason = "each test file uses a part of the group")]

mod agreement;

use std::fmt::Write;

use agreement::Group;
use clem_checks::{Result, eventually_value};

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

#[tokio::test]
async fn a_lost_disk_is_filled_from_a_copy_and_a_second_loss_loses_nothing() -> Result<()> {
    let mut group = Group::start().await?;
    cut_log(&mut group).await?;
    let place = (group.leader().await? + 1) % 3;
    let lost = group.identity(place).await?;
    group.lose_disk(place)?;
    group.change_to(large_text(CHANGES)).await?;
    group.whole_without(&lost).await?;
    assert!(
        group.fleet.control[place]
            .log()?
            .contains("copy of the state taken in")
    );
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
        log.contains("copy of the state taken in").then_some(())
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
