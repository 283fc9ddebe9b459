//! Brings faults about and mends them.

use std::time::Duration;

use nix::sys::signal::Signal;
use weirhinge_platform_standins::{
    Contents, Fleet, Impairment, LinkFault, NEAR_ZONE, ProcessHandle, StoreFault, TargetBehaviour,
};

use crate::callers::{FIRST_PORT, SECOND_PORT};
use crate::plan::{Fault, LinkTrouble, StoreTrouble};

/// Services of the two routes.
pub(crate) const SERVICES: [&str; 2] = ["dispatch", "sheets"];
/// Wait of a slow store's callers.
const SLOW: Duration = Duration::from_millis(250);
/// Time that a request takes at a slow target.
const SLOW_WORK: Duration = Duration::from_millis(400);
/// What a store answers that turns calls away.
const BUSY: u16 = 503;
const LOSSY: Impairment =
    Impairment { loss: 0.05, duplicates: 0.05, jitter: Duration::from_millis(20) };

/// Writes the next configuration: the same routes under a new version.
pub(crate) fn configure(fleet: &mut Fleet) {
    let [first, second] = SERVICES;
    fleet.configure(&[(FIRST_PORT, &[(first, 1)]), (SECOND_PORT, &[(second, 1)])]);
}

/// Begins a fault.
pub(crate) async fn begin(fleet: &mut Fleet, fault: Fault) -> eyre::Result<()> {
    match fault {
        Fault::StopBalancer(place) => {
            fleet.balancers[place].signal(Signal::SIGTERM)?;
            fleet.balancers[place].wait_for_exit().await?;
            fleet.balancers[place].restart()
        }
        Fault::DrainTarget(place) => {
            fleet.targets[place].drain();
            Ok(())
        }
        Fault::EvacuateZone => {
            fleet.evacuate(NEAR_ZONE);
            Ok(())
        }
        Fault::Reload(place) => fleet.balancers[place].signal(Signal::SIGHUP),
        Fault::Configure => {
            configure(fleet);
            Ok(())
        }
        Fault::KillBalancer(place) => fleet.balancers[place].kill(),
        Fault::PauseBalancer(place) => fleet.balancers[place].signal(Signal::SIGSTOP),
        Fault::KillAgent(place) => fleet.agents[place].kill(),
        Fault::PauseAgent(place) => fleet.agents[place].signal(Signal::SIGSTOP),
        Fault::CrashTarget(place) => {
            fleet.targets[place].crash();
            Ok(())
        }
        Fault::RestartTarget(place) => {
            fleet.targets[place].restart();
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
        Fault::StoreLink(place, trouble) => {
            fleet.store_links[place].set_fault(link_fault(trouble));
            Ok(())
        }
        Fault::LossyClients => {
            fleet.client.set_impairment(LOSSY);
            Ok(())
        }
        Fault::SlowTarget(place) => {
            let slow = TargetBehaviour { service_time: SLOW_WORK, ..TargetBehaviour::default() };
            fleet.targets[place].set_behaviour(slow);
            Ok(())
        }
        // Callers are no part of the deployment.
        Fault::Crowd => Ok(()),
    }
}

/// Mends a fault; a store that is restored gets this copy.
pub(crate) fn mend(fleet: &mut Fleet, fault: Fault, copy: &Contents) -> eyre::Result<()> {
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
        Fault::DrainTarget(place) => {
            fleet.targets[place].renew_identity();
            Ok(())
        }
        Fault::EvacuateZone => {
            fleet.end_evacuation(NEAR_ZONE);
            Ok(())
        }
        Fault::KillBalancer(place) => fleet.balancers[place].restart(),
        Fault::PauseBalancer(place) => fleet.balancers[place].signal(Signal::SIGCONT),
        Fault::KillAgent(place) => fleet.agents[place].restart(),
        Fault::PauseAgent(place) => fleet.agents[place].signal(Signal::SIGCONT),
        Fault::CrashTarget(place) => {
            fleet.targets[place].recover();
            Ok(())
        }
        Fault::KillAll => {
            let mut processes = fleet.balancers.iter_mut().chain(&mut fleet.agents);
            processes.try_for_each(ProcessHandle::restart)
        }
        Fault::Store(StoreTrouble::Restored) => {
            fleet.store.restore(copy.clone());
            fleet.store.set_fault(StoreFault::None);
            fleet.rewrite_entries();
            Ok(())
        }
        Fault::Store(_) => {
            fleet.store.set_fault(StoreFault::None);
            Ok(())
        }
        Fault::StoreLink(place, _) => {
            fleet.store_links[place].set_fault(LinkFault::None);
            Ok(())
        }
        Fault::LossyClients => {
            fleet.client.set_impairment(Impairment::default());
            Ok(())
        }
        Fault::SlowTarget(place) => {
            fleet.targets[place].set_behaviour(TargetBehaviour::default());
            Ok(())
        }
    }
}

fn fail_store(fleet: &Fleet, trouble: StoreTrouble) {
    let fault = match trouble {
        StoreTrouble::Busy => StoreFault::Status(BUSY),
        StoreTrouble::Silent => StoreFault::Silent,
        StoreTrouble::Reset | StoreTrouble::Restored => StoreFault::Reset,
        StoreTrouble::Slow => StoreFault::Slow(SLOW),
        StoreTrouble::Forgets => return fleet.store.discard_history(),
    };
    fleet.store.set_fault(fault);
}

fn link_fault(trouble: LinkTrouble) -> LinkFault {
    match trouble {
        LinkTrouble::Delayed => LinkFault::Delay(SLOW),
        LinkTrouble::Reset => LinkFault::Reset,
        LinkTrouble::Silent => LinkFault::Silent,
        LinkTrouble::LosesRequests => LinkFault::LosesRequests,
        LinkTrouble::LosesAnswers => LinkFault::LosesAnswers,
    }
}
