//! Command-line settings of `clem-control`.

use std::{net::SocketAddr, path::PathBuf};

use clem_boot::{CommonSettings, Findings, Flag, Listener, Program, bind, take_level};
use log::LevelFilter;

use crate::control::Limits;

const MILLIS_PER_HOUR: u64 = 3_600_000;

/// The definition of `clem-control` and its flags.
pub fn program() -> Program {
    let about = "Keeps the replicated state and serves entries, agents and operators.";
    CommonSettings::flags(Program::new("clem-control", about))
        .flag(
            Flag::new(
                "data-dir",
                "FOLDER",
                "Directory of the replicated log and the state.",
            )
            .required(),
        )
        .flag(Flag::new(
            "admin",
            "IP:PORT",
            "Address for health checks and metrics; by default they are served on --listen.",
        ))
        .flag(Flag::new(
            "platform",
            "IP:PORT",
            "Address of the platform's list of VMs; not polled if not given.",
        ))
        .flag(
            Flag::new(
                "batch-bytes",
                "BYTES",
                "Maximum total size of all batches on disk.",
            )
            .default("20000000000"),
        )
        .flag(
            Flag::new(
                "retention-hours",
                "HOURS",
                "How long the results of a finished batch are kept.",
            )
            .default("168"),
        )
        .flag(
            Flag::new(
                "disk-reserve",
                "BYTES",
                "Free disk space below which new batches are refused.",
            )
            .default("536870912"),
        )
}

/// The parsed settings.
#[derive(Debug)]
pub struct Settings {
    /// Settings that are common to all programs of the fleet.
    pub common: CommonSettings,
    /// The directory of the log and the store.
    pub data_dir: PathBuf,
    /// A separate listener for health checks and metrics; without it, they are served on the main
    /// listener.
    pub admin: Option<Listener>,
    /// The address of the platform's VM list; without it, the list is not polled.
    pub platform: Option<SocketAddr>,
    /// Limits written into commands.
    pub limits: Limits,
    /// The minimum level of log messages.
    pub level: LevelFilter,
}

impl Settings {
    /// Parses the settings and binds the listeners.
    ///
    /// # Errors
    /// All problems with the settings at once.
    pub fn take(mut given: clem_boot::Settings) -> Result<Self, Findings> {
        let level = take_level(&mut given);
        let data_dir = given.take("data-dir");
        let admin: Option<SocketAddr> = given.take("admin");
        let platform = given.take("platform");
        let batch_bytes: Option<u64> = given.take("batch-bytes");
        let hours: Option<u32> = given.take("retention-hours");
        let disk_reserve: Option<u64> = given.take("disk-reserve");
        let common = CommonSettings::take(&mut given);
        let admin = admin.and_then(|address| bind(&mut given, "admin", address));
        given.finish()?;
        let (Some(common), Some(data_dir)) = (common, data_dir) else {
            unreachable!("a missing setting is reported by finish()");
        };
        let (Some(batch_bytes), Some(hours), Some(disk_reserve)) =
            (batch_bytes, hours, disk_reserve)
        else {
            unreachable!("a missing setting is reported by finish()");
        };
        let limits = Limits {
            batch_bytes,
            retention_ms: u64::from(hours) * MILLIS_PER_HOUR,
            disk_reserve,
        };
        Ok(Self {
            common,
            data_dir,
            admin,
            platform,
            limits,
            level,
        })
    }
}
