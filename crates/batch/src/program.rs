//! The program from its settings to its end.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use clem_boot::{acceptor, listen, stop_signal};
use clem_control::replica::{Replica, ReplicaSettings};
use clem_direct::{Node, NodeSettings, follow, poll_alone, release_loop};
use clem_hub::consensus_settings;
use clem_log::disk::read_identity;
use clem_wire::{FleetSecret, Guard};
use salvo::{Router, Server};
use tokio::sync::watch;

use crate::{duties, keeper::Keeper, serve};

/// How long calls in progress may take after a stop was asked for.
const STOP_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause between two looks at what the hub says.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// The checked settings.
pub struct BatchSettings {
    /// What the node needs.
    pub node: NodeSettings,
    /// Where members and fronts call.
    pub address: SocketAddr,
    /// The folder of everything that must survive.
    pub data_dir: PathBuf,
    /// How many disks may be lost at once.
    pub tolerance: usize,
    /// Free bytes on the disk below which nothing is taken in.
    pub reserve_bytes: u64,
    /// What processes show each other.
    pub secret: FleetSecret,
}

/// Runs the program until it is asked to stop; `seeds` brings members of the hub that are named
/// later.
///
/// # Errors
/// The data folder or a socket can't be used.
pub async fn run(
    settings: BatchSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) -> eyre::Result<()> {
    let internal = listen(settings.address)?;
    let node = Arc::new(Node::new(settings.node));
    log::info!(vm = node.vm.as_str(), address:% = settings.address; "batch keeper started");
    tokio::spawn(follow(Arc::clone(&node), seeds));
    tokio::spawn(poll_alone(Arc::clone(&node)));
    tokio::spawn(release_loop(Arc::clone(&node)));
    let stop = stop_signal();
    tokio::pin!(stop);
    // A disk that belongs to a group needs no word of the hub to go on.
    let identity = read_identity(&settings.data_dir)?;
    let grouped = identity.is_some_and(|identity| identity.cluster.is_some());
    let peers = tokio::select! {
        peers = find_peers(&node, settings.address), if !grouped => peers,
        stopped = &mut stop, if !grouped => return Ok(stopped?),
        else => Vec::new(),
    };
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(settings.data_dir),
        address: settings.address,
        peers,
        secret: settings.secret.clone(),
        clock: node.clock,
        // Only a process that the hub has named as a founder stands among its peers.
        bootstrap: true,
        reserve_bytes: settings.reserve_bytes,
        consensus: consensus_settings(settings.tolerance),
    })?;
    let keeper = Arc::new(Keeper::new(Arc::clone(&node), replica.clone()));
    let router = Router::new()
        .hoop(Guard::new(settings.secret))
        .append(&mut serve::routes(&keeper))
        .append(&mut replica.routes());
    let server = Server::new(acceptor(internal)?);
    let handle = server.handle();
    let serving = tokio::spawn(server.serve(router));
    tokio::spawn(duties::run_items(Arc::clone(&keeper)));
    tokio::spawn(duties::list_ended(Arc::clone(&keeper)));
    tokio::spawn(duties::give_back(Arc::clone(&keeper)));
    tokio::spawn(duties::forget(Arc::clone(&keeper)));
    tokio::spawn(follow_members(
        Arc::clone(&node),
        replica.clone(),
        settings.address,
    ));
    stop.await?;
    log::info!(vm = node.vm.as_str(); "batch keeper stops");
    replica.transfer_leadership().await;
    handle.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}

/// The addresses at which the group is looked for, as soon as the hub knows them.
///
/// Before the group is founded these are its founders; afterwards this process is left out, so
/// that an empty disk can only join.
async fn find_peers(node: &Node, own: SocketAddr) -> Vec<SocketAddr> {
    loop {
        {
            let view = node.view();
            if !view.founders.is_empty() {
                let mut peers = view.founders.clone();
                if !peers.contains(&own) {
                    peers.extend(view.batch.iter().filter(|a| **a != own));
                }
                return peers;
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Lets the group know of processes that came later, and of vms that are to be emptied.
async fn follow_members(node: Arc<Node>, replica: Replica, own: SocketAddr) {
    let mut changes = node.changes();
    loop {
        {
            let view = node.view();
            if !replica.members().is_empty() {
                replica.add_peers(view.batch.iter().copied().filter(|a| *a != own));
                replica.set_leaving(&view.retiring);
            }
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep(LOOK_PAUSE * 10) => {}
        }
    }
}
