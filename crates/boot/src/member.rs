//! The settings that every process of a fleet has.

use std::{net::SocketAddr, path::PathBuf};

use clem_types::DataCentre;
use clem_wire::FleetSecret;
use log::LevelFilter;

use crate::{Flag, Listener, Program, Settings, bind};

/// What a process of the fleet knows of itself and of the control processes.
#[derive(Debug)]
pub struct CommonSettings {
    /// The bound socket of `--listen`.
    pub listener: Listener,
    /// The data centre that the process stands in.
    pub data_centre: DataCentre,
    /// The control processes.
    pub control: Vec<SocketAddr>,
    /// The fleet's secret.
    pub secret: FleetSecret,
}

impl CommonSettings {
    /// Adds the flags that [`CommonSettings::take`] reads.
    #[must_use]
    pub fn flags(program: Program) -> Program {
        program
            .flag(Flag::new("listen", "IP:PORT", "The address to serve at.").required())
            .flag(Flag::new("data-centre", "NAME", "The data centre of this vm.").required())
            .flag(
                Flag::new("control", "IP:PORT,...", "The control processes.")
                    .required()
                    .repeated(),
            )
            .flag(
                Flag::new(
                    "fleet-secret-file",
                    "FILE",
                    "The file with the fleet's secret.",
                )
                .required(),
            )
    }

    /// Takes the values of those flags and binds the socket; none when something is wrong, which
    /// is then found.
    pub fn take(settings: &mut Settings) -> Option<Self> {
        let listen: Option<SocketAddr> = settings.take("listen");
        let data_centre = settings.take("data-centre");
        let control = settings.take_all("control");
        let secret = take_secret(settings);
        let listener = listen.and_then(|address| bind(settings, "listen", address));
        if control.is_empty() {
            return None;
        }
        Some(Self {
            listener: listener?,
            data_centre: data_centre?,
            control,
            secret: secret?,
        })
    }
}

/// Takes the fleet's secret from the file that `--fleet-secret-file` names.
pub fn take_secret(settings: &mut Settings) -> Option<FleetSecret> {
    let file: PathBuf = settings.take("fleet-secret-file")?;
    match FleetSecret::read(&file) {
        Ok(secret) => Some(secret),
        Err(error) => {
            let reason = format!("{} can't be used: {error}", file.display());
            settings.add_finding("fleet-secret-file", reason);
            None
        }
    }
}

/// Takes the level of the log.
pub fn take_level(settings: &mut Settings) -> LevelFilter {
    settings.take("log-level").unwrap_or(LevelFilter::Info)
}
