//! The control program: the replicated state, leases, grants and orders.
//!
//! Each process takes part in the group; one leads and answers the calls of entries, agents and
//! operators. See `docs/DESIGN.md`.

mod control;
mod lead;
mod platform;
mod replica;
mod serve;
mod settings;
mod tick;

use std::{process::ExitCode, sync::Arc, time::Duration};

use clem_boot::{Clock, Metrics, Readiness, Start, acceptor, admin_routes, stop_signal};
use clem_wire::Guard;
use salvo::{Router, Server};

use control::Control;
use replica::{Replica, ReplicaSettings};
use settings::Settings;

/// How long calls in progress may take after a stop was asked for.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let program = settings::program();
    let start = match program.read_env() {
        Start::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Start::Run(given) => given,
    };
    clem_boot::run("clem-control", run(start))
}

async fn run(given: clem_boot::Settings) -> eyre::Result<()> {
    let settings = Settings::take(given)?;
    clem_boot::start_logs(settings.level)?;
    let metrics = Metrics::start()?;
    let readiness = Readiness::default();
    let clock = Clock::start();
    let address = settings.member.listener.address();
    let replica = Replica::open(ReplicaSettings {
        data_dir: settings.data_dir,
        address,
        peers: settings.member.control,
        secret: settings.member.secret.clone(),
        started: clock.wall(),
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
    if let Some(platform) = settings.platform {
        tokio::spawn(platform::poll(Arc::clone(&control), platform));
    }
    readiness.set(true);
    log::info!(listen:% = address, data_centre:% = settings.member.data_centre; "started");
    stop_signal().await?;
    readiness.set(false);
    log::info!(listen:% = address; "stops");
    replica.hand_over().await;
    stop.stop_graceful(STOP_TIMEOUT);
    serving.await?;
    Ok(())
}
