//! The program from its settings to its end.

use std::{sync::Arc, time::Duration};

use clem_boot::{Clock, Metrics, Readiness, acceptor, admin_routes, stop_signal};
use clem_wire::Guard;
use salvo::{Router, Server};

use crate::{
    control::Control,
    placing, platform,
    replica::{RESERVE_BYTES, Replica, ReplicaSettings},
    serve,
    settings::Settings,
    tick,
};

/// How long calls in progress may take after a stop was asked for.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the program until it is asked to stop.
///
/// # Errors
/// The settings have findings, or the data folder or a socket can't be used.
pub async fn run(given: clem_boot::Settings) -> eyre::Result<()> {
    let settings = Settings::take(given)?;
    clem_boot::start_logs(settings.level)?;
    let metrics = Metrics::start()?;
    let readiness = Readiness::default();
    let clock = Clock::start();
    let address = settings.member.listener.address();
    let replica = Replica::open(ReplicaSettings {
        data_dir: Some(settings.data_dir),
        address,
        peers: settings.member.control,
        secret: settings.member.secret.clone(),
        clock,
        bootstrap: true,
        reserve_bytes: RESERVE_BYTES,
        consensus: clem_log::Settings::default(),
    })?;
    let control = Arc::new(Control::new(replica.clone(), clock, settings.limits));
    let internal = Router::new()
        .hoop(Guard::new(settings.member.secret.clone()))
        .append(&mut serve::routes(&control))
        .append(&mut replica.routes());
    let mut router = Router::new().push(internal);
    if settings.admin.is_none() {
        router = router.append(&mut admin_routes(readiness.clone(), metrics.clone()));
    }
    let server = Server::new(acceptor(settings.member.listener)?);
    let stop = server.handle();
    let serving = tokio::spawn(server.serve(router));
    if let Some(listener) = settings.admin {
        let routes = Router::new().append(&mut admin_routes(readiness.clone(), metrics));
        tokio::spawn(Server::new(acceptor(listener)?).serve(routes));
    }
    tokio::spawn(tick::refresh(Arc::clone(&control)));
    tokio::spawn(tick::expire(Arc::clone(&control)));
    tokio::spawn(placing::run(Arc::clone(&control)));
    if let Some(platform) = settings.platform {
        tokio::spawn(platform::poll(Arc::clone(&control), platform));
    }
    readiness.set(true);
    log::info!(listen:% = address, data_centre:% = settings.member.data_centre; "started");
    stop_signal().await?;
    readiness.set(false);
    log::info!(listen:% = address; "stops");
    replica.transfer_leadership().await;
    stop.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}
