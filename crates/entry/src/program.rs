//! The program: settings, servers and the planned stop.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clem_boot::{
    CommonSettings, Flag, Listener, Metrics, Program, Readiness, Settings, Start, acceptor,
    admin_routes, bind, start_logs, stop_signal, take_level,
};
use log::LevelFilter;
use salvo::{Router, Server, Service};

use crate::{
    answer::Dispatch,
    batch,
    entry::Entry,
    filter::{Admit, Authenticate, Limit, ReadChat, ReadService},
    gate, missing, sync,
};

/// How long a stopping entry goes on as before, so that the balancer can turn away.
const TURN_AWAY_MS: &str = "3000";
/// How long a stopping entry waits for what runs.
const FINISH_MAX: Duration = Duration::from_secs(120);

type Result<T> = eyre::Result<T>;

/// The entry's own settings.
struct Options {
    member: CommonSettings,
    admin: Option<Listener>,
    max_body: usize,
    turn_away: Duration,
    level: LevelFilter,
}

/// Runs the entry until it is told to stop.
///
/// # Errors
/// The settings have findings, or a server can't be started.
pub async fn program() -> Result<()> {
    let program = flags();
    let settings = match program.read_env() {
        Start::Run(settings) => settings,
        Start::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    let options = take(settings)?;
    start_logs(options.level)?;
    serve(options).await
}

fn flags() -> Program {
    let program = Program::new(
        "clem-entry",
        "Takes callers' requests and gives the answers.",
    );
    CommonSettings::flags(program)
        .flag(Flag::new(
            "admin",
            "IP:PORT",
            "Where health and metrics are served as well.",
        ))
        .flag(
            Flag::new(
                "max-body",
                "BYTES",
                "The longest request body or batch line.",
            )
            .default("4194304"),
        )
        .flag(
            Flag::new(
                "turn-away-ms",
                "MS",
                "How long a stopping entry goes on taking requests.",
            )
            .default(TURN_AWAY_MS),
        )
}

fn take(mut settings: Settings) -> Result<Options> {
    let level = take_level(&mut settings);
    let max_body: Option<usize> = settings.take("max-body");
    let turn_away: Option<u64> = settings.take("turn-away-ms");
    let address: Option<SocketAddr> = settings.take("admin");
    let admin = address.and_then(|address| bind(&mut settings, "admin", address));
    let member = CommonSettings::take(&mut settings);
    settings.finish()?;
    let (Some(member), Some(max_body), Some(turn_away)) = (member, max_body, turn_away) else {
        eyre::bail!("a setting is missing");
    };
    let turn_away = Duration::from_millis(turn_away);
    Ok(Options {
        member,
        admin,
        max_body,
        turn_away,
        level,
    })
}

async fn serve(options: Options) -> Result<()> {
    let metrics = Metrics::start()?;
    let readiness = Readiness::default();
    let entry = Arc::new(Entry::new(
        &options.member,
        readiness.clone(),
        options.max_body,
    )?);
    log::info!(
        listen = options.member.listener.address().to_string().as_str(),
        data_centre = options.member.data_centre.as_str(),
        holder = entry.holder.id.as_str();
        "entry started"
    );
    tokio::spawn(sync::run(entry.clone()));
    tokio::spawn(sync::keep_ready(entry.clone()));
    tokio::spawn(gate::run(entry.clone()));
    if let Some(listener) = options.admin {
        let routes = admin_routes(readiness.clone(), metrics.clone());
        let server = Server::new(acceptor(listener)?);
        tokio::spawn(server.serve(Router::new().append(&mut { routes })));
    }
    let mut routes = admin_routes(readiness, metrics);
    routes.push(callers(&entry));
    let service = Service::new(Router::new().append(&mut routes)).catcher(missing::catcher());
    let server = Server::new(acceptor(options.member.listener)?);
    let handle = server.handle();
    tokio::spawn(async move {
        if stop_signal().await.is_err() {
            log::error!("the stop signal can't be waited for");
            return;
        }
        log::info!("stopping");
        entry.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(options.turn_away).await;
        handle.stop_graceful(FINISH_MAX);
    });
    server.try_serve(service).await?;
    log::info!("stopped");
    Ok(())
}

/// The routes for callers, behind the filter chain.
fn callers(entry: &Arc<Entry>) -> Router {
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
