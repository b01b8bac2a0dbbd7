//! What a process has used so far, read from the kernel.

use std::{fs, time::Duration};

use eyre::{OptionExt, WrapErr};

type Result<T> = eyre::Result<T>;

/// Kernel clock ticks a second, as Linux reports them to user space.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/PID/stat` after the command's name: user and system ticks.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Processor time and memory of a process at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time since the process started.
    pub(crate) cpu: Duration,
    /// Resident memory, in kilobytes.
    pub(crate) resident_kb: u64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    pub(crate) fn of(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).wrap_err("no such process")?;
        let (_, fields) = stat
            .rsplit_once(") ")
            .ok_or_eyre("the process has no name")?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let user: u64 = number(&fields, USER_TICKS_FIELD)?;
        let system: u64 = number(&fields, SYSTEM_TICKS_FIELD)?;
        let millis = (user + system) * 1000 / TICKS_PER_SECOND;
        Ok(Self {
            cpu: Duration::from_millis(millis),
            resident_kb: resident_kb(pid)?,
        })
    }
}

fn number(fields: &[&str], place: usize) -> Result<u64> {
    let field = fields.get(place).ok_or_eyre("the line is too short")?;
    field.parse().wrap_err("the field is not a number")
}

fn resident_kb(pid: u32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    for line in status.lines() {
        let Some(rest) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let number = rest.trim().trim_end_matches(" kB");
        return number.parse().wrap_err("the field is not a number");
    }
    eyre::bail!("the process has no resident memory")
}
