//! The settings of the program.

use std::{net::SocketAddr, path::PathBuf};

use clem_boot::{CommonSettings, Findings, Flag, Listener, Program, bind, take_level};
use log::LevelFilter;

use crate::control::Limits;

/// Milliseconds in an hour.
const MILLIS_PER_HOUR: u64 = 3_600_000;

/// The program with its flags.
pub fn program() -> Program {
    let about = "Keeps the replicated state and answers entries, agents and operators.";
    CommonSettings::flags(Program::new("clem-control", about))
        .flag(
            Flag::new(
                "data-dir",
                "FOLDER",
                "The folder of everything that must survive.",
            )
            .required(),
        )
        .flag(Flag::new(
            "admin",
            "IP:PORT",
            "The address of health and metrics; the listening one if it is not given.",
        ))
        .flag(Flag::new(
            "platform",
            "IP:PORT",
            "Where the platform lists its VMs.",
        ))
        .flag(
            Flag::new(
                "batch-bytes",
                "BYTES",
                "The most bytes that all batches may take up on the disk.",
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
                "Free bytes on the disk below which new batches are refused.",
            )
            .default("536870912"),
        )
}

/// The checked settings.
#[derive(Debug)]
pub struct Settings {
    /// What every process has.
    pub member: CommonSettings,
    /// The data folder.
    pub data_dir: PathBuf,
    /// The socket of health and metrics.
    pub admin: Option<Listener>,
    /// The platform's list.
    pub platform: Option<SocketAddr>,
    /// Bounds that enter commands as values.
    pub limits: Limits,
    /// The level of the log.
    pub level: LevelFilter,
}

impl Settings {
    /// Takes all settings.
    ///
    /// # Errors
    /// All findings together.
    pub fn take(mut given: clem_boot::Settings) -> Result<Self, Findings> {
        let level = take_level(&mut given);
        let data_dir = given.take("data-dir");
        let admin: Option<SocketAddr> = given.take("admin");
        let platform = given.take("platform");
        let batch_bytes: Option<u64> = given.take("batch-bytes");
        let hours: Option<u32> = given.take("retention-hours");
        let disk_reserve: Option<u64> = given.take("disk-reserve");
        let member = CommonSettings::take(&mut given);
        let admin = admin.and_then(|address| bind(&mut given, "admin", address));
        given.finish()?;
        let (Some(member), Some(data_dir)) = (member, data_dir) else {
            unreachable!("a missing setting is a finding");
        };
        let (Some(batch_bytes), Some(hours), Some(disk_reserve)) =
            (batch_bytes, hours, disk_reserve)
        else {
            unreachable!("a missing setting is a finding");
        };
        let limits = Limits {
            batch_bytes,
            retention_ms: u64::from(hours) * MILLIS_PER_HOUR,
            disk_reserve,
        };
        Ok(Self {
            member,
            data_dir,
            admin,
            platform,
            limits,
            level,
        })
    }
}
