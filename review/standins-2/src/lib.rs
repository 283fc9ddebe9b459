//! Shared parts of the review's scripts: a small deployment, its route and the record of a run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde_json::json;
use weirhinge_platform_standins::{Client, ClientFlow, Fleet, FleetPlan, FlowError};
use weirhinge_platform_standins::{RouterHash, SETTINGS_TEMPLATE};

/// The service behind the route.
pub const SERVICE: &str = "dispatch";
/// How long a client waits for the answer to a request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two writes of a target's record.
pub const HEARTBEAT: Duration = Duration::from_millis(1_100);

/// Exit code of a script: the rule held.
pub const HELD: u8 = 0;
/// Exit code of a script: the rule was broken.
pub const BROKEN: u8 = 1;
/// Exit code of a script: the case could not run.
pub const NOT_RUN: u8 = 2;

/// Address of the route that clients connect to. It names the route inside the packets only.
pub fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 200, 0, 1), 443)
}

/// Whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The lines of `record.txt`, with the time of each.
pub struct Record {
    began: Instant,
    lines: Vec<String>,
    file: PathBuf,
}

impl Record {
    /// Creates an empty record that is written to the file named by `RECORD`.
    ///
    /// # Errors
    /// Fails if the variable is not set.
    pub fn new() -> eyre::Result<Self> {
        let file = std::env::var("RECORD").wrap_err("RECORD names no file")?.into();
        Ok(Self { began: Instant::now(), lines: Vec::new(), file })
    }

    /// Adds a line.
    pub fn line(&mut self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.push(format!("{at:8.3} s  {}", text.as_ref()));
    }

    /// Writes the file.
    ///
    /// # Errors
    /// Fails if it cannot be written.
    pub fn write(&self) -> eyre::Result<()> {
        std::fs::write(&self.file, self.lines.join("\n") + "\n").wrap_err("write the record")
    }
}

/// Starts a deployment of this many balancers and of one target for each service named.
///
/// # Errors
/// Fails if a process or a stand-in cannot be started.
pub async fn start(balancers: u8, targets: &[&'static str]) -> eyre::Result<Fleet> {
    let program = std::env::var("WEIRHINGE").wrap_err("WEIRHINGE names no program")?;
    let plan = FleetPlan {
        balancers,
        targets: targets.to_vec(),
        target_zones: Vec::new(),
        hash: RouterHash::Consistent,
        processor_shares: Vec::new(),
    };
    let fleet = Fleet::start(program.as_ref(), SETTINGS_TEMPLATE, &plan).await?;
    configure(&fleet, 100);
    Ok(fleet)
}

/// Writes the configuration: one route to the service.
pub fn configure(fleet: &Fleet, version: u64) {
    let route_document = json!({ "name": "r-1", "host": route().ip().to_string(),
        "path_prefix": format!("/{}/", route().port()), "kind": "safe", "timeout_ms": 2_500,
        "latency_objective_ms": 250, "priority": 2, "service": SERVICE, "retry_attempts": 2 });
    let configuration = json!({ "version": version, "routes": [route_document],
        "services": [{ "name": SERVICE, "health_path": "/health", "connection_limit": 2_000 }],
        "limits": { "idle_timeout_ms": 15_000 } });
    fleet.store.put("op/config", &configuration);
}

/// Opens a flow, trying again for a short time until the configuration is in force.
///
/// # Errors
/// Fails if no flow opens within the time.
pub async fn open(client: &Client) -> eyre::Result<ClientFlow> {
    let began = Instant::now();
    loop {
        match client.open(route()).await {
            Ok(flow) => return Ok(flow),
            Err(error) if began.elapsed() > REQUEST_TIMEOUT => {
                eyre::bail!("no flow opened: {error:?}")
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

/// The outcome of a request in words.
pub fn outcome(answer: &Result<String, FlowError>) -> String {
    match answer {
        Ok(target) => format!("answered by {target}"),
        Err(FlowError::Reset) => "RESET".to_owned(),
        Err(FlowError::TimedOut) => "no answer".to_owned(),
    }
}

/// Runs a script and turns its verdict into the exit code.
pub fn exit_code(verdict: eyre::Result<bool>) -> std::process::ExitCode {
    match verdict {
        Ok(true) => HELD.into(),
        Ok(false) => BROKEN.into(),
        Err(error) => {
            eprintln!("the case could not run: {error:#}");
            NOT_RUN.into()
        }
    }
}
