//! Starts and stops real processes of the product.

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

/// Longest wait for a process to say that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Where the product's program is.
#[derive(Clone, Debug)]
pub struct Program {
    path: PathBuf,
    logs: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
struct ReadyLine {
    ready: ReadyAddresses,
}

/// The addresses that a process reports when it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ReadyAddresses {
    /// UDP address of the data path.
    pub data: SocketAddr,
    /// TCP address of health and metrics.
    pub admin: SocketAddr,
    /// TCP address for other balancers; none for agents.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// TCP address of the resource API; none for agents.
    #[serde(default)]
    pub api: Option<SocketAddr>,
}

/// One running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// The process's name, for messages.
    pub name: String,
    /// Where it can be reached.
    pub addresses: ReadyAddresses,
    child: Child,
}

impl Program {
    /// Finds the program beside this one. Logs of its processes go to files in
    /// `logs`, or nowhere.
    ///
    /// # Errors
    /// When it is not there, with the command that builds it.
    pub fn find(logs: Option<PathBuf>) -> eyre::Result<Self> {
        let own = std::env::current_exe().wrap_err("find this program's own path")?;
        let folder = own.parent().unwrap_or(Path::new("."));
        // Test programs lie one folder below the others.
        let candidates = [folder.join("weirhinge"), folder.join("../weirhinge")];
        let path = candidates.into_iter().find(|path| path.is_file()).ok_or_else(|| {
            eyre!("the program weirhinge is not beside {}: run cargo build first", own.display())
        })?;
        if let Some(folder) = &logs {
            std::fs::create_dir_all(folder)
                .wrap_err_with(|| format!("make the folder {}", folder.display()))?;
        }
        Ok(Self { path, logs })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Starts a process and waits until it is ready.
    ///
    /// # Errors
    /// Names the process and the step that failed.
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
            .ok_or_else(|| eyre!("{name} ended before it was ready"))?;
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
    /// Sends a signal to this process, if it still runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id()
            && let Ok(id) = i32::try_from(id)
        {
            // The process may end between the two steps; then there is nothing to signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process without warning.
    pub async fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill().await;
    }

    /// Begins a planned stop and waits for the end.
    ///
    /// # Errors
    /// When the process does not end in time or ends with a failure.
    pub async fn stop(&mut self, limit: Duration) -> eyre::Result<()> {
        self.signal(Signal::SIGTERM);
        let status = tokio::time::timeout(limit, self.child.wait())
            .await
            .wrap_err_with(|| format!("wait for {} to stop", self.name))?
            .wrap_err_with(|| format!("wait for {} to stop", self.name))?;
        if status.success() { Ok(()) } else { Err(eyre!("{} ended with {status}", self.name)) }
    }
}
