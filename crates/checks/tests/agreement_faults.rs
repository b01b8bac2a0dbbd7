//! Acknowledged changes survive while control processes are killed, frozen and lose their disks.

mod agreement;

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::Instant,
};

use agreement::{Group, print_elapsed};
use clem_checks::{Process, Result, eventually, eventually_value};
use clem_wire::admin::ReadRules;

#[tokio::test]
async fn acknowledged_changes_survive_killed_leaders() -> Result<()> {
    let mut group = Group::start().await?;
    for _ in 0..3 {
        group.change().await?;
        let leader = group.leader().await?;
        group.change().await?;
        group.fleet.control[leader].kill()?;
        let start = Instant::now();
        group.check_rules().await?;
        print_elapsed("without a leader after kill -9", start);
        group.change().await?;
        group.fleet.control[leader].restart()?;
        group.check_rules().await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_change_is_not_acknowledged_without_a_quorum() -> Result<()> {
    let mut group = Group::start().await?;
    let leader = group.leader().await?;
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for index in followers {
        group.fleet.control[index].freeze()?;
    }
    let acknowledged = group.change_at(leader).await?;
    group.fleet.control[leader].kill()?;
    for index in followers {
        group.fleet.control[index].thaw()?;
    }
    let rules = group.call(&ReadRules {}).await?;
    let expected = group.version + u64::from(acknowledged);
    assert!(
        rules.version.0 >= expected,
        "an acknowledged change is lost"
    );
    assert!(!acknowledged, "acknowledged without a quorum");
    Ok(())
}

#[tokio::test]
async fn a_leader_without_a_quorum_stops_answering() -> Result<()> {
    let mut group = Group::start().await?;
    let leader = group.leader().await?;
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    assert!(group.call_one(leader, &ReadRules {}).await.is_some());
    for index in followers {
        group.fleet.control[index].freeze()?;
    }
    let silent = eventually("the leader to stop answering", async || {
        group.call_one(leader, &ReadRules {}).await.is_none()
    });
    silent.await?;
    for index in followers {
        group.fleet.control[index].thaw()?;
    }
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_thawed_leader_returns_no_stale_rules() -> Result<()> {
    let mut group = Group::start().await?;
    let leader = group.leader().await?;
    group.fleet.control[leader].freeze()?;
    let start = Instant::now();
    group.change().await?;
    print_elapsed(
        "without a leader after a freeze, with a caller that tried the frozen leader first",
        start,
    );
    group.change().await?;
    // These requests are in its socket buffers when it thaws. It must refuse them or answer with
    // the latest rules.
    let group = Arc::new(group);
    let mut asked = Vec::new();
    for _ in 0..50 {
        let group = Arc::clone(&group);
        asked.push(tokio::spawn(async move {
            group.call_one(leader, &ReadRules {}).await
        }));
    }
    tokio::task::yield_now().await;
    let sent = eventually("the requests in the socket buffers", async || {
        unread_connections(group.fleet.control_address(leader).port()) >= 50
    });
    sent.await?;
    group.fleet.control[leader].thaw()?;
    for reply in asked {
        let Some(rules) = reply.await? else {
            continue;
        };
        assert_eq!(rules.version.0, group.version, "stale rules after a freeze");
    }
    let mut group = Arc::into_inner(group).expect("all callers have ended");
    group.check_rules().await?;
    // It follows again: without another process it is needed for a quorum.
    let leader = group.leader().await?;
    group.fleet.control[leader].kill()?;
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_second_loss_right_after_a_disk_repair_loses_nothing() -> Result<()> {
    let mut group = Group::start().await?;
    let mut identities = BTreeSet::new();
    for round in 0..2 {
        // Loses the disk of the leader in the first round and of a follower in the second.
        let leader = group.leader().await?;
        let index = if round == 0 { leader } else { (leader + 1) % 3 };
        let lost = group.identity(index).await?;
        assert!(
            identities.insert(lost.clone()),
            "a new disk has the identity of a former one"
        );
        group.change().await?;
        let start = Instant::now();
        group.lose_disk(index)?;
        group.change().await?;
        group.wait_repaired(&lost).await?;
        print_elapsed("from a lost disk to three voters", start);
        group.check_rules().await?;
    }
    let leader = group.leader().await?;
    fs::remove_dir_all(group.fleet.data_dir(leader))?;
    group.fleet.control[leader].kill()?;
    group.check_rules().await?;
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_restart_of_all_processes_keeps_500_changes() -> Result<()> {
    let mut group = Group::start().await?;
    let start = Instant::now();
    while group.version < 500 {
        group.change().await?;
    }
    print_elapsed("500 changes one after the other", start);
    for process in &mut group.fleet.control {
        process.kill()?;
    }
    let start = Instant::now();
    for process in &mut group.fleet.control {
        process.restart()?;
    }
    group.check_rules().await?;
    print_elapsed(
        "from a restart of all to the first answer after 500 changes",
        start,
    );
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_data_folder_in_use_is_refused() -> Result<()> {
    let group = Group::start().await?;
    let first = &group.fleet.control[0];
    let mut second = Process::start(
        "second",
        "clem-control",
        first.args().to_vec(),
        &group.fleet.folder(),
    )?;
    let status = second.wait().await?;
    assert!(!status.success());
    group.check_rules().await
}

#[tokio::test]
async fn corruption_in_the_middle_of_the_log_is_reported_with_file_and_offset() -> Result<()> {
    let mut group = Group::start().await?;
    for _ in 0..10 {
        group.change().await?;
    }
    let leader = group.leader().await?;
    let index = (leader + 1) % 3;
    group.fleet.control[index].kill()?;
    let segment = first_segment(&group.fleet.data_dir(index))?;
    let mut bytes = fs::read(&segment)?;
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x40;
    fs::write(&segment, bytes)?;
    group.fleet.control[index].restart()?;
    let status = group.fleet.control[index].wait().await?;
    assert!(!status.success());
    let name = segment.file_name().and_then(|name| name.to_str());
    let name = name.unwrap_or_default().to_owned();
    let process = &group.fleet.control[index];
    let text = process.log()? + &process.output()?;
    assert!(text.contains(&name), "the file name is missing: {text}");
    assert!(
        text.contains("damaged at byte"),
        "the offset is missing: {text}"
    );
    group.change().await?;
    group.check_rules().await
}

#[tokio::test]
async fn a_torn_log_tail_is_truncated() -> Result<()> {
    let mut group = Group::start().await?;
    group.change().await?;
    let index = (group.leader().await? + 1) % 3;
    group.fleet.control[index].kill()?;
    let segment = first_segment(&group.fleet.data_dir(index))?;
    let mut bytes = fs::read(&segment)?;
    bytes.extend([200, 0, 0, 0, 1, 2, 3, 4, 5]);
    fs::write(&segment, bytes)?;
    group.fleet.control[index].restart()?;
    group.change().await?;
    // It is a voter again: without the leader it is needed for a quorum.
    let leader = group.leader().await?;
    group.fleet.control[leader].kill()?;
    let answered = eventually_value("an answer from the other two", async || {
        group.check_rules().await.ok()
    });
    answered.await
}

/// Counts the connections to a local port with unread bytes in the receive buffer.
fn unread_connections(port: u16) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = format!(":{port:04X}");
    let mut count = 0;
    for line in table.lines() {
        let mut fields = line.split_whitespace().skip(1);
        let Some(address) = fields.next() else {
            continue;
        };
        let unread = fields.nth(2).and_then(|queues| queues.split(':').nth(1));
        let unread = unread.and_then(|bytes| u32::from_str_radix(bytes, 16).ok());
        if address.ends_with(&local) && unread.is_some_and(|bytes| bytes > 0) {
            count += 1;
        }
    }
    count
}

/// Returns the first segment file in a folder or its subfolders.
fn first_segment(folder: &Path) -> Result<PathBuf> {
    let mut folders = vec![folder.to_owned()];
    let mut found = Vec::new();
    while let Some(folder) = folders.pop() {
        for file in fs::read_dir(folder)? {
            let path = file?.path();
            let name = path.file_name().and_then(|name| name.to_str());
            if path.is_dir() {
                folders.push(path);
            } else if name.is_some_and(|name| name.starts_with("segment-")) {
                found.push(path);
            }
        }
    }
    found.sort();
    eyre::OptionExt::ok_or_eyre(found.into_iter().next(), "no segment file found")
}
