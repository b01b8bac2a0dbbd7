//! The program: its flags, its tasks and its end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_boot::{
    Clock, CommonSettings, Flag, Listener, Metrics, Program, Readiness, Settings, Start, acceptor,
    admin_routes, bind, start_logs, stop_signal, take_level,
};
use clem_policy::Balance;
use clem_types::Incarnation;
use clem_wire::{
    Client, ControlClient, Guard,
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

/// How long the servers may take to close their connections at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The flags of `clem-agent`.
pub fn program() -> Program {
    CommonSettings::flags(Program::new(
        "clem-agent",
        "The process beside a target, the only way to it.",
    ))
    .flag(
        Flag::new(
            "target",
            "IP:PORT",
            "The target's address, as its rule has it.",
        )
        .required(),
    )
    .flag(Flag::new(
        "admin",
        "IP:PORT",
        "Serves health, readiness and metrics here as well.",
    ))
    .flag(
        Flag::new(
            "streams",
            "N",
            "The most streams that the target gets at once.",
        )
        .default("16"),
    )
    .flag(Flag::new("waiting", "N", "The most online requests that wait.").default("256"))
    .flag(
        Flag::new(
            "batch-balance",
            "0..100",
            "0 spares online requests, 100 favours batch throughput.",
        )
        .default("50"),
    )
    .flag(
        Flag::new(
            "stall-timeout-ms",
            "MS",
            "A target whose streams get no token for so long counts as dead.",
        )
        .default("10000"),
    )
    .flag(
        Flag::new(
            "stop-timeout-ms",
            "MS",
            "How long a planned stop waits for running work.",
        )
        .default("30000"),
    )
}

/// What the program runs with.
struct Config {
    member: CommonSettings,
    admin: Option<Listener>,
    target: SocketAddr,
    admission: clem_policy::Settings,
    stall: Duration,
    stop_timeout: Duration,
    level: LevelFilter,
}

/// Runs the program until it is told to stop.
///
/// # Errors
/// The settings have findings, or the sockets can't be served.
pub async fn main_program() -> Result<()> {
    let settings = match program().read_env() {
        Start::Run(settings) => settings,
        Start::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    serve(read(settings)?).await
}

fn read(mut settings: Settings) -> Result<Config> {
    let level = take_level(&mut settings);
    let member = CommonSettings::take(&mut settings);
    let target = settings.take("target");
    let admin: Option<SocketAddr> = settings.take("admin");
    let admin = admin.and_then(|address| bind(&mut settings, "admin", address));
    let streams: Option<usize> = settings.take("streams");
    if streams == Some(0) {
        settings.add_finding("streams", "it must be at least 1");
    }
    let waiting = settings.take("waiting");
    let balance = settings.take::<Balance>("batch-balance");
    let stop_timeout: Option<u64> = settings.take("stop-timeout-ms");
    let stall: Option<u64> = settings.take("stall-timeout-ms");
    settings.finish()?;
    let missing = || eyre::eyre!("a setting is missing");
    Ok(Config {
        member: member.ok_or_else(missing)?,
        admin,
        target: target.ok_or_else(missing)?,
        admission: clem_policy::Settings {
            streams: streams.ok_or_else(missing)?,
            waiting: waiting.ok_or_else(missing)?,
            balance: balance.ok_or_else(missing)?,
        },
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
    let guard = Guard::new(config.member.secret.clone());
    let router = Router::new()
        .push(dispatch::routes(&agent, guard))
        .append(&mut admin_routes(readiness.clone(), metrics.clone()));
    info!(
        listen:% = config.member.listener.address(), target:% = config.target,
        holder:% = agent.holder.id, incarnation:% = agent.incarnation();
        "serving"
    );
    let server = Server::new(acceptor(config.member.listener)?);
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
    tasks.spawn(sync::keep(agent.clone(), orders));
    tasks.spawn(orders::carry(agent.clone(), received));
    tasks.spawn(watch::watch(agent.clone()));
    tasks.spawn(batch::lease(agent.clone()));
    tasks.spawn(batch::finish(agent.clone()));
    tasks.spawn(show_readiness(agent.clone(), readiness.clone()));
    stop_signal().await.wrap_err("signals can't be taken")?;
    stop::stop(&agent, config.stop_timeout).await;
    handle.stop_graceful(CLOSE_TIMEOUT);
    tokio::time::sleep(CLOSE_TIMEOUT).await;
    info!("stopped");
    Ok(())
}

fn build(config: &Config) -> Result<Agent> {
    let address = config.member.listener.address();
    let incarnation = Incarnation(rand::random());
    let holder = Holder {
        id: format!("agent-{address}").parse()?,
        incarnation,
        role: Role::Agent,
        data_centre: config.member.data_centre.clone(),
        address,
    };
    let core = Core::new(Options {
        incarnation,
        target: config.target,
        admission: config.admission,
        stall: config.stall,
    });
    let secret = &config.member.secret;
    let control = || ControlClient::new(Client::new(secret.clone()), config.member.control.clone());
    let engine = Engine::new(config.target);
    Ok(Agent::new(
        holder,
        Clock::start(),
        control(),
        control(),
        engine,
        core,
    ))
}

/// The agent is ready while it holds a lease and its target answers.
async fn show_readiness(agent: Arc<Agent>, readiness: Readiness) {
    const EVERY: Duration = Duration::from_millis(100);
    loop {
        let now = agent.now();
        let ready = agent.read(|core| core.has_lease(now) && core.is_up() && !core.is_draining());
        readiness.set(ready);
        tokio::time::sleep(EVERY).await;
    }
}
