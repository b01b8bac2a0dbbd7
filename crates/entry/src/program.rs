//! The program: settings, servers and graceful shutdown.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clem_boot::{
    CliAction, CommonSettings, Flag, Listener, Metrics, Program, Readiness, Settings, acceptor,
    admin_routes, bind, spawn_vital, start_logs, stop_signal, take_level,
};
use clem_intake::ConnectionList;
use log::LevelFilter;
use salvo::{Router, Server, Service};

use crate::{
    answer::Dispatch,
    batch,
    connections::{BoundedAcceptor, NotePhases, Places},
    entry::Entry,
    filter::{Admit, Authenticate, Limit, ReadChat, ReadService},
    gate, missing, sync,
};

/// How long an entry keeps serving after the stop signal, so that the load balancer can remove it.
const TURN_AWAY_MS: &str = "3000";
/// How long a shutdown waits for running requests.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(120);

/// One part in this many of the memory is available to the bodies of callers.
const BODIES_DIVISOR: usize = 4;
/// One part in this many of the memory is available to callers' connections.
const CONNECTIONS_DIVISOR: usize = 4;
/// Memory of a connection without a request, in bytes: its read buffer and its state.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Most bytes read from a connection at once, and the largest request head.
const READ_BYTES_MAX: usize = 64 * 1024;

type Result<T> = eyre::Result<T>;

/// The settings of the entry, read from flags and the environment.
struct Options {
    common: CommonSettings,
    admin: Option<Listener>,
    max_body: usize,
    /// Memory for the bodies of callers.
    body_bytes: usize,
    /// Maximum number of callers' connections.
    connections_max: usize,
    turn_away: Duration,
    level: LevelFilter,
}

/// Runs the entry until it receives a stop signal.
///
/// # Errors
/// The settings are invalid, or a server can't be started.
pub async fn program() -> Result<()> {
    let program = flags();
    let settings = match program.read_env() {
        CliAction::Run(settings) => settings,
        CliAction::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    let options = read_options(settings)?;
    start_logs(options.level)?;
    serve(options).await
}

fn flags() -> Program {
    let program = Program::new(
        "clem-entry",
        "Accepts callers' requests and relays the answers.",
    );
    CommonSettings::flags(program)
        .flag(Flag::new(
            "admin",
            "IP:PORT",
            "An additional address for health and metrics.",
        ))
        .flag(
            Flag::new(
                "max-body",
                "BYTES",
                "The maximum size of a request body or batch line.",
            )
            .default("4194304"),
        )
        .flag(
            Flag::new(
                "memory-mb",
                "MEGABYTES",
                "The memory of the process; the bodies of callers hold a quarter of it.",
            )
            .default("512"),
        )
        .flag(
            Flag::new(
                "turn-away-ms",
                "MS",
                "How long a stopping entry still accepts requests.",
            )
            .default(TURN_AWAY_MS),
        )
}

fn read_options(mut settings: Settings) -> Result<Options> {
    let level = take_level(&mut settings);
    let max_body: Option<usize> = settings.take("max-body");
    let memory: Option<usize> = settings.take("memory-mb");
    let turn_away: Option<u64> = settings.take("turn-away-ms");
    let address: Option<SocketAddr> = settings.take("admin");
    let admin = address.and_then(|address| bind(&mut settings, "admin", address));
    let common = CommonSettings::take(&mut settings);
    settings.finish()?;
    let all = (common, max_body, memory, turn_away);
    let (Some(common), Some(max_body), Some(memory), Some(turn_away)) = all else {
        eyre::bail!("a setting is missing");
    };
    let turn_away = Duration::from_millis(turn_away);
    let memory = memory.saturating_mul(1024 * 1024);
    Ok(Options {
        common,
        admin,
        max_body,
        body_bytes: memory / BODIES_DIVISOR,
        connections_max: memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES,
        turn_away,
        level,
    })
}

async fn serve(options: Options) -> Result<()> {
    let metrics = Metrics::start()?;
    let readiness = Readiness::default();
    let entry = Arc::new(Entry::new(
        &options.common,
        readiness.clone(),
        options.max_body,
        options.body_bytes,
    )?);
    log::info!(
        listen = options.common.listener.address().to_string().as_str(),
        data_centre = options.common.data_centre.as_str(),
        holder = entry.holder.id.as_str();
        "entry started"
    );
    spawn_vital("sync", sync::run(entry.clone()));
    spawn_vital("update_readiness", sync::update_readiness(entry.clone()));
    spawn_vital("gate", gate::run(entry.clone()));
    if let Some(listener) = options.admin {
        let routes = admin_routes(readiness.clone(), metrics.clone());
        let server = Server::new(acceptor(listener)?);
        spawn_vital("admin", server.serve(Router::new().append(&mut { routes })));
    }
    let mut routes = admin_routes(readiness, metrics);
    routes.push(caller_routes(&entry));
    let places = Places::new();
    let list = ConnectionList::new(
        options.connections_max,
        Arc::clone(&entry.bodies),
        entry.clock,
    );
    let router = Router::new().append(&mut routes);
    let service = Service::new(router)
        .hoop(NotePhases {
            places: places.clone(),
        })
        .catcher(missing::catcher());
    let mut server = Server::new(BoundedAcceptor {
        inner: acceptor(options.common.listener)?,
        list,
        places,
        clock: entry.clock,
    });
    server.http1_mut().max_buf_size(READ_BYTES_MAX);
    let handle = server.handle();
    tokio::spawn(async move {
        if stop_signal().await.is_err() {
            log::error!("failed to wait for the stop signal");
            return;
        }
        log::info!("stopping");
        entry.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(options.turn_away).await;
        handle.stop_graceful(SHUTDOWN_TIMEOUT);
    });
    server.try_serve(service).await?;
    log::info!("stopped");
    Ok(())
}

/// The routes for callers, behind the filter chain.
fn caller_routes(entry: &Arc<Entry>) -> Router {
    let chat = Router::with_path("v1/chat/completions")
        .hoop(ReadChat {
            entry: entry.clone(),
        })
        .hoop(Limit {
            entry: entry.clone(),
        })
        .post(Dispatch {
            entry: entry.clone(),
        });
    let service = Router::with_path("svc/{**rest}")
        .hoop(ReadService {
            entry: entry.clone(),
        })
        .hoop(Limit {
            entry: entry.clone(),
        })
        .goal(Dispatch {
            entry: entry.clone(),
        });
    Router::new()
        .hoop(Authenticate {
            entry: entry.clone(),
        })
        .hoop(Admit {
            entry: entry.clone(),
        })
        .push(chat)
        .push(service)
        .push(batch::routes(entry))
}
