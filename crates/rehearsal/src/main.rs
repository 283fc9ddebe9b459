//! The `rehearse` program: runs rehearsals, simulations and measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use weirhinge_rehearsal::agreement::measure_agreement;
use weirhinge_rehearsal::bench::{ForwardingRound, measure_forwarding};
use weirhinge_rehearsal::fleet::FleetOptions;
use weirhinge_rehearsal::processes::Program;
use weirhinge_rehearsal::report;
use weirhinge_rehearsal::run::rehearse;
use weirhinge_rehearsal::scenario::Scenario;
use weirhinge_rehearsal::simulate::{Policy, PolicyResult, Simulation, simulate};
use weirhinge_rehearsal::simulate_changes::{ChangeResult, Scheme, simulate_changes};
use weirhinge_soak::run::FaultPattern;

const HELP: &str = "\
rehearse: test the load balancer under load and a schedule of faults

USAGE:
  rehearse run SCENARIO [OPTIONS]   Run a shipped scenario or a scenario file
  rehearse list                     List the shipped scenarios
  rehearse check FILE               Check a scenario file
  rehearse bench [OPTIONS]          Compare the balancer with a bare UDP relay
  rehearse simulate [OPTIONS]       Compare policies and schemes in simulated time
  rehearse agreement                Measure configuration writes and outages after leader failures
  rehearse soak [OPTIONS]           Run the relay under random faults drawn from a seed

OPTIONS OF run:
  --seconds N      Duration of the load  [default: the scenario's]
  --seed S         Random seed of the stand-ins  [default: 1]
  --candidates N   Targets that agents compare per new flow  [default: 3]
  --logs FOLDER    Write the processes' logs to FOLDER, with each decision about a flow
  --plant NAME     Enable a planted defect in every agent (needs the planted-defects feature)
  --json           Print the verdict as one JSON object on the last line

OPTIONS OF simulate:
  --load SHARE     Offered load as a share of all slots  [default: 0.7]
  --seed S         Random seed  [default: 1]

OPTIONS OF bench:
  --rounds N       Rounds of relay, unbatched and batched balancer  [default: 5]
  --seconds N      Duration of each measurement  [default: 2]

OPTIONS OF soak:
  --seed S         Seed of the faults  [default: random, printed at the start]
  --seconds N      Approximate duration  [default: 120]
  --scale N        Multiple of three balancers and five targets, 1 to 25  [default: 1]
  --series         Faults overlap and include restarts of the store and the targets
  --crowds         Bursts of clients arrive while targets may be slow

EXIT CODES:
  0  every promise held
  1  a promise was broken, or the rehearsal failed
  2  the command line or the scenario cannot be used
";
/// Exit code for a broken promise or a failed rehearsal.
const EXIT_FAILED: u8 = 1;
/// Exit code for unusable input.
const EXIT_USAGE: u8 = 2;

struct RunOptions {
    name: String,
    scenario: Scenario,
    fleet: FleetOptions,
    json: bool,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let command = arguments.subcommand().unwrap_or_default();
    let outcome = match command.as_deref() {
        Some("run") => read_run(arguments).map(run),
        Some("list") => list(),
        Some("check") => check(arguments),
        Some("bench") => bench(arguments),
        Some("simulate") => simulate_policies(arguments),
        Some("soak") => soak(arguments),
        Some("agreement") => Ok(measure(print_agreement())),
        _ => Err(format!("expected a command\n\n{HELP}")),
    };
    outcome.unwrap_or_else(|reason| {
        eprintln!("rehearse: {reason}");
        ExitCode::from(EXIT_USAGE)
    })
}

fn list() -> Result<ExitCode, String> {
    for name in Scenario::shipped() {
        let scenario = Scenario::load(name).map_err(|error| error.to_string())?;
        println!("{name}: {}", scenario.description);
    }
    Ok(ExitCode::SUCCESS)
}

fn check(mut arguments: Arguments) -> Result<ExitCode, String> {
    let file: String = arguments.free_from_str().map_err(|_| "no file given".to_owned())?;
    let scenario = Scenario::load(&file).map_err(|error| error.to_string())?;
    println!("{file}: valid scenario, {} s, {} faults", scenario.seconds, scenario.faults.len());
    Ok(ExitCode::SUCCESS)
}

fn bench(mut arguments: Arguments) -> Result<ExitCode, String> {
    let rounds: usize = option(&mut arguments, "--rounds")?.unwrap_or(5).max(1);
    let seconds: f64 = option(&mut arguments, "--seconds")?.unwrap_or(2.0);
    let measured = tokio::runtime::Runtime::new()
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(measure_forwarding(rounds, seconds)));
    let result = match measured {
        Ok(result) => result,
        Err(report) => {
            eprintln!("rehearse: {report:#}");
            return Ok(ExitCode::from(EXIT_FAILED));
        }
    };
    println!("packets per second      relay   unbatched     batched");
    for round in &result.rounds {
        let ForwardingRound { relay, unbatched, batched } = round;
        println!("                 {relay:>12.0}{unbatched:>12.0}{batched:>12.0}");
    }
    println!("median ratio to relay  unbatched {:.2}", result.unbatched_ratio);
    println!("median ratio to relay  batched   {:.2}", result.batched_ratio);
    Ok(ExitCode::SUCCESS)
}

/// The admission policies that are compared.
const POLICIES: [Policy; 7] = [
    Policy::Ideal,
    Policy::Chain { candidates: 4 },
    Policy::Chain { candidates: 3 },
    Policy::Chain { candidates: 2 },
    Policy::ReportedLoad { interval_ms: 100 },
    Policy::ReportedLoad { interval_ms: 1_000 },
    Policy::HashOnly,
];

/// Simulates seven targets with seven slots and 200 ms service time each, like
/// the approvals service of the bluebonnet scenario.
fn simulate_policies(mut arguments: Arguments) -> Result<ExitCode, String> {
    let simulation = Simulation {
        targets: 7,
        slots: 7,
        service_seconds: 0.2,
        load: option(&mut arguments, "--load")?.unwrap_or(0.7),
        seconds: 2_000.0,
        hop_seconds: 0.0015,
        seed: option(&mut arguments, "--seed")?.unwrap_or(1),
    };
    println!("policy                              imbalance p50 / p99   ms p50 / p99   hops");
    for policy in POLICIES {
        let PolicyResult { imbalance, imbalance_p99, p50_ms, p99_ms, hops, .. } =
            simulate(simulation, policy);
        let name = format!("{policy:?}");
        println!(
            "{name:<40} {imbalance:.3} / {imbalance_p99:.3}   {p50_ms:>5.0} / {p99_ms:<5.0}   {hops:.2}"
        );
    }
    println!();
    println!(
        "finding the holder          flows broken per 10,000 changes   packets with an extra hop"
    );
    for scheme in SCHEMES {
        let (result, moves) = simulate_changes(scheme, CHANGES, simulation.seed);
        let ChangeResult { broken, extra_hops, .. } = result;
        let name = format!("{scheme:?}");
        println!("{name:<27} {broken:>31.0}   {:>23.1} %", extra_hops * 100.0);
        if scheme == Scheme::Hint {
            println!("buckets moved {}, least possible {}", moves.moved, moves.least);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// The schemes for finding a flow's holder that are compared.
const SCHEMES: [Scheme; 4] =
    [Scheme::HashOnly, Scheme::OnePreviousOwner, Scheme::Directory, Scheme::Hint];
/// Number of simulated configuration changes.
const CHANGES: u64 = 10_000;

/// Number of writes and of leader failures that are measured.
const AGREEMENT_COUNTS: (usize, usize) = (40, 4);

/// Approximate duration of one soak episode.
const EPISODE_SECONDS: u64 = 10;

fn soak(mut arguments: Arguments) -> Result<ExitCode, String> {
    let seed = option(&mut arguments, "--seed")?.unwrap_or_else(|| rand::random_range(0..1 << 32));
    let seconds: u64 = option(&mut arguments, "--seconds")?.unwrap_or(120);
    let episodes = seconds.div_ceil(EPISODE_SECONDS).max(1) as usize;
    println!("soak with seed {seed}, {episodes} episodes");
    let scale = option(&mut arguments, "--scale")?.unwrap_or(1);
    let largest = weirhinge_soak::run::LARGEST_SCALE;
    if !(1..=largest).contains(&scale) {
        return Err(format!("argument --scale: found {scale}, expected 1 to {largest}"));
    }
    let (with_series, with_crowds) =
        (arguments.contains("--series"), arguments.contains("--crowds"));
    let faults = match (with_series, with_crowds) {
        (false, false) => FaultPattern::Together,
        (true, false) => FaultPattern::Series,
        (false, true) => FaultPattern::Crowds,
        (true, true) => return Err("--series and --crowds: expected one of them".to_owned()),
    };
    let options = weirhinge_soak::run::Options { seed, episodes, scale, faults, verbose: true };
    Ok(measure(async move {
        let program = Program::find(None)?;
        let report = weirhinge_soak::run::soak(program.path(), options).await?;
        println!("{} requests, {} answered", report.requests, report.answered);
        for (violation, request) in &report.violations {
            println!("broken: {violation}");
            if let Some((entry, seconds)) = request {
                println!("  at {seconds:.1} s, holder {:?}", entry.holder);
            }
        }
        let broken = report.violations.len();
        eyre::ensure!(broken == 0, "{broken} promise violations with seed {seed}");
        println!("every promise held");
        Ok(())
    }))
}

/// Runs a measurement that prints its own results.
fn measure(measurement: impl Future<Output = eyre::Result<()>>) -> ExitCode {
    let measured = tokio::runtime::Runtime::new()
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(measurement));
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("rehearse: {report:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn print_agreement() -> eyre::Result<()> {
    let (writes, leader_kills) = AGREEMENT_COUNTS;
    let result = measure_agreement(writes, leader_kills).await?;
    println!("{}", serde_json::to_string(&result)?);
    Ok(())
}

fn read_run(mut arguments: Arguments) -> Result<RunOptions, String> {
    let seconds: Option<u64> = option(&mut arguments, "--seconds")?;
    let seed = option(&mut arguments, "--seed")?.unwrap_or(1);
    let candidates = option(&mut arguments, "--candidates")?.unwrap_or(3);
    let logs: Option<String> = option(&mut arguments, "--logs")?;
    let plant = option(&mut arguments, "--plant")?;
    let json = arguments.contains("--json");
    let name: String =
        arguments.free_from_str().map_err(|_| format!("no scenario given\n\n{HELP}"))?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("unknown argument {:?}, see --help", unknown.to_string_lossy()));
    }
    let mut scenario = Scenario::load(&name).map_err(|error| error.to_string())?;
    if let Some(seconds) = seconds {
        scenario.seconds = seconds.max(1);
    }
    let fleet = FleetOptions {
        seed,
        candidates,
        logs: logs.map(PathBuf::from),
        stop_deadline_seconds: None,
        plant,
    };
    Ok(RunOptions { name, scenario, fleet, json })
}

fn option<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(name).map_err(|error| format!("{name}: {error}"))
}

fn run(options: RunOptions) -> ExitCode {
    match run_to_verdict(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(report) => {
            eprintln!("rehearse: {report:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_to_verdict(options: &RunOptions) -> eyre::Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    let verdict = runtime.block_on(rehearse(&options.scenario, &options.fleet))?;
    eprintln!();
    print!("{}", report::table(&options.name, &verdict));
    if options.json {
        println!("{}", serde_json::to_string(&verdict)?);
    }
    Ok(verdict.held)
}
