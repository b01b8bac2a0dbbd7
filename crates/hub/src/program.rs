//! Runs the hub program from startup to shutdown.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use clem_boot::{Clock, Metrics, acceptor, listen, metrics_route, spawn_vital, stop_signal};
use clem_control::replica::{Replica, ReplicaSettings};
use clem_edge::Dialect;
use clem_log::disk::FileSystem;
use clem_policy::dispatch::Placement;
use clem_wire::{
    Client, FleetSecret, Guard, LeaderClient,
    fleet::{ELECTION_JITTER, ELECTION_TIMEOUT, LEADER_LOSS_NOTICED},
};
use salvo::{Router, Server};
use tokio::sync::watch;

use crate::{Hub, hub::HubParts, operator, serve, tasks};

/// How long calls in progress may take after a stop signal.
const STOP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Part of the grace period left unused, so that the process exits before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(1000);

/// Validated settings.
pub struct HubSettings {
    /// The name of the vm.
    pub vm: String,
    /// Address at which members, fronts and batch keepers reach this process.
    pub address: SocketAddr,
    /// Address on which it accepts their calls; differs from `address` behind a proxy.
    pub listen: SocketAddr,
    /// Address for operators' calls.
    pub operator: SocketAddr,
    /// Initial members.
    pub peers: Vec<SocketAddr>,
    /// Directory for persistent data. `None` on a vm without a disk, where the process only
    /// forwards calls.
    pub data_dir: Option<PathBuf>,
    /// Whether this process may found a new group.
    pub bootstrap: bool,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// Number of disks that may be lost at once.
    pub tolerance: usize,
    /// Free disk space below which writes are refused, in bytes.
    pub reserve_bytes: u64,
    /// Burst granted to each customer after a change of leader, in requests.
    pub restart_allowance: f64,
    /// Memory for the documents that operators send, in bytes; the largest one is taken whatever this says.
    pub document_bytes: usize,
    /// The data centres that operators may evacuate; empty for any.
    pub data_centres: BTreeSet<String>,
    /// How far the platform's target list lags behind.
    pub list_lag: Duration,
    /// How the targets of requests are chosen.
    pub placement: Placement,
    /// Address of the platform's target list.
    pub list: SocketAddr,
    /// The secret that processes of the fleet use to authenticate to each other.
    pub secret: FleetSecret,
    /// Translates the platform's protocol.
    pub dialect: Arc<dyn Dialect>,
}

/// Consensus timing for a group that must replace a lost leader in well under a second, because
/// requests are placed without it meanwhile. Leaves room for disk syncs of several milliseconds.
pub fn consensus_settings(tolerance: usize) -> clem_log::Settings {
    clem_log::Settings {
        heartbeat: Duration::from_millis(150),
        election: ELECTION_TIMEOUT,
        jitter: ELECTION_JITTER,
        lease: Duration::from_millis(380),
        voters: 2 * tolerance + 1,
        ..clem_log::Settings::default()
    }
}

/// Runs the hub until a stop signal. `seeds` delivers hub members added to the settings later.
///
/// # Errors
/// The data directory or a socket can't be used.
pub async fn run(
    settings: HubSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) -> eyre::Result<()> {
    let clock = Clock::start();
    let metrics = Metrics::start()?;
    spawn_vital("metrics", metrics.clone().keep_up());
    let grace = settings.grace;
    let has_disk = settings.data_dir.is_some();
    let internal = listen(settings.listen)?;
    let operator = listen(settings.operator)?;
    let replica = Replica::open(ReplicaSettings {
        data_dir: settings.data_dir,
        address: settings.address,
        peers: settings.peers.clone(),
        secret: settings.secret.clone(),
        clock,
        bootstrap: settings.bootstrap,
        predates_group: false,
        reserve_bytes: settings.reserve_bytes,
        probe: Arc::new(FileSystem),
        consensus: consensus_settings(settings.tolerance),
    })?;
    let mut peers = vec![settings.address];
    peers.extend(settings.peers.iter().filter(|a| **a != settings.address));
    let client = LeaderClient::new(Client::new(settings.secret.clone()), peers);
    let hub = Arc::new(Hub::new(HubParts {
        replica: replica.clone(),
        clock,
        dialect: settings.dialect,
        peers: client.with_election_timeout(LEADER_LOSS_NOTICED),
        has_disk,
        list: settings.list,
        tolerance: settings.tolerance,
        restart_allowance: settings.restart_allowance,
        document_bytes: settings.document_bytes,
        data_centres: settings.data_centres,
        list_lag: settings.list_lag,
        placement: settings.placement,
    }));
    let guarded = Router::new()
        .hoop(Guard::new(settings.secret))
        .append(&mut serve::routes(&hub))
        .append(&mut replica.routes());
    let router = Router::new().push(guarded).push(metrics_route(metrics));
    let server = Server::new(acceptor(internal)?);
    let stop = server.handle();
    let serving = spawn_vital("server", server.serve(router));
    spawn_vital(
        "operator",
        operator::serve(Arc::clone(&hub), operator.into_socket()),
    );
    spawn_vital("add_seeds", add_seeds(replica.clone(), seeds));
    spawn_vital("poll", tasks::poll(Arc::clone(&hub)));
    spawn_vital("tick", tasks::tick(Arc::clone(&hub)));
    spawn_vital(
        "keep_low_buckets",
        tasks::keep_low_buckets(Arc::clone(&hub)),
    );
    spawn_vital("log_slots", tasks::log_slots(Arc::clone(&hub)));
    log::info!(
        vm = settings.vm.as_str(), address:% = settings.address, has_disk;
        "hub started"
    );
    stop_signal().await?;
    log::info!(vm = settings.vm.as_str(); "hub stopping");
    replica
        .prepare_stop(grace.saturating_sub(STOP_TIMEOUT + STOP_MARGIN))
        .await;
    stop.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}

/// Adds addresses of group members that appear in the settings later, to contact them.
async fn add_seeds(replica: Replica, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    while seeds.changed().await.is_ok() {
        replica.add_peers(seeds.borrow_and_update().iter().copied());
    }
}
