//! Command-line flags, startup and shutdown of the process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_boot::{
    CliAction, Clock, CommonSettings, Flag, Listener, Metrics, Program, Readiness, Settings,
    acceptor, admin_routes, bind, start_logs, stop_signal, take_level,
};
use clem_intake::CallRoom;
use clem_policy::Balance;
use clem_types::Incarnation;
use clem_wire::{
    Client, Guard, LeaderClient,
    sync::{Holder, Role},
};
use eyre::WrapErr;
use log::{LevelFilter, info};
use salvo::{Router, Server};
use tokio::sync::mpsc;

use crate::{
    Core, Options, agent::Agent, batch, dispatch, drive, engine::Engine, orders, stop, sync, watch,
};

type Result<T> = eyre::Result<T>;

/// How long the servers may take to close their connections at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// One part in this many of the memory is available to the requests of callers.
const REQUESTS_DIVISOR: usize = 4;
/// How often a request is in memory at once: as it was decoded, and prepared for the target.
const REQUEST_COPIES: u64 = 2;

/// Declares the command-line flags of `clem-agent`.
pub fn program() -> Program {
    CommonSettings::flags(Program::new(
        "clem-agent",
        "Sidecar of a target: controls admission and is the only path to it.",
    ))
    .flag(
        Flag::new(
            "target",
            "IP:PORT",
            "Address of the target, as in its rule.",
        )
        .required(),
    )
    .flag(Flag::new(
        "admin",
        "IP:PORT",
        "Additional address for health, readiness and metrics.",
    ))
    .flag(
        Flag::new(
            "streams",
            "N",
            "Maximum number of concurrent streams at the target.",
        )
        .default("16"),
    )
    .flag(Flag::new("waiting", "N", "Maximum number of queued online requests.").default("256"))
    .flag(
        Flag::new(
            "memory-mb",
            "MEGABYTES",
            "Memory of the process; requests of callers take a quarter of it.",
        )
        .default("512"),
    )
    .flag(
        Flag::new(
            "batch-balance",
            "0..100",
            "Balance between the latency of online requests (0) and batch throughput (100).",
        )
        .default("50"),
    )
    .flag(
        Flag::new(
            "stall-timeout-ms",
            "MS",
            "Time without a token on any stream after which the target counts as crashed.",
        )
        .default("10000"),
    )
    .flag(
        Flag::new(
            "stop-timeout-ms",
            "MS",
            "How long a graceful shutdown waits for running jobs.",
        )
        .default("30000"),
    )
}

/// The validated settings.
struct Config {
    common: CommonSettings,
    admin: Option<Listener>,
    target: SocketAddr,
    admission: clem_policy::Settings,
    /// Memory for the requests of callers.
    request_bytes: usize,
    stall: Duration,
    stop_timeout: Duration,
    level: LevelFilter,
}

/// Runs the process until it receives a stop signal.
///
/// # Errors
/// The settings are invalid, or a listener, the logs or the metrics can't be set up.
pub async fn main_program() -> Result<()> {
    let settings = match program().read_env() {
        CliAction::Run(settings) => settings,
        CliAction::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    serve(read_config(settings)?).await
}

fn read_config(mut settings: Settings) -> Result<Config> {
    let level = take_level(&mut settings);
    let common = CommonSettings::take(&mut settings);
    let target = settings.take("target");
    let admin: Option<SocketAddr> = settings.take("admin");
    let admin = admin.and_then(|address| bind(&mut settings, "admin", address));
    let streams: Option<usize> = settings.take("streams");
    if streams == Some(0) {
        settings.add_finding("streams", "it must be at least 1");
    }
    let waiting = settings.take("waiting");
    let memory: Option<usize> = settings.take("memory-mb");
    let balance = settings.take::<Balance>("batch-balance");
    let stop_timeout: Option<u64> = settings.take("stop-timeout-ms");
    let stall: Option<u64> = settings.take("stall-timeout-ms");
    settings.finish()?;
    let missing = || eyre::eyre!("a setting is missing");
    Ok(Config {
        common: common.ok_or_else(missing)?,
        admin,
        target: target.ok_or_else(missing)?,
        admission: clem_policy::Settings {
            streams: streams.ok_or_else(missing)?,
            waiting: waiting.ok_or_else(missing)?,
            balance: balance.ok_or_else(missing)?,
        },
        request_bytes: memory.ok_or_else(missing)?.saturating_mul(1024 * 1024) / REQUESTS_DIVISOR,
        stall: Duration::from_millis(stall.ok_or_else(missing)?),
        stop_timeout: Duration::from_millis(stop_timeout.ok_or_else(missing)?),
        level,
    })
}

async fn serve(config: Config) -> Result<()> {
    start_logs(config.level)?;
    let metrics = Metrics::start()?;
    let readiness = Readiness::default();
    let agent = Arc::new(build(&config)?);
    let guard = Guard::new(config.common.secret.clone());
    let router = Router::new()
        .push(dispatch::routes(&agent, guard))
        .append(&mut admin_routes(readiness.clone(), metrics.clone()));
    info!(
        listen:% = config.common.listener.address(), target:% = config.target,
        holder:% = agent.holder.id, incarnation:% = agent.incarnation();
        "serving"
    );
    let server = Server::new(acceptor(config.common.listener)?);
    let handle = server.handle();
    let mut tasks = tokio::task::JoinSet::new();
    if let Some(admin) = config.admin {
        let mut routes = admin_routes(readiness.clone(), metrics);
        let router = Router::new().append(&mut routes);
        tasks.spawn(Server::new(acceptor(admin)?).serve(router));
    }
    tasks.spawn(server.serve(router));
    let (orders, received) = mpsc::unbounded_channel();
    tasks.spawn(drive::drive(agent.clone()));
    tasks.spawn(sync::run(agent.clone(), orders));
    tasks.spawn(orders::run(agent.clone(), received));
    tasks.spawn(watch::watch(agent.clone()));
    tasks.spawn(batch::run_leasing(agent.clone()));
    tasks.spawn(batch::run_reporting(agent.clone()));
    tasks.spawn(update_readiness(agent.clone(), readiness.clone()));
    stop_signal()
        .await
        .wrap_err("failed to install the signal handlers")?;
    stop::stop(&agent, config.stop_timeout).await;
    handle.stop_graceful(CLOSE_TIMEOUT);
    tokio::time::sleep(CLOSE_TIMEOUT).await;
    info!("stopped");
    Ok(())
}

fn build(config: &Config) -> Result<Agent> {
    let address = config.common.listener.address();
    let incarnation = Incarnation(rand::random());
    let holder = Holder {
        id: format!("agent-{address}").parse()?,
        incarnation,
        role: Role::Agent,
        data_centre: config.common.data_centre.clone(),
        address,
    };
    let core = Core::new(Options {
        incarnation,
        target: config.target,
        admission: config.admission,
        stall: config.stall,
    });
    let secret = &config.common.secret;
    let control = || LeaderClient::new(Client::new(secret.clone()), config.common.control.clone());
    let engine = Engine::new(config.target);
    Ok(Agent::new(
        holder,
        Clock::start(),
        control(),
        control(),
        engine,
        CallRoom::new(config.request_bytes, REQUEST_COPIES),
        core,
    ))
}

/// The agent is ready while it holds a lease, its target is up and it isn't draining.
async fn update_readiness(agent: Arc<Agent>, readiness: Readiness) {
    const INTERVAL: Duration = Duration::from_millis(100);
    loop {
        let now = agent.now();
        let ready =
            agent.read(|core| core.has_lease(now) && core.is_target_up() && !core.is_draining());
        readiness.set(ready);
        tokio::time::sleep(INTERVAL).await;
    }
}
