//! Idempotency records of many concurrent callers survive the loss of the leader.

mod agreement;

use std::{sync::Arc, time::Instant};

use agreement::Group;
use clem_checks::Result;
use clem_types::{BodyHash, RequestId};
use clem_wire::online::{OnceBegin, OnceBeginReply};

const RECORDS: u32 = 3000;
const CALLERS: u32 = 150;

fn begin(record: u32, request: u128) -> Result<OnceBegin> {
    Ok(OnceBegin {
        customer: Some("totara".parse()?),
        route: "waitlist".parse()?,
        key: format!("confirm-{record}"),
        body: BodyHash::of(b"seat 4"),
        request: RequestId(request),
    })
}

async fn begin_all(group: &Arc<Group>, request: u128) -> Result<Vec<OnceBeginReply>> {
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let group = Arc::clone(group);
        callers.push(tokio::spawn(async move {
            let mut replies = Vec::new();
            for record in (caller..RECORDS).step_by(CALLERS as usize) {
                replies.push(group.call(&begin(record, request)?).await?);
            }
            Ok::<_, eyre::Report>(replies)
        }));
    }
    let mut replies = Vec::new();
    for caller in callers {
        replies.extend(caller.await??);
    }
    Ok(replies)
}

#[tokio::test]
async fn acknowledged_records_survive_the_loss_of_the_leader() -> Result<()> {
    let mut group = Group::start().await?;
    let leader = group.leader().await?;
    let shared = Arc::new(group);
    let start = Instant::now();
    let replies = begin_all(&shared, 1).await?;
    let rate = f64::from(RECORDS) / start.elapsed().as_secs_f64();
    println!("MEASURED records per second from {CALLERS} callers: {rate:.0}");
    assert!(replies.iter().all(|reply| *reply == OnceBeginReply::Go));

    group = Arc::into_inner(shared).expect("all callers have ended");
    group.fleet.control[leader].kill()?;
    let shared = Arc::new(group);
    let replies = begin_all(&shared, 2).await?;
    let lost = replies.iter().filter(|r| **r == OnceBeginReply::Go).count();
    assert_eq!(lost, 0, "records that a second request could begin again");
    Ok(())
}
