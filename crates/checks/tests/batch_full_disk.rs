//! With a full disk new batches are refused and accepted ones are kept.

use std::{path::Path, time::Duration};

use clem_checks::{Fleet, Options, Result, chat, chat_body, eventually, eventually_value};
use nix::{
    fcntl::{FallocateFlags, fallocate},
    sys::statvfs::statvfs,
};
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use tokio::time::timeout;

/// A reserve in bytes that exceeds any disk, so that every disk counts as full.
const IMPOSSIBLE_RESERVE: &str = "9223372036854775807";

/// One part in this many of the free room lies above the reserve; others write to the file system, too.
const MARGIN_DIVISOR: u64 = 4;
/// One part in this many of that margin is missing from the reserve while room is short.
const LACK_DIVISOR: u64 = 2;
/// How long there is no room.
const SHORT_TIME: Duration = Duration::from_secs(3);
/// Within this time new work is taken again once there is room.
const ACK_TIME: Duration = Duration::from_secs(4);

fn free_bytes(folder: &Path) -> Result<u64> {
    let free = statvfs(folder)?;
    Ok(free.blocks_available() * free.fragment_size())
}

fn one_item(name: &str) -> String {
    let body: Value = serde_json::from_str(&chat_body(name, 3, false)).unwrap_or_default();
    json!({"custom_id": name, "model": "assistant", "body": body}).to_string() + "\n"
}

#[tokio::test]
async fn a_full_disk_refuses_new_batches_and_keeps_the_accepted_ones() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let bearer = fleet.bearer("botez")?;
    let headers = [("authorization", bearer.as_str())];
    let batches = fleet.entry_url(0, "/v1/batches");
    let reply = fleet
        .client
        .post(&batches, &headers, one_item("kept"))
        .await?;
    let id = reply.success()?.json()?["id"].clone();
    let id = id.as_str().expect("an id").to_owned();

    for process in &mut fleet.control {
        process.kill()?;
        let mut args = process.args().to_vec();
        args.extend(["--disk-reserve".to_owned(), IMPOSSIBLE_RESERVE.to_owned()]);
        process.restart_with(args)?;
    }
    fleet.wait_ready().await?;
    let refused = eventually_value("a refusal with code full", async || {
        let reply = fleet
            .client
            .post(&batches, &headers, one_item("more"))
            .await
            .ok()?;
        (reply.error_code().ok()? == "full").then_some(reply)
    })
    .await?;
    assert_eq!(refused.header("x-clem-ran"), "no");
    assert!(refused.text().contains("disk"), "{}", refused.text());

    // The accepted batch still runs and can be read. Chat doesn't depend on the disk.
    let results = fleet.entry_url(1, &format!("/v1/batches/{id}/results"));
    eventually("the result of the accepted batch", async || {
        let reply = fleet.client.get(&results, &headers).await;
        reply.is_ok_and(|reply| reply.text().contains("\"done\""))
    })
    .await?;
    assert_eq!(chat(&fleet, 0, "totara", "hello", 2).await?.status, 200);
    Ok(())
}

/// The room was read with a write only, and a full disk refused what would have written.
#[tokio::test]
async fn a_disk_that_has_room_again_takes_new_batches() -> Result<()> {
    let mut fleet = Fleet::start(Options::default()).await?;
    let folder = std::env::temp_dir();
    let free = free_bytes(&folder)?;
    let margin = free / MARGIN_DIVISOR;
    let reserve = free - margin;
    for process in &mut fleet.control {
        process.kill()?;
        let mut args = process.args().to_vec();
        args.extend(["--disk-reserve".to_owned(), reserve.to_string()]);
        process.restart_with(args)?;
    }
    fleet.wait_ready().await?;
    let bearer = fleet.bearer("botez")?;
    let headers = [("authorization", bearer.as_str())];
    let batches = fleet.entry_url(0, "/v1/batches");
    let submit = async |name: &str| {
        let reply = fleet.client.post(&batches, &headers, one_item(name)).await;
        reply.ok()
    };
    eventually("a batch is accepted", async || {
        let reply = submit("before").await;
        reply.is_some_and(|reply| reply.success().is_ok())
    })
    .await?;

    let filler = NamedTempFile::new_in(&folder)?;
    // Others use the file system too, so what is free has changed.
    let bytes = free_bytes(&folder)? + margin / LACK_DIVISOR - reserve;
    fallocate(
        filler.as_file(),
        FallocateFlags::empty(),
        0,
        bytes.try_into()?,
    )?;
    eventually("a refusal with code full", async || {
        let reply = submit("refused").await;
        reply.is_some_and(|reply| reply.error_code().is_ok_and(|code| code == "full"))
    })
    .await?;
    tokio::time::sleep(SHORT_TIME).await;
    drop(filler);

    let accepted = eventually("a batch is accepted again", async || {
        let reply = submit("after").await;
        reply.is_some_and(|reply| reply.success().is_ok())
    });
    timeout(ACK_TIME, accepted).await??;
    Ok(())
}
