//! Polls the platform's list of VMs, which may be out of date, empty or unavailable for a while.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::Deserialize;

use crate::{control::Control, leader::PlatformVm};

/// Time between two requests for the list.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response body.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A VM in the platform's list.
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

/// Polls the list until the process exits.
pub async fn poll(control: Arc<Control>, platform: SocketAddr) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reachable = true;
    loop {
        ticks.tick().await;
        let read = tokio::time::timeout(TIMEOUT, read(platform)).await;
        let list = match read {
            Ok(Ok(list)) => list,
            Ok(Err(error)) => {
                warn_once(&mut reachable, &error);
                continue;
            }
            Err(_) => {
                warn_once(&mut reachable, &eyre::eyre!("request timed out"));
                continue;
            }
        };
        reachable = true;
        let changed = control.with_leader(|lead, now| {
            lead.fleet.record_platform_list(&list);
            lead.refresh(now)
        });
        if changed == Ok(true) {
            control.notify_update();
        }
    }
}

/// Logs only the first of several failures in a row.
fn warn_once(reachable: &mut bool, error: &eyre::Report) {
    if *reachable {
        log::warn!(error:% = error; "failed to read the platform's VM list; keeping the last one");
    }
    *reachable = false;
}

async fn read(platform: SocketAddr) -> eyre::Result<Vec<PlatformVm>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{platform}/vms").parse()?;
    let response = client.get(uri).await?;
    eyre::ensure!(
        response.status().is_success(),
        "HTTP status {}",
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
