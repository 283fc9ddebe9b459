//! Starts and stops balancer and agent processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time within which a process must report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The `weirhinge` executable and the folder for its logs.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    logs: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
struct ReadyLine {
    ready: ReadyAddresses,
}

/// Addresses that a process prints once it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ReadyAddresses {
    /// UDP address of the data path.
    pub data: SocketAddr,
    /// TCP address of the health and metrics endpoints.
    pub admin: SocketAddr,
    /// TCP address for other balancers; `None` for agents.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// TCP address of the resource API; `None` for agents.
    #[serde(default)]
    pub api: Option<SocketAddr>,
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name used in error messages and the log file name.
    pub name: String,
    /// Addresses that the process listens on.
    pub addresses: ReadyAddresses,
    child: Child,
}

impl Program {
    /// Finds the `weirhinge` executable next to the current one. Its processes
    /// log to files in `logs`; without a folder their logs are discarded.
    ///
    /// # Errors
    /// Fails if the executable does not exist, naming the command that builds it,
    /// or if the log folder cannot be created.
    pub fn find(logs: Option<PathBuf>) -> eyre::Result<Self> {
        let current =
            std::env::current_exe().wrap_err("find the path of the current executable")?;
        let folder = current.parent().unwrap_or(Path::new("."));
        // Cargo puts test executables one folder below the others.
        let candidates = [folder.join("weirhinge"), folder.join("../weirhinge")];
        let path = candidates.into_iter().find(|path| path.is_file()).ok_or_else(|| {
            eyre!("no weirhinge executable next to {}: run cargo build first", current.display())
        })?;
        if let Some(folder) = &logs {
            std::fs::create_dir_all(folder)
                .wrap_err_with(|| format!("create the log folder {}", folder.display()))?;
        }
        Ok(Self { path, logs })
    }

    /// Returns the path of the executable.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Starts a process and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error that names the process and the step that failed.
    pub async fn start(&self, name: &str, arguments: &[String]) -> eyre::Result<Process> {
        let mut child = Command::new(&self.path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(self.log_output(name)?)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("start {name}"))?;
        let output = child.stdout.take().ok_or_else(|| eyre!("read output of {name}"))?;
        let mut lines = BufReader::new(output).lines();
        let line = tokio::time::timeout(READY_TIMEOUT, lines.next_line())
            .await
            .wrap_err_with(|| format!("wait for {name} to be ready"))?
            .wrap_err_with(|| format!("read output of {name}"))?
            .ok_or_else(|| eyre!("{name} exited before it was ready"))?;
        let ready: ReadyLine = serde_json::from_str(&line)
            .wrap_err_with(|| format!("read the ready line of {name}: {line:?}"))?;
        Ok(Process { name: name.to_owned(), addresses: ready.ready, child })
    }

    fn log_output(&self, name: &str) -> eyre::Result<Stdio> {
        let Some(folder) = &self.logs else {
            return Ok(Stdio::null());
        };
        let path = folder.join(format!("{name}.log"));
        let file =
            std::fs::File::create(&path).wrap_err_with(|| format!("create {}", path.display()))?;
        Ok(Stdio::from(file))
    }
}

impl Process {
    /// Sends a signal to the process if it is still running.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id()
            && let Ok(id) = i32::try_from(id)
        {
            // The process may exit between the two steps; then there is nothing to signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub async fn kill(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill().await;
    }

    /// Requests a graceful shutdown (SIGTERM) and waits for the exit.
    ///
    /// # Errors
    /// Fails if the process does not exit within `timeout` or exits with a failure.
    pub async fn stop(&mut self, timeout: Duration) -> eyre::Result<()> {
        self.signal(Signal::SIGTERM);
        let status = tokio::time::timeout(timeout, self.child.wait())
            .await
            .wrap_err_with(|| format!("wait for {} to stop", self.name))?
            .wrap_err_with(|| format!("wait for {} to stop", self.name))?;
        if status.success() { Ok(()) } else { Err(eyre!("{} exited with {status}", self.name)) }
    }
}
