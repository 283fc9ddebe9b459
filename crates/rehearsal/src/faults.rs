//! Carries out a scenario's schedule of faults.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep_until};
use weirhinge_config::TargetState;

use crate::fleet::Fleet;
use crate::history::History;
use crate::scenario::{Fault, FaultAction};
use crate::standin::platform::PlatformMode;

/// Something to undo later.
enum Recovery {
    ResumeBalancer(usize),
    ResumeAgent(usize),
    AcceptConnections(usize),
    PlatformFresh,
    JoinZones(String, String),
    DirectTarget(usize),
    StopAgent(usize),
}

/// Seconds between the drain of a replaced agent and its planned stop.
const STOP_AFTER_DRAIN: f64 = 3.0;

/// Carries out the schedule until `until`; undoes what is still open then.
///
/// # Errors
/// When a balancer that the schedule adds cannot be started.
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
            recoveries.extend(carry_out(fleet, history, fault).await?);
        }
    }
    sleep_until(until).await;
    for (_, recovery) in recoveries {
        recover(fleet, history, recovery);
    }
    Ok(())
}

/// Carries out one fault; returns what must be undone, and when.
async fn carry_out(
    fleet: &mut Fleet,
    history: &History,
    fault: Fault,
) -> eyre::Result<Option<(Instant, Recovery)>> {
    history.fault(format!("{:?}", fault.action));
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
            // With agreement, the drain counts from its acceptance.
            if !fleet.scenario.agreement {
                history.drain_began(target);
            }
            fleet.set_target_state(target, TargetState::Draining).await?;
            if fleet.scenario.agreement {
                history.drain_began(target);
            }
        }
        FaultAction::ActivateTarget(target) => {
            history.drain_ended(target);
            fleet.set_target_state(target, TargetState::Active).await?;
        }
        FaultAction::KillAgent(target) => {
            history.lock().killed_agents.push((target, std::time::Instant::now()));
            fleet.agents[target].kill().await;
        }
        FaultAction::ReplaceAgent(target) => {
            fleet.add_agent_beside(target).await?;
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
            return Ok(Some((after(seconds), Recovery::DirectTarget(target))));
        }
        FaultAction::MisleadingReports(target) => fleet.back_ends[target].mislead(),
        FaultAction::PlatformDown { seconds } => {
            fleet.platform.set_mode(PlatformMode::Down);
            return Ok(Some((after(seconds), Recovery::PlatformFresh)));
        }
        FaultAction::PlatformStale { seconds } => {
            fleet.platform.set_mode(PlatformMode::Stale);
            return Ok(Some((after(seconds), Recovery::PlatformFresh)));
        }
        FaultAction::CutZones { from, to, seconds } => {
            fleet.network.set_cut(&from, &to, true);
            return Ok(Some((after(seconds), Recovery::JoinZones(from, to))));
        }
    }
    Ok(None)
}

fn recover(fleet: &Fleet, history: &History, recovery: Recovery) {
    match recovery {
        Recovery::ResumeBalancer(balancer) => {
            fleet.balancers[balancer].process.signal(Signal::SIGCONT);
            history.fault(format!("balancer {balancer} resumes"));
        }
        Recovery::ResumeAgent(target) => {
            fleet.agents[target].signal(Signal::SIGCONT);
            history.fault(format!("agent {target} resumes"));
        }
        Recovery::AcceptConnections(target) => {
            fleet.back_ends[target].set_refusing(false);
            history.fault(format!("back end {target} accepts again"));
        }
        Recovery::PlatformFresh => {
            fleet.platform.set_mode(PlatformMode::Fresh);
            history.fault("platform serves again".to_owned());
        }
        Recovery::StopAgent(target) => {
            fleet.agents[target].signal(Signal::SIGTERM);
            history.fault(format!("agent {target} begins its planned stop"));
        }
        Recovery::DirectTarget(target) => {
            fleet.redirect_target(target, target);
            history.fault(format!("target {target} is reached again"));
        }
        Recovery::JoinZones(from, to) => {
            fleet.network.set_cut(&from, &to, false);
            history.fault(format!("{from} and {to} reach each other again"));
        }
    }
}
