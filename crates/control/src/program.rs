//! Startup, main loop and graceful shutdown of `clem-control`.

use std::{sync::Arc, time::Duration};

use clem_boot::{Clock, Metrics, Readiness, acceptor, admin_routes, spawn_vital, stop_signal};
use clem_log::disk::FileSystem;
use clem_wire::Guard;
use salvo::{Router, Server};

use crate::{
    control::Control,
    maintenance, placement, platform,
    replica::{RESERVE_BYTES, Replica, ReplicaSettings},
    serve,
    settings::Settings,
};

/// How long calls in progress may take after a stop signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a planned stop waits until the group can do without this process.
const DEPART_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the program until it receives a stop signal.
///
/// # Errors
/// The settings are invalid, or the data directory or a socket cannot be used.
pub async fn run(given: clem_boot::Settings) -> eyre::Result<()> {
    let settings = Settings::take(given)?;
    clem_boot::start_logs(settings.level)?;
    let metrics = Metrics::start()?;
    let readiness = Readiness::default();
    let clock = Clock::start();
    let address = settings.common.listener.address();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(settings.data_dir),
        address,
        peers: settings.common.control,
        secret: settings.common.secret.clone(),
        clock,
        bootstrap: true,
        predates_group: false,
        reserve_bytes: RESERVE_BYTES,
        probe: Arc::new(FileSystem),
        consensus: clem_log::Settings::default(),
    })?;
    let control = Arc::new(Control::new(replica.clone(), clock, settings.limits));
    let internal = Router::new()
        .hoop(Guard::new(settings.common.secret.clone()))
        .append(&mut serve::routes(&control))
        .append(&mut replica.routes());
    let mut router = Router::new().push(internal);
    if settings.admin.is_none() {
        router = router.append(&mut admin_routes(readiness.clone(), metrics.clone()));
    }
    let server = Server::new(acceptor(settings.common.listener)?);
    let stop = server.handle();
    let serving = spawn_vital("server", server.serve(router));
    if let Some(listener) = settings.admin {
        let routes = Router::new().append(&mut admin_routes(readiness.clone(), metrics));
        spawn_vital("admin", Server::new(acceptor(listener)?).serve(routes));
    }
    spawn_vital(
        "refresh_fleet",
        maintenance::refresh_fleet(Arc::clone(&control)),
    );
    spawn_vital("maintenance", maintenance::run(Arc::clone(&control)));
    spawn_vital("placement", placement::run(Arc::clone(&control)));
    if let Some(platform) = settings.platform {
        spawn_vital("platform", platform::poll(Arc::clone(&control), platform));
    }
    readiness.set(true);
    log::info!(listen:% = address, data_centre:% = settings.common.data_centre; "started");
    stop_signal().await?;
    readiness.set(false);
    log::info!(listen:% = address; "stopping");
    replica.prepare_stop(DEPART_TIMEOUT).await;
    stop.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}
