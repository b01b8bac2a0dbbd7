//! The program from its settings to its end.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use clem_boot::{Clock, acceptor, listen, stop_signal};
use clem_control::replica::{Replica, ReplicaSettings};
use clem_edge::Dialect;
use clem_wire::{Client, ControlClient, FleetSecret, Guard};
use salvo::{Router, Server};
use tokio::sync::watch;

use crate::{Hub, hub::Parts, list, order, serve};

/// How long calls in progress may take after a stop was asked for.
const STOP_TIMEOUT: Duration = Duration::from_millis(1500);

/// The checked settings.
pub struct HubSettings {
    /// The vm's name.
    pub vm: String,
    /// Where members, fronts and batch keepers call.
    pub address: SocketAddr,
    /// Where operators call.
    pub orders: SocketAddr,
    /// Members to begin with.
    pub peers: Vec<SocketAddr>,
    /// The folder of everything that must survive; none on a vm without a disk, which only
    /// passes calls on.
    pub data_dir: Option<PathBuf>,
    /// Whether a new group may be founded.
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub tolerance: usize,
    /// Free bytes on the disk below which nothing is taken in.
    pub reserve_bytes: u64,
    /// What a customer may send right after a change of leader, in requests.
    pub restart_allowance: f64,
    /// Where the platform lists its targets.
    pub list: SocketAddr,
    /// What processes show each other.
    pub secret: FleetSecret,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
}

/// Spans of a group that must replace a lost leader within well under a second: requests are placed
/// without it meanwhile. They leave room for a disk that takes some milliseconds a sync.
pub fn consensus_settings(tolerance: usize) -> clem_log::Settings {
    clem_log::Settings {
        heartbeat: Duration::from_millis(150),
        election: Duration::from_millis(500),
        jitter: Duration::from_millis(250),
        lease: Duration::from_millis(380),
        voters: 2 * tolerance + 1,
        ..clem_log::Settings::default()
    }
}

/// Runs the program until it is asked to stop; `seeds` brings members of the hub that are named
/// later.
///
/// # Errors
/// The data folder or a socket can't be used.
pub async fn run(
    settings: HubSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) -> eyre::Result<()> {
    let clock = Clock::start();
    let has_disk = settings.data_dir.is_some();
    let internal = listen(settings.address)?;
    let orders = listen(settings.orders)?;
    let replica = Replica::open(ReplicaSettings {
        data_dir: settings.data_dir,
        address: settings.address,
        peers: settings.peers.clone(),
        secret: settings.secret.clone(),
        clock,
        bootstrap: settings.bootstrap,
        reserve_bytes: settings.reserve_bytes,
        consensus: consensus_settings(settings.tolerance),
    })?;
    let mut peers = vec![settings.address];
    peers.extend(settings.peers.iter().filter(|a| **a != settings.address));
    let hub = Arc::new(Hub::new(Parts {
        replica: replica.clone(),
        clock,
        dialect: settings.dialect,
        peers: ControlClient::new(Client::new(settings.secret.clone()), peers),
        has_disk,
        list: settings.list,
        tolerance: settings.tolerance,
        restart_allowance: settings.restart_allowance,
    }));
    let router = Router::new()
        .hoop(Guard::new(settings.secret))
        .append(&mut serve::routes(&hub))
        .append(&mut replica.routes());
    let server = Server::new(acceptor(internal)?);
    let stop = server.handle();
    let serving = tokio::spawn(server.serve(router));
    tokio::spawn(order::serve(Arc::clone(&hub), orders.into_socket()));
    tokio::spawn(take_seeds(replica.clone(), seeds));
    tokio::spawn(list::poll(Arc::clone(&hub)));
    tokio::spawn(list::tick(Arc::clone(&hub)));
    tokio::spawn(list::log_slots(Arc::clone(&hub)));
    log::info!(
        vm = settings.vm.as_str(), address:% = settings.address, has_disk;
        "hub started"
    );
    stop_signal().await?;
    log::info!(vm = settings.vm.as_str(); "hub stops");
    replica.transfer_leadership().await;
    stop.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}

/// Looks for members of the group where the settings name them later, too.
async fn take_seeds(replica: Replica, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    while seeds.changed().await.is_ok() {
        replica.add_peers(seeds.borrow_and_update().iter().copied());
    }
}
