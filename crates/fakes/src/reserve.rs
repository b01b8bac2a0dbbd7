//! `clem-fake ports`: reserves ports for a script until the process is stopped.

use std::net::SocketAddr;

use clem_boot::{CliAction, Program, Settings};
use clem_fake::ReservedPort;
use eyre::Result;
use serde::Serialize;

use crate::{flag, take};

/// The flags of `clem-fake ports`.
pub(crate) fn program() -> Program {
    Program::new(
        "clem-fake ports",
        "Reserves free ports until it is stopped.",
    )
    .flag(flag("count", "N", "1", "The number of ports."))
}

#[derive(Debug, Serialize)]
struct Reserved {
    ports: Vec<SocketAddr>,
    pid: u32,
}

/// Prints the reserved addresses as a JSON line on stdout and waits for the stop signal.
pub(crate) async fn run(start: CliAction) -> Result<()> {
    let mut settings: Settings = match start {
        CliAction::Run(settings) => settings,
        CliAction::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    let count: u32 = take(&mut settings, "count");
    settings.finish()?;
    let mut reserved = Vec::new();
    for _ in 0..count {
        reserved.push(ReservedPort::new()?);
    }
    let line = Reserved {
        ports: reserved.iter().map(ReservedPort::address).collect(),
        pid: std::process::id(),
    };
    println!("{}", serde_json::to_string(&line)?);
    clem_boot::stop_signal().await?;
    Ok(())
}
