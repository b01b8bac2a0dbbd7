//! Fake model engine, plain service, platform list of VMs and weight store, in one program.
//!
//! `clem-fake engine|service|platform|weights|ports FLAGS`; the README of this crate documents
//! calls, flags and the request log.

mod engine;
mod http;
mod platform;
mod request_log;
mod reserve;
mod service;
mod weights;

use std::{ffi::OsString, process::ExitCode};

use clem_boot::{CliAction, EXIT_SETTINGS, Flag, Listener, Program, Settings};
use eyre::Result;
use request_log::RequestLog;

const NAME: &str = "clem-fake";
const USAGE: &str = "\
Usage: clem-fake engine|service|platform|weights|ports [FLAGS]

Fakes for tests and the demo. `clem-fake KIND --help` lists the flags of a kind.
";

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let kind = args.next().unwrap_or_default();
    let args: Vec<OsString> = args.collect();
    match kind.to_string_lossy().as_ref() {
        "engine" => clem_boot::run(NAME, run(engine::program(), args, engine::run)),
        "service" => clem_boot::run(NAME, run(service::program(), args, service::run)),
        "platform" => clem_boot::run(NAME, run(platform::program(), args, platform::run)),
        "weights" => clem_boot::run(NAME, run(weights::program(), args, weights::run)),
        "ports" => {
            let start = reserve::program().read(args, |name| std::env::var_os(name));
            clem_boot::run(NAME, reserve::run(start))
        }
        "--help" => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        "--version" => {
            println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        other => {
            eprintln!("{NAME}: unknown kind {other:?}\n\n{USAGE}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// Reads the settings common to all kinds of servers and runs one kind.
async fn run(
    program: Program,
    args: Vec<OsString>,
    kind: impl AsyncFnOnce(Settings, Common) -> Result<()>,
) -> Result<()> {
    let program = program
        .flag(
            Flag::new(
                "listen",
                "IP:PORT",
                "The address to listen on; with port 0 the kernel picks one.",
            )
            .required(),
        )
        .flag(Flag::new(
            "log",
            "FILE",
            "The request log, with one JSON line for each request received.",
        ));
    let mut settings = match program.read(args, |name| std::env::var_os(name)) {
        CliAction::Run(settings) => settings,
        CliAction::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    clem_boot::start_logs(clem_boot::take_level(&mut settings))?;
    let address = settings.take("listen");
    let listener = address.and_then(|address| clem_boot::bind(&mut settings, "listen", address));
    let log = RequestLog::open(settings.take("log"))?;
    kind(settings, Common { listener, log }).await
}

/// The settings common to all kinds of servers.
struct Common {
    /// None when binding failed, which `Settings` then reports as a finding.
    listener: Option<Listener>,
    log: RequestLog,
}

/// Creates a flag with a default.
fn flag(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Flag {
    Flag::new(name, value, help).default(default)
}

/// Takes the value of a flag with a default. `Settings` reports an invalid value, and the one
/// returned isn't used.
fn take<T>(settings: &mut Settings, name: &'static str) -> T
where
    T: std::str::FromStr<Err: std::fmt::Display> + Default,
{
    settings.take(name).unwrap_or_default()
}

/// Takes the value of a flag in milliseconds.
fn take_millis(settings: &mut Settings, name: &'static str) -> std::time::Duration {
    std::time::Duration::from_millis(take(settings, name))
}

/// Takes the value of a flag in microseconds.
fn take_micros(settings: &mut Settings, name: &'static str) -> std::time::Duration {
    std::time::Duration::from_micros(take(settings, name))
}
