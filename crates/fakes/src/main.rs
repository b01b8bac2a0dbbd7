//! Small stand-ins for model engines, plain services, the platform's list and the weight store.
//!
//! `clem-fake engine|service|platform|weights FLAGS`; calls, flags and log lines are in the crate's README.

mod engine;
mod flags;
mod http;
mod platform;
mod request_log;
mod service;
mod weights;

use std::process::ExitCode;

use flags::Flags;

const USAGE: &str = "\
Stand-ins for tests and the demo.

Usage: clem-fake engine|service|platform|weights [FLAGS]

  --listen IP:PORT   where to listen; port 0 lets the kernel pick
  --log FILE         one JSON line for each request received

Calls and the flags of each kind: crates/fakes/README.md
";

/// Exit code of a bad setting.
const BAD_SETTING: u8 = 2;

fn main() -> ExitCode {
    let mut words = std::env::args_os().skip(1);
    let kind = words.next().unwrap_or_default();
    let kind = kind.to_string_lossy();
    match kind.as_ref() {
        "--help" => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        "--version" => {
            println!("clem-fake {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {}
    }
    let mut flags = Flags::read(words);
    let result = match kind.as_ref() {
        "engine" => start(engine::Settings::read(&mut flags), flags, engine::run),
        "service" => start(service::Settings::read(&mut flags), flags, service::run),
        "platform" => start(platform::Settings::read(&mut flags), flags, platform::run),
        "weights" => start(weights::Settings::read(&mut flags), flags, weights::run),
        other => {
            eprintln!("clem-fake: not a kind of stand-in: {other:?}\n\n{USAGE}");
            return ExitCode::from(BAD_SETTING);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Settings(findings)) => {
            for finding in findings {
                eprintln!("clem-fake: {finding}");
            }
            ExitCode::from(BAD_SETTING)
        }
        Err(Failure::Run(report)) => {
            eprintln!("clem-fake: {report:#}");
            ExitCode::FAILURE
        }
    }
}

enum Failure {
    Settings(Vec<String>),
    Run(eyre::Report),
}

/// Runs one kind on a current-thread runtime, when no flag had a finding.
fn start<S, F>(settings: S, flags: Flags, run: impl FnOnce(S) -> F) -> Result<(), Failure>
where
    F: Future<Output = eyre::Result<()>>,
{
    let findings = flags.finish();
    if !findings.is_empty() {
        return Err(Failure::Settings(findings));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::Run(error.into()))?;
    runtime.block_on(run(settings)).map_err(Failure::Run)
}
