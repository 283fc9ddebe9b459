//! Injects a scenario's faults on schedule.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep_until};
use weirhinge_config::TargetState;

use crate::fleet::Fleet;
use crate::history::History;
use crate::scenario::{Fault, FaultAction};
use crate::standin::platform::PlatformMode;

/// A scheduled action that ends a fault or completes it.
enum Recovery {
    ResumeBalancer(usize),
    ResumeAgent(usize),
    AcceptConnections(usize),
    RestorePlatform,
    ReconnectZones(String, String),
    RestoreTargetAddress(usize),
    StopAgent(usize),
}

/// Seconds between the drain of a replaced agent and its graceful shutdown.
const STOP_AFTER_DRAIN: f64 = 3.0;

/// Injects the scheduled faults until `until`, then performs all outstanding
/// recoveries.
///
/// # Errors
/// Fails if a balancer or agent cannot be started or a configuration change is
/// not accepted.
pub async fn run_schedule(
    fleet: &mut Fleet,
    history: &History,
    started: Instant,
    until: Instant,
) -> eyre::Result<()> {
    let mut faults = fleet.scenario.faults.clone();
    faults.sort_by(|left, right| left.at.total_cmp(&right.at));
    let mut faults = faults.into_iter().peekable();
    let mut recoveries: Vec<(Instant, Recovery)> = Vec::new();
    loop {
        recoveries.sort_by_key(|&(due, _)| due);
        let next_fault = faults.peek().map(|fault| started + Duration::from_secs_f64(fault.at));
        let next_recovery = recoveries.first().map(|&(due, _)| due);
        let next = [next_fault, next_recovery].into_iter().flatten().min();
        let Some(next) = next.filter(|&next| next < until) else {
            break;
        };
        sleep_until(next).await;
        if next_recovery == Some(next) {
            recover(fleet, history, recoveries.remove(0).1);
        } else if let Some(fault) = faults.next() {
            recoveries.extend(inject(fleet, history, fault).await?);
        }
    }
    sleep_until(until).await;
    for (_, recovery) in recoveries {
        recover(fleet, history, recovery);
    }
    Ok(())
}

/// Injects one fault; returns its recovery and when that is due, if any.
async fn inject(
    fleet: &mut Fleet,
    history: &History,
    fault: Fault,
) -> eyre::Result<Option<(Instant, Recovery)>> {
    history.record_fault(format!("{:?}", fault.action));
    let after = |seconds: f64| Instant::now() + Duration::from_secs_f64(seconds);
    match fault.action {
        FaultAction::KillBalancer(balancer) => {
            fleet.balancers[balancer].process.kill().await;
            fleet.remove_from_list(balancer);
        }
        FaultAction::StopBalancer(balancer) => {
            fleet.remove_from_list(balancer);
            fleet.balancers[balancer].process.signal(Signal::SIGTERM);
        }
        FaultAction::AddBalancer => {
            fleet.start_balancer().await?;
            fleet.publish_machines();
        }
        FaultAction::PauseBalancer { balancer, seconds } => {
            fleet.balancers[balancer].process.signal(Signal::SIGSTOP);
            return Ok(Some((after(seconds), Recovery::ResumeBalancer(balancer))));
        }
        FaultAction::DrainTarget(target) => {
            // If balancers agree on the configuration, the drain starts when it is accepted.
            if !fleet.scenario.agreement {
                history.record_drain_start(target);
            }
            fleet.set_target_state(target, TargetState::Draining).await?;
            if fleet.scenario.agreement {
                history.record_drain_start(target);
            }
        }
        FaultAction::ActivateTarget(target) => {
            history.record_drain_end(target);
            fleet.set_target_state(target, TargetState::Active).await?;
        }
        FaultAction::KillAgent(target) => {
            history.lock().killed_agents.push((target, std::time::Instant::now()));
            fleet.agents[target].kill().await;
        }
        FaultAction::ReplaceAgent(target) => {
            fleet.add_co_located_agent(target).await?;
            fleet.set_target_state(target, TargetState::Draining).await?;
            return Ok(Some((after(STOP_AFTER_DRAIN), Recovery::StopAgent(target))));
        }
        FaultAction::PauseAgent { target, seconds } => {
            fleet.agents[target].signal(Signal::SIGSTOP);
            return Ok(Some((after(seconds), Recovery::ResumeAgent(target))));
        }
        FaultAction::RefuseConnections { target, seconds } => {
            fleet.back_ends[target].set_refusing(true);
            return Ok(Some((after(seconds), Recovery::AcceptConnections(target))));
        }
        FaultAction::MisdirectTarget { target, to, seconds } => {
            fleet.redirect_target(target, to);
            return Ok(Some((after(seconds), Recovery::RestoreTargetAddress(target))));
        }
        FaultAction::MisleadingReports(target) => fleet.back_ends[target].start_misreporting(),
        FaultAction::PlatformDown { seconds } => {
            fleet.platform.set_mode(PlatformMode::Down);
            return Ok(Some((after(seconds), Recovery::RestorePlatform)));
        }
        FaultAction::PlatformStale { seconds } => {
            fleet.platform.set_mode(PlatformMode::Stale);
            return Ok(Some((after(seconds), Recovery::RestorePlatform)));
        }
        FaultAction::CutZones { from, to, seconds } => {
            fleet.network.set_cut(&from, &to, true);
            return Ok(Some((after(seconds), Recovery::ReconnectZones(from, to))));
        }
    }
    Ok(None)
}

fn recover(fleet: &Fleet, history: &History, recovery: Recovery) {
    match recovery {
        Recovery::ResumeBalancer(balancer) => {
            fleet.balancers[balancer].process.signal(Signal::SIGCONT);
            history.record_fault(format!("balancer {balancer} resumes"));
        }
        Recovery::ResumeAgent(target) => {
            fleet.agents[target].signal(Signal::SIGCONT);
            history.record_fault(format!("agent {target} resumes"));
        }
        Recovery::AcceptConnections(target) => {
            fleet.back_ends[target].set_refusing(false);
            history.record_fault(format!("back end {target} accepts again"));
        }
        Recovery::RestorePlatform => {
            fleet.platform.set_mode(PlatformMode::Fresh);
            history.record_fault("platform serves again".to_owned());
        }
        Recovery::StopAgent(target) => {
            fleet.agents[target].signal(Signal::SIGTERM);
            history.record_fault(format!("agent {target} begins its graceful shutdown"));
        }
        Recovery::RestoreTargetAddress(target) => {
            fleet.redirect_target(target, target);
            history.record_fault(format!("target {target} is reachable again"));
        }
        Recovery::ReconnectZones(from, to) => {
            fleet.network.set_cut(&from, &to, false);
            history.record_fault(format!("{from} and {to} can reach each other again"));
        }
    }
}
