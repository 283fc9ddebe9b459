//! Reads a process's memory and processor time from the kernel.

use std::time::Duration;

use eyre::{WrapErr, eyre};
use nix::unistd::{SysconfVar, sysconf};

/// What a process uses at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory in bytes.
    pub resident: u64,
    /// Processor time since its start, user and system.
    pub processor: Duration,
}

impl ProcessUsage {
    /// Reads the usage of the process with this identifier.
    ///
    /// # Errors
    /// When the process has ended or the kernel's files are not as expected.
    pub fn read(process: u32) -> eyre::Result<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))
            .wrap_err_with(|| format!("read status of process {process}"))?;
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))
            .wrap_err_with(|| format!("read times of process {process}"))?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|value| value.trim().trim_end_matches(" kB").parse::<u64>().ok())
            .ok_or_else(|| eyre!("status of process {process} has no VmRSS"))?;
        // Fields are counted behind the command's closing parenthesis.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = [11, 12]
            .iter()
            .map(|&index| fields.get(index).and_then(|field| field.parse::<u64>().ok()))
            .sum::<Option<u64>>()
            .ok_or_else(|| eyre!("times of process {process} are not as expected"))?;
        let per_second = sysconf(SysconfVar::CLK_TCK)?.unwrap_or(100) as f64;
        Ok(Self {
            resident: resident * 1_024,
            processor: Duration::from_secs_f64(ticks as f64 / per_second),
        })
    }
}
