//! Runs the batch keeper program from startup to shutdown.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use clem_boot::{Metrics, acceptor, listen, metrics_route, spawn_vital, stop_signal};
use clem_control::replica::{Replica, ReplicaSettings};
use clem_direct::{ByteBudget, Node, NodeSettings, follow, poll_without_hub, release_loop};
use clem_hub::consensus_settings;
use clem_intake::CallRoom;
use clem_log::disk::{FileSystem, read_identity};
use clem_wire::{FleetSecret, Guard};
use salvo::{Router, Server};
use tokio::sync::watch;

use crate::{item::BUDGET_BYTES_MIN, keeper::Keeper, serve, tasks};

/// How long calls in progress may take after a stop signal.
const STOP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Part of the grace period left unused, so that the process exits before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(1000);
/// How often a submission may be in memory at once: as it was read, decoded, encoded for the log, and on its way to
/// other members.
const SUBMISSION_COPIES: u64 = 5;
/// How often the state received from the hub is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Validated settings.
pub struct BatchSettings {
    /// Settings of the client side of the direct path.
    pub node: NodeSettings,
    /// Address at which members and fronts reach this process.
    pub address: SocketAddr,
    /// Address on which it accepts their calls; differs from `address` behind a proxy.
    pub listen: SocketAddr,
    /// Directory for persistent data.
    pub data_dir: PathBuf,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// Number of disks that may be lost at once.
    pub tolerance: usize,
    /// Free disk space below which writes are refused, in bytes.
    pub reserve_bytes: u64,
    /// Memory for the texts of all items that run or have ended and are not recorded, in bytes;
    /// room for the longest one is there whatever this says.
    pub text_bytes: usize,
    /// Memory for the submissions that are worked on, in bytes; the largest one is taken whatever this says.
    pub submission_bytes: usize,
    /// The secret that processes of the fleet use to authenticate to each other.
    pub secret: FleetSecret,
}

/// Runs the batch keeper until a stop signal. `seeds` delivers hub members added to the settings
/// later.
///
/// # Errors
/// The data directory or a socket can't be used.
pub async fn run(
    settings: BatchSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) -> eyre::Result<()> {
    let metrics = Metrics::start()?;
    spawn_vital("metrics", metrics.clone().keep_up());
    let internal = listen(settings.listen)?;
    let grace = settings.grace;
    let node = Arc::new(Node::new(settings.node));
    log::info!(vm = node.vm.as_str(), address:% = settings.address; "batch keeper started");
    spawn_vital("follow", follow(Arc::clone(&node), seeds));
    spawn_vital("poll_without_hub", poll_without_hub(Arc::clone(&node)));
    spawn_vital("release_loop", release_loop(Arc::clone(&node)));
    let stop = stop_signal();
    tokio::pin!(stop);
    // A disk that already belongs to a group can start without the hub.
    let identity = read_identity(&settings.data_dir)?;
    let grouped = identity.is_some_and(|identity| identity.cluster.is_some());
    let peers = tokio::select! {
        founders = find_founders(&node), if !grouped => founders,
        stopped = &mut stop, if !grouped => return Ok(stopped?),
        else => Vec::new(),
    };
    let saw_founding = !grouped && node.view().saw_founding;
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(settings.data_dir),
        address: settings.address,
        peers,
        secret: settings.secret.clone(),
        clock: node.clock,
        // This takes effect only if the process is among its own peers, that is, if the hub named
        // it as a founder.
        bootstrap: true,
        predates_group: saw_founding,
        reserve_bytes: settings.reserve_bytes,
        probe: Arc::new(FileSystem),
        consensus: consensus_settings(settings.tolerance),
    })?;
    replica.set_live(&node.view().batch);
    let keeper = Arc::new(Keeper::new(
        Arc::clone(&node),
        replica.clone(),
        ByteBudget::new(settings.text_bytes.max(BUDGET_BYTES_MIN)),
        CallRoom::new(settings.submission_bytes, SUBMISSION_COPIES),
    ));
    let guarded = Router::new()
        .hoop(Guard::new(settings.secret))
        .append(&mut serve::routes(&keeper))
        .append(&mut replica.routes());
    let router = Router::new().push(guarded).push(metrics_route(metrics));
    let server = Server::new(acceptor(internal)?);
    let handle = server.handle();
    let serving = spawn_vital("server", server.serve(router));
    spawn_vital("run_items", tasks::run_items(Arc::clone(&keeper)));
    spawn_vital("record_results", tasks::record_results(Arc::clone(&keeper)));
    spawn_vital("handle_recalls", tasks::handle_recalls(Arc::clone(&keeper)));
    spawn_vital("delete_old", tasks::delete_old(Arc::clone(&keeper)));
    spawn_vital(
        "follow_members",
        follow_members(Arc::clone(&node), replica.clone()),
    );
    stop.await?;
    log::info!(vm = node.vm.as_str(); "batch keeper stopping");
    replica
        .prepare_stop(grace.saturating_sub(STOP_TIMEOUT + STOP_MARGIN))
        .await;
    handle.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}

/// Waits for the hub to announce the batch group, and returns its founders.
async fn find_founders(node: &Node) -> Vec<SocketAddr> {
    loop {
        let founders = node.view().founders.clone();
        if !founders.is_empty() {
            return founders;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Tells the replica which processes the hub names, and which of their vms are being retired.
async fn follow_members(node: Arc<Node>, replica: Replica) {
    let mut changes = node.changes();
    loop {
        {
            let view = node.view();
            replica.set_live(&view.batch);
            replica.set_leaving(&view.retiring);
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep(POLL_INTERVAL * 10) => {}
        }
    }
}
