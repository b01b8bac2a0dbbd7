//! Reads the resource usage of a process from `/proc`.

use std::{fs, time::Duration};

use eyre::{OptionExt, WrapErr};

type Result<T> = eyre::Result<T>;

/// `USER_HZ`: the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;
/// Indexes of `utime` and `stime` among the fields of `/proc/PID/stat` after the command name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// User and system time since the process started.
    pub(crate) cpu: Duration,
    /// Resident memory, in KiB.
    pub(crate) resident_kb: u64,
}

impl Usage {
    /// Reads the usage of the process `pid`.
    pub(crate) fn of(pid: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).wrap_err("no such process")?;
        let (_, fields) = stat
            .rsplit_once(") ")
            .ok_or_eyre("the line has no command name")?;
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

fn number(fields: &[&str], index: usize) -> Result<u64> {
    let field = fields
        .get(index)
        .ok_or_eyre("the line has too few fields")?;
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
    eyre::bail!("the status has no VmRSS")
}
