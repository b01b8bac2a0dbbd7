//! The command line of the load generator.
//!
//! `clem-load kahikatea|botez|direct|shape FLAGS`; see the crate's README.

use std::{ffi::OsString, fs, path::PathBuf, process::ExitCode, time::Duration};

use clem_boot::{CliAction, EXIT_SETTINGS, Flag, Program, Settings};
use clem_load::{DirectOptions, RunOptions, Scenario, draw, load_fleet, run, run_direct};
use eyre::{Result, bail, ensure};

const NAME: &str = "clem-load";
const USAGE: &str = "\
Usage: clem-load kahikatea|botez [FLAGS]   run a scenario against a fleet of its shape
       clem-load direct [FLAGS]            measure the latency that entry and agent add
       clem-load shape SHAPE               print a fleet shape (kahikatea|botez|direct)

`clem-load kahikatea|botez|direct --help` lists the flags.
";
/// Maximum length of a phase.
const MAX_SECONDS: u64 = 600;
/// Maximum rate of `direct`, in requests per second.
const MAX_RATE: u32 = 5000;

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    let rest: Vec<OsString> = args.collect();
    match command.to_string_lossy().as_ref() {
        "kahikatea" => clem_boot::run(NAME, scenario(Scenario::Kahikatea, rest)),
        "botez" => clem_boot::run(NAME, scenario(Scenario::Botez, rest)),
        "direct" => clem_boot::run(NAME, direct(rest)),
        "shape" => clem_boot::run(NAME, shape(rest)),
        "--help" => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        "--version" => {
            println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        other => {
            eprintln!("{NAME}: unknown command {other:?}\n\n{USAGE}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// Parses the settings; `None` if help or version was printed.
fn read(program: &Program, args: Vec<OsString>) -> Option<Settings> {
    match program.read(args, |name| std::env::var_os(name)) {
        CliAction::Run(settings) => Some(settings),
        CliAction::Print(text) => {
            print!("{text}");
            None
        }
    }
}

/// Takes a number from 1 to `max`; adds a finding if it is out of range.
fn bounded(settings: &mut Settings, name: &'static str, max: u64) -> u64 {
    let value = settings.take(name).unwrap_or(1);
    if value == 0 || value > max {
        settings.add_finding(name, format!("must be from 1 to {max}"));
    }
    value
}

async fn scenario(scenario: Scenario, args: Vec<OsString>) -> Result<()> {
    let program = Program::new(
        "clem-load",
        "Generates the load of a deployment and verifies the responses.",
    )
    .flag(Flag::new("fleet", "DIR", "The DIR given to `scripts/fleet up`.").required())
    .flag(Flag::new("seconds", "N", "The length of each phase.").default("30"))
    .flag(Flag::new("kills", "N", "Targets to kill in an additional phase.").default("0"))
    .flag(Flag::new("seed", "N", "The random seed of the arrivals.").default("1"))
    .flag(Flag::new(
        "out",
        "DIR",
        "Where to write report.txt, .json and .svg.",
    ));
    let Some(mut settings) = read(&program, args) else {
        return Ok(());
    };
    let folder: Option<PathBuf> = settings.take("fleet");
    let seconds = bounded(&mut settings, "seconds", MAX_SECONDS);
    let kills = settings.take("kills").unwrap_or(0);
    let seed = settings.take("seed").unwrap_or(1);
    let out: Option<PathBuf> = settings.take("out");
    settings.finish()?;
    let fleet = load_fleet(&folder.unwrap_or_default())?;
    let options = RunOptions {
        scenario,
        phase: Duration::from_secs(seconds),
        kills,
        seed,
    };
    let report = run(fleet, &options, |phase| eprintln!("{NAME}: phase {phase}")).await?;
    print!("{report}");
    if let Some(out) = out {
        fs::create_dir_all(&out)?;
        fs::write(out.join("report.txt"), report.to_string())?;
        fs::write(out.join("report.json"), serde_json::to_vec_pretty(&report)?)?;
        draw(&report, &out.join("report.svg"))?;
    }
    ensure!(report.wrong == 0, "{} responses were wrong", report.wrong);
    Ok(())
}

async fn direct(args: Vec<OsString>) -> Result<()> {
    let program = Program::new(
        "clem-load",
        "Compares calls through an entry with direct calls.",
    )
    .flag(Flag::new("entry", "IP:PORT", "The address of the entry.").required())
    .flag(
        Flag::new(
            "engine",
            "IP:PORT",
            "The address of the fake engine behind it.",
        )
        .required(),
    )
    .flag(Flag::new(
        "key-file",
        "FILE",
        "A file with the key to send.",
    ))
    .flag(
        Flag::new("engine-model", "NAME", "The model's name at the engine.")
            .default("assistant-7b"),
    )
    .flag(Flag::new("rate", "N", "Requests per second.").default("500"))
    .flag(Flag::new("turns", "N", "Number of 2 s turns for each path.").default("5"))
    .flag(Flag::new("tokens", "N", "Tokens in each response.").default("1"))
    .flag(Flag::new("stream", "BOOL", "Whether responses are streamed.").default("false"));
    let Some(mut settings) = read(&program, args) else {
        return Ok(());
    };
    let entry = loopback(&mut settings, "entry");
    let engine = loopback(&mut settings, "engine");
    let key: Option<PathBuf> = settings.take("key-file");
    let engine_model = settings.take("engine-model").unwrap_or_default();
    let rate = bounded(&mut settings, "rate", u64::from(MAX_RATE));
    // A turn takes 2 s on each of the two paths.
    let turns = bounded(&mut settings, "turns", MAX_SECONDS / 4);
    let tokens = bounded(&mut settings, "tokens", 1000);
    let stream = settings.take("stream").unwrap_or(false);
    settings.finish()?;
    let bearer = match key {
        Some(file) => format!("Bearer {}", fs::read_to_string(file)?.trim()),
        None => String::new(),
    };
    let report = run_direct(&DirectOptions {
        entry,
        bearer,
        engine,
        engine_model,
        rate: u32::try_from(rate)?,
        turns: u32::try_from(turns)?,
        tokens: u32::try_from(tokens)?,
        stream,
    })
    .await?;
    println!("{report}");
    ensure!(
        report.failed.is_empty(),
        "some responses were incomplete or wrong"
    );
    Ok(())
}

/// Takes a loopback address and returns its URL; adds a finding for any other address, so that load
/// never leaves this machine.
fn loopback(settings: &mut Settings, name: &'static str) -> String {
    let address: Option<std::net::SocketAddr> = settings.take(name);
    let Some(address) = address else {
        return String::new();
    };
    if !address.ip().is_loopback() {
        settings.add_finding(name, "load is sent to 127.0.0.1 only");
    }
    format!("http://{address}")
}

/// Prints the shape of a scenario, one property per line, for `scripts/fleet` to parse.
async fn shape(args: Vec<OsString>) -> Result<()> {
    let name = args.first().cloned().unwrap_or_default();
    let name = name.to_string_lossy();
    let shape = if name == "direct" {
        DirectOptions::shape()
    } else {
        match name.parse::<Scenario>() {
            Ok(scenario) => scenario.shape(),
            Err(reason) => bail!("unknown shape {name:?}: {reason}, nor direct"),
        }
    };
    println!("centres {}", shape.data_centres.join(" "));
    println!("engines {}", shape.engines);
    println!("services {}", shape.services);
    println!("engine_args {}", shape.engine_args);
    for customer in &shape.customers {
        let (rate, burst) = (customer.rate, customer.burst);
        println!(
            "customer {} {rate} {burst} {}",
            customer.name, customer.weight
        );
    }
    Ok(())
}
