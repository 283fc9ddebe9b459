//! What the review's scripts share: the program under test, a small deployment, the record and the
//! exit codes.

pub mod drain;
pub mod late_write;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use weirhinge_platform_standins::{Fleet, FleetPlan, RouterHash, SETTINGS_TEMPLATE};

/// The port of the only route.
pub const ROUTE_PORT: u16 = 443;
/// The service of all targets.
pub const SERVICE: &str = "dispatch";
/// `contact_ms` of the small deployments.
pub const CONTACT: Duration = Duration::from_millis(4_000);
/// `drain_ms` of the small deployments.
pub const DRAIN: Duration = Duration::from_millis(3_000);

/// How long targets take for a request of the short flows.
pub const SERVICE_TIME: Duration = Duration::from_millis(60);

/// The record of a run: one line for each event, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    /// Creates the file named by `RECORD`, or `record.txt`.
    pub fn create() -> eyre::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = std::fs::File::create(&path).wrap_err_with(|| format!("create {path}"))?;
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written shows in the file itself.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Starts a deployment whose targets all belong to one service.
pub async fn start_fleet(balancers: u8, targets: usize) -> eyre::Result<Fleet> {
    let program = std::env::var("PROGRAM").wrap_err("PROGRAM names the program under test")?;
    let plan = FleetPlan {
        balancers,
        targets: vec![SERVICE; targets],
        target_zones: Vec::new(),
        hash: RouterHash::Consistent,
        processor_shares: Vec::new(),
    };
    Fleet::start(&PathBuf::from(program), SETTINGS_TEMPLATE, &plan).await
}

/// Takes the last balancer out of the deployment before traffic starts, so that it can be added as
/// a machine that nobody knows: daemons forget a balancer after six seconds of silence.
pub async fn set_aside_last_balancer(fleet: &mut Fleet) -> eyre::Result<usize> {
    let last = fleet.balancers.len() - 1;
    fleet.balancers[last].kill()?;
    fleet
        .wait_for("the routers to drop the spare balancer", |fleet| {
            fleet.routers.ready_count() == last
        })
        .await?;
    tokio::time::sleep(Duration::from_secs(8)).await;
    Ok(last)
}

/// Records which requests each target ran, in order.
pub fn record_executed(fleet: &Fleet, record: &Record) {
    for target in &fleet.targets {
        let requests = target.executed_requests();
        record.line(&format!(
            "{} ran {} requests, got {} corrupted packets: {}",
            target.name,
            requests.len(),
            target.corrupted_packets(),
            requests.join(" ")
        ));
    }
}

/// Converts the outcome of a case into its exit code: 1 if the rule was broken, 0 if it held, 2 if
/// the case could not run.
pub fn exit_code(outcome: eyre::Result<bool>) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Fails if a count that a case depends on is too small.
pub fn require(count: usize, least: usize, what: &str) -> eyre::Result<()> {
    if count >= least { Ok(()) } else { Err(eyre!("{count} {what}, at least {least} needed")) }
}
