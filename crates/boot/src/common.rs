//! Settings that entries, agents and control processes have in common.

use std::{net::SocketAddr, path::PathBuf};

use clem_types::DataCentre;
use clem_wire::FleetSecret;
use log::LevelFilter;

use crate::{Flag, Listener, Program, Settings, bind};

/// The common settings of entries, agents and control processes.
#[derive(Debug)]
pub struct CommonSettings {
    /// The listener bound to `--listen`.
    pub listener: Listener,
    /// The data centre in which the process runs.
    pub data_centre: DataCentre,
    /// The addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// The secret with which processes of the fleet authenticate to each other.
    pub secret: FleetSecret,
}

impl CommonSettings {
    /// Adds the flags that [`CommonSettings::take`] reads.
    #[must_use]
    pub fn flags(program: Program) -> Program {
        program
            .flag(Flag::new("listen", "IP:PORT", "Address to listen on.").required())
            .flag(Flag::new("data-centre", "NAME", "The data centre of this vm.").required())
            .flag(
                Flag::new(
                    "control",
                    "IP:PORT,...",
                    "Addresses of the control processes.",
                )
                .required()
                .repeated(),
            )
            .flag(
                Flag::new(
                    "fleet-secret-file",
                    "FILE",
                    "File that contains the fleet's shared secret.",
                )
                .required(),
            )
    }

    /// Takes the values of those flags and binds the listener. Returns `None` if a value is missing
    /// or invalid, for which a finding is added.
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

/// Reads the fleet's secret from the file given by `--fleet-secret-file`. Returns `None` if that
/// fails, for which a finding is added.
pub fn take_secret(settings: &mut Settings) -> Option<FleetSecret> {
    let file: PathBuf = settings.take("fleet-secret-file")?;
    match FleetSecret::read(&file) {
        Ok(secret) => Some(secret),
        Err(error) => {
            let reason = format!("failed to load {}: {error}", file.display());
            settings.add_finding("fleet-secret-file", reason);
            None
        }
    }
}

/// Takes the value of `--log-level`; an invalid one adds a finding and gives the default.
pub fn take_level(settings: &mut Settings) -> LevelFilter {
    settings.take("log-level").unwrap_or(LevelFilter::Info)
}
