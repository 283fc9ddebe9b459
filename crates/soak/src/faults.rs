//! Injects faults into the deployment and clears them.

use std::time::Duration;

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{
    Contents, Fleet, Impairment, LinkFault, NEAR_ZONE, ProcessHandle, StoreFault, TargetBehaviour,
};

use crate::client_tasks::{FIRST_PORT, SECOND_PORT};
use crate::plan::{Fault, LinkTrouble, StoreTrouble};

/// Services of the two routes, in the order of their ports.
pub(crate) const SERVICES: [&str; 2] = ["dispatch", "sheets"];
/// Delay of responses from a slow store, and of data on a delayed store link.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Service time of a request at a slow target.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(400);
/// HTTP status of an overloaded store.
const OVERLOADED_STATUS: u16 = 503;
/// Impairment of clients' packets by [`Fault::LossyClients`].
const LOSSY_IMPAIRMENT: Impairment =
    Impairment { loss: 0.05, duplicates: 0.05, jitter: Duration::from_millis(20) };

/// Writes the next configuration, which has the same routes and a new version.
pub(crate) fn configure(fleet: &mut Fleet) {
    let [first, second] = SERVICES;
    fleet.configure(&[(FIRST_PORT, &[(first, 1)]), (SECOND_PORT, &[(second, 1)])]);
}

/// Injects a fault.
///
/// # Errors
/// When a process cannot be signalled, killed or restarted.
pub(crate) async fn inject(fleet: &mut Fleet, fault: Fault) -> eyre::Result<()> {
    match fault {
        Fault::StopBalancer(index) => {
            fleet.balancers[index].signal(Signal::SIGTERM)?;
            fleet.balancers[index].wait_for_exit().await?;
            fleet.balancers[index].restart()
        }
        Fault::DrainTarget(index) => {
            fleet.targets[index].drain();
            Ok(())
        }
        Fault::EvacuateZone => {
            fleet.evacuate(NEAR_ZONE);
            Ok(())
        }
        Fault::Reload(index) => fleet.balancers[index].signal(Signal::SIGHUP),
        Fault::Configure => {
            configure(fleet);
            Ok(())
        }
        Fault::KillBalancer(index) => fleet.balancers[index].kill(),
        Fault::PauseBalancer(index) => fleet.balancers[index].signal(Signal::SIGSTOP),
        Fault::KillAgent(index) => fleet.agents[index].kill(),
        Fault::PauseAgent(index) => fleet.agents[index].signal(Signal::SIGSTOP),
        Fault::CrashTarget(index) => {
            fleet.targets[index].crash();
            Ok(())
        }
        Fault::RestartTarget(index) => {
            fleet.targets[index].restart();
            Ok(())
        }
        Fault::ForeignEntries => {
            fleet.write_foreign_entries();
            Ok(())
        }
        Fault::KillAll => {
            let mut processes = fleet.balancers.iter_mut().chain(&mut fleet.agents);
            processes.try_for_each(ProcessHandle::kill)
        }
        Fault::Store(trouble) => {
            fail_store(fleet, trouble);
            Ok(())
        }
        Fault::StoreLink(index, trouble) => {
            fleet.store_links[index].set_fault(link_fault(trouble));
            Ok(())
        }
        Fault::LossyClients => {
            fleet.client.set_impairment(LOSSY_IMPAIRMENT);
            Ok(())
        }
        Fault::SlowTarget(index) => {
            let slow =
                TargetBehaviour { service_time: SLOW_SERVICE_TIME, ..TargetBehaviour::default() };
            fleet.targets[index].set_behaviour(slow);
            Ok(())
        }
        // The caller starts the clients, which are not part of the deployment.
        Fault::Crowd => Ok(()),
    }
}

/// Clears a fault. A store that is to be restored gets the contents of `backup`.
///
/// # Errors
/// When a process cannot be signalled or restarted.
pub(crate) fn clear(fleet: &mut Fleet, fault: Fault, backup: &Contents) -> eyre::Result<()> {
    match fault {
        Fault::StopBalancer(_)
        | Fault::Reload(_)
        | Fault::Configure
        | Fault::RestartTarget(_)
        | Fault::Crowd => Ok(()),
        Fault::ForeignEntries => {
            fleet.remove_foreign_entries();
            Ok(())
        }
        Fault::DrainTarget(index) => {
            fleet.targets[index].renew_identity();
            Ok(())
        }
        Fault::EvacuateZone => {
            fleet.end_evacuation(NEAR_ZONE);
            Ok(())
        }
        Fault::KillBalancer(index) => fleet.balancers[index].restart(),
        Fault::PauseBalancer(index) => fleet.balancers[index].signal(Signal::SIGCONT),
        Fault::KillAgent(index) => fleet.agents[index].restart(),
        Fault::PauseAgent(index) => fleet.agents[index].signal(Signal::SIGCONT),
        Fault::CrashTarget(index) => {
            fleet.targets[index].recover();
            Ok(())
        }
        Fault::KillAll => {
            let mut processes = fleet.balancers.iter_mut().chain(&mut fleet.agents);
            processes.try_for_each(ProcessHandle::restart)
        }
        Fault::Store(StoreTrouble::Restored) => {
            fleet.store.restore(backup.clone());
            fleet.store.set_fault(StoreFault::None);
            fleet.rewrite_entries();
            Ok(())
        }
        Fault::Store(_) => {
            fleet.store.set_fault(StoreFault::None);
            Ok(())
        }
        Fault::StoreLink(index, _) => {
            fleet.store_links[index].set_fault(LinkFault::None);
            Ok(())
        }
        Fault::LossyClients => {
            fleet.client.set_impairment(Impairment::default());
            Ok(())
        }
        Fault::SlowTarget(index) => {
            fleet.targets[index].set_behaviour(TargetBehaviour::default());
            Ok(())
        }
    }
}

fn fail_store(fleet: &Fleet, trouble: StoreTrouble) {
    let fault = match trouble {
        StoreTrouble::Busy => StoreFault::Status(OVERLOADED_STATUS),
        StoreTrouble::Silent => StoreFault::Silent,
        StoreTrouble::Reset | StoreTrouble::Restored => StoreFault::Reset,
        StoreTrouble::Slow => StoreFault::Slow(STORE_DELAY),
        StoreTrouble::Forgets => return fleet.store.discard_history(),
    };
    fleet.store.set_fault(fault);
}

fn link_fault(trouble: LinkTrouble) -> LinkFault {
    match trouble {
        LinkTrouble::Delayed => LinkFault::Delay(STORE_DELAY),
        LinkTrouble::Reset => LinkFault::Reset,
        LinkTrouble::Silent => LinkFault::Silent,
        LinkTrouble::LosesRequests => LinkFault::LosesRequests,
        LinkTrouble::LosesAnswers => LinkFault::LosesAnswers,
    }
}
