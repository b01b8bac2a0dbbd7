//! Polls the platform's list of VMs, which lags and may be empty or unreadable for a while.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::Deserialize;

use crate::{control::Control, lead::PlatformVm};

/// How often the list is read.
const INTERVAL: Duration = Duration::from_millis(500);
/// How long one reading may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The longest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A VM as the platform writes it.
#[derive(Debug, Deserialize)]
struct ListedVm {
    address: SocketAddr,
    state: VmState,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

/// Reads the list again and again, for as long as the process runs.
pub async fn poll(control: Arc<Control>, platform: SocketAddr) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut readable = true;
    loop {
        ticks.tick().await;
        let read = tokio::time::timeout(TIMEOUT, read(platform)).await;
        let list = match read {
            Ok(Ok(list)) => list,
            Ok(Err(error)) => {
                note_failure(&mut readable, &error);
                continue;
            }
            Err(_) => {
                note_failure(&mut readable, &eyre::eyre!("no answer in time"));
                continue;
            }
        };
        readable = true;
        let changed = control.lead(|lead, now| {
            lead.fleet.hear_platform(&list);
            lead.refresh(now)
        });
        if changed == Ok(true) {
            control.wake();
        }
    }
}

/// Says once that the list can't be read, not at each try.
fn note_failure(readable: &mut bool, error: &eyre::Report) {
    if *readable {
        log::warn!(error:% = error; "the platform's list can't be read; the last one goes on");
    }
    *readable = false;
}

async fn read(platform: SocketAddr) -> eyre::Result<Vec<PlatformVm>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{platform}/vms").parse()?;
    let response = client.get(uri).await?;
    eyre::ensure!(
        response.status().is_success(),
        "status {}",
        response.status()
    );
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let body = body.collect().await.map_err(|error| eyre::eyre!(error))?;
    let listed: Vec<ListedVm> = serde_json::from_slice(&body.to_bytes())?;
    let mut list = Vec::new();
    for vm in listed {
        let leaving = match vm.state {
            VmState::Live => false,
            VmState::Leaving => true,
        };
        list.push(PlatformVm {
            address: vm.address,
            leaving,
        });
    }
    Ok(list)
}
