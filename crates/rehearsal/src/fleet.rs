//! A fleet of real balancer and agent processes, connected to the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::WrapErr;
use weirhinge_config::{
    ConfigDocument, Machine, MachineList, MachineState, ServiceId, TargetId, TargetState,
};

use crate::fleet_parts::{
    ProcessArguments, back_end_options, make_work_folder, service_entry, target_entry,
};
use crate::history::History;
use crate::operator::write_configuration;
use crate::processes::{Process, Program};
use crate::sampler::SampledService;
use crate::scenario::Scenario;
use crate::standin::back_end::BackEnd;
use crate::standin::fabric::{Fabric, FabricMember};
use crate::standin::link::{LinkProxy, Network, ZoneMap};
use crate::standin::platform::Platform;

pub use crate::fleet_parts::FleetOptions;

/// A balancer process and its entry in the machine list.
pub struct Balancer {
    /// The process; exited ones are kept so that balancer numbers stay valid.
    pub process: Process,
    zone: String,
    state: Presence,
}

/// Whether the machine list contains a balancer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Presence {
    Listed,
    Removed,
}

/// Running processes and the stand-ins that connect them.
pub struct Fleet {
    /// The scenario that the fleet was started from.
    pub scenario: Scenario,
    /// The platform that serves the current configuration.
    pub platform: Platform,
    /// A platform behind by the scenario's lag, read by its stale balancers.
    lagging_platform: Platform,
    /// The fabric between clients and balancers.
    pub fabric: Fabric,
    /// The simulated network between all parts.
    pub network: Network,
    /// Back ends by target number.
    pub back_ends: Vec<BackEnd>,
    /// Agents by target number.
    pub agents: Vec<Process>,
    /// Balancers in the order in which they were started.
    pub balancers: Vec<Balancer>,
    proxies: Vec<LinkProxy>,
    desired: Arc<Mutex<ConfigDocument>>,
    program: Program,
    zones: ZoneMap,
    work_folder: PathBuf,
    options: FleetOptions,
}

impl Fleet {
    /// Starts all stand-ins and processes and waits until each process is ready.
    ///
    /// # Errors
    /// Returns an error that names the part and the step that failed.
    pub async fn start(
        scenario: &Scenario,
        options: &FleetOptions,
        history: &History,
    ) -> eyre::Result<Self> {
        let program = Program::find(options.logs.clone())?;
        let zones = ZoneMap::default();
        let network = Network::start(scenario.network, options.seed).wrap_err("start network")?;
        let lag = Duration::from_millis(scenario.network.fabric_lag_ms);
        let fabric = Fabric::start(network.clone(), zones.clone(), options.seed ^ 1, lag)
            .wrap_err("start fabric")?;
        let platform = Platform::start().await.wrap_err("start platform")?;
        let lagging_platform = Platform::start().await.wrap_err("start lagging platform")?;
        let mut fleet = Self {
            scenario: scenario.clone(),
            platform,
            lagging_platform,
            fabric,
            network,
            back_ends: Vec::new(),
            agents: Vec::new(),
            balancers: Vec::new(),
            proxies: Vec::new(),
            desired: Arc::default(),
            program,
            zones,
            work_folder: make_work_folder()?,
            options: options.clone(),
        };
        fleet.start_targets(options, history).await?;
        for _ in 0..scenario.balancers {
            fleet.start_balancer().await?;
        }
        fleet.publish_machines();
        Ok(fleet)
    }

    async fn start_targets(
        &mut self,
        options: &FleetOptions,
        history: &History,
    ) -> eyre::Result<()> {
        let mut document = ConfigDocument { revision: 1, ..ConfigDocument::default() };
        let mut proxies = Vec::new();
        let scenario = self.scenario.clone();
        for (index, service) in scenario.services.iter().enumerate() {
            let id = ServiceId(index as u32 + 1);
            document.services.push(service_entry(id, service));
            for _ in 0..service.targets {
                let number = document.targets.len();
                let back_end = BackEnd::start(
                    back_end_options(number, service, options.seed),
                    history.clone(),
                )
                .await
                .wrap_err("start back end")?;
                let proxy = LinkProxy::bind().wrap_err("bind link proxy")?;
                let zone = self.zone_for(number);
                document.targets.push(target_entry(id, number, service, &zone, &proxy, &back_end));
                self.back_ends.push(back_end);
                proxies.push(proxy);
            }
        }
        *self.desired.lock().unwrap_or_else(PoisonError::into_inner) = document.clone();
        self.lagging_platform.publish(document.clone());
        self.platform.publish(document);
        for (number, proxy) in proxies.iter().enumerate() {
            let zone = self.zone_for(number);
            let agent = self.start_agent(number, &zone, options).await?;
            let data = agent.addresses.data;
            self.zones.set(data, &zone);
            proxy
                .forward_to(data, zone, self.zones.clone(), self.network.clone())
                .wrap_err("start link proxy")?;
            self.agents.push(agent);
        }
        self.proxies = proxies;
        Ok(())
    }

    async fn start_agent(
        &self,
        number: usize,
        zone: &str,
        options: &FleetOptions,
    ) -> eyre::Result<Process> {
        let name = format!("agent-{number}");
        let mut arguments = self.common_arguments("agent", &name, zone, &self.platform);
        arguments.extend([
            "--target".to_owned(),
            number.to_string(),
            "--fabric".to_owned(),
            self.fabric.address().to_string(),
            "--candidates".to_owned(),
            options.candidates.to_string(),
        ]);
        if let Some(seconds) = options.stop_deadline_seconds {
            arguments.extend(["--stop-deadline-seconds".to_owned(), seconds.to_string()]);
        }
        if let Some(plant) = &options.plant {
            arguments.extend(["--plant".to_owned(), plant.clone()]);
        }
        self.program.start(&name, &arguments).await
    }

    /// Delivers packets addressed to a target's agent to the agent of `to`, as
    /// when an address is reassigned. `to` may be the target itself, which
    /// restores normal delivery.
    pub fn redirect_target(&self, target: usize, to: usize) {
        self.proxies[target].set_target(self.agents[to].addresses.data);
    }

    /// Starts another balancer in the next zone, round-robin, and returns its
    /// number. Does not publish the machine list.
    ///
    /// # Errors
    /// Fails if the process does not become ready.
    pub async fn start_balancer(&mut self) -> eyre::Result<usize> {
        let number = self.balancers.len();
        let zone = self.zone_for(number);
        let name = format!("balancer-{number}");
        let is_stale = number < self.scenario.stale_balancers;
        let platform = if is_stale { &self.lagging_platform } else { &self.platform };
        let arguments = self.common_arguments("balancer", &name, &zone, platform);
        let mut arguments = arguments;
        let peers: Vec<String> = self
            .listed_balancers()
            .filter_map(|balancer| balancer.process.addresses.control)
            .map(|address| address.to_string())
            .collect();
        if !peers.is_empty() {
            arguments.extend(["--peers".to_owned(), peers.join(",")]);
        }
        if self.scenario.agreement && number == 0 {
            arguments.push("--found-group".to_owned());
        }
        let process = self.program.start(&name, &arguments).await?;
        self.zones.set(process.addresses.data, &zone);
        self.balancers.push(Balancer { process, zone, state: Presence::Listed });
        Ok(number)
    }

    /// Removes a balancer from the machine list and publishes it.
    pub fn remove_from_list(&mut self, balancer: usize) {
        self.balancers[balancer].state = Presence::Removed;
        self.publish_machines();
    }

    /// Publishes the machine list; the fabric uses it after its lag.
    pub fn publish_machines(&self) {
        let members: Vec<FabricMember> = self
            .listed_balancers()
            .map(|balancer| FabricMember {
                address: balancer.process.addresses.data,
                zone: balancer.zone.clone(),
            })
            .collect();
        let machines = self
            .listed_balancers()
            .map(|balancer| Machine {
                name: balancer.process.name.clone(),
                zone: balancer.zone.clone(),
                address: balancer.process.addresses.data,
                control: balancer.process.addresses.control,
                api: balancer.process.addresses.api,
                state: MachineState::Live,
            })
            .collect();
        self.platform.set_machines(MachineList { machines });
        self.fabric.set_members(members);
    }

    /// Returns the admin addresses of the balancers in the machine list.
    pub fn balancer_admins(&self) -> Vec<SocketAddr> {
        self.listed_balancers().map(|balancer| balancer.process.addresses.admin).collect()
    }

    /// Returns the admin addresses of all agents.
    pub fn agent_admins(&self) -> Vec<SocketAddr> {
        self.agents.iter().map(|agent| agent.addresses.admin).collect()
    }

    /// Returns the admin addresses of all processes, including exited ones.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        let balancers = self.balancers.iter().map(|balancer| &balancer.process);
        self.agents.iter().chain(balancers).map(|process| process.addresses.admin).collect()
    }

    /// Changes the configuration: through the balancers' API if they replicate
    /// it by consensus, otherwise through the platform.
    ///
    /// # Errors
    /// Fails if no balancer accepts the change in time.
    pub async fn change_configuration(
        &self,
        change: impl FnOnce(&mut ConfigDocument),
    ) -> eyre::Result<()> {
        let document = {
            let mut desired = self.desired.lock().unwrap_or_else(PoisonError::into_inner);
            change(&mut desired);
            desired.revision += 1;
            desired.clone()
        };
        if self.scenario.agreement {
            return write_configuration(&self.listed_apis(), &document).await;
        }
        self.platform.publish(document.clone());
        let lagging = self.lagging_platform.clone();
        let lag = Duration::from_millis(self.scenario.stale_lag_ms);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            lagging.publish(document);
        });
        Ok(())
    }

    /// Returns the desired configuration.
    pub fn desired(&self) -> ConfigDocument {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn listed_apis(&self) -> Vec<SocketAddr> {
        self.listed_balancers().filter_map(|balancer| balancer.process.addresses.api).collect()
    }

    fn listed_balancers(&self) -> impl Iterator<Item = &Balancer> + Clone {
        self.balancers.iter().filter(|balancer| balancer.state == Presence::Listed)
    }

    /// Starts a second agent for a target's back end as an additional target, and
    /// returns the new target's number.
    ///
    /// # Errors
    /// Fails if the process does not become ready or the configuration change is
    /// not accepted.
    pub async fn add_co_located_agent(&mut self, target: usize) -> eyre::Result<usize> {
        let number = self.agents.len();
        let mut entry = self.desired().targets[target].clone();
        let proxy = LinkProxy::bind().wrap_err("bind link proxy")?;
        entry.id = TargetId(number as u16);
        entry.name = format!("{}-{number}", entry.name);
        entry.agent = proxy.address();
        entry.state = TargetState::Active;
        let zone = entry.zone.clone();
        let agent = self.start_agent(number, &zone, &self.options.clone()).await?;
        let data = agent.addresses.data;
        self.zones.set(data, &zone);
        proxy
            .forward_to(data, zone, self.zones.clone(), self.network.clone())
            .wrap_err("start link proxy")?;
        self.agents.push(agent);
        self.proxies.push(proxy);
        self.change_configuration(|document| document.targets.push(entry)).await?;
        Ok(number)
    }

    /// Changes a target's state in the configuration.
    ///
    /// # Errors
    /// Fails if no balancer accepts the change in time.
    pub async fn set_target_state(&self, target: usize, state: TargetState) -> eyre::Result<()> {
        self.change_configuration(|document| document.targets[target].state = state).await
    }

    /// Returns whether `document` lets a target's back end accept new flows, through
    /// this target or one that has replaced it.
    pub fn is_active(document: &ConfigDocument, target: usize) -> bool {
        let Some(entry) = document.targets.get(target) else {
            return false;
        };
        document
            .targets
            .iter()
            .any(|other| other.back_end == entry.back_end && other.state == TargetState::Active)
    }

    /// Returns a shared handle to the desired configuration, for sampler tasks.
    pub fn desired_handle(&self) -> Arc<Mutex<ConfigDocument>> {
        self.desired.clone()
    }

    /// Returns the services with their back ends, for sampling.
    pub fn sampled_services(&self) -> Vec<SampledService> {
        let mut first = 0;
        let mut services = Vec::new();
        for service in &self.scenario.services {
            let back_ends = (first..first + service.targets)
                .map(|number| (number, self.back_ends[number].clone()))
                .collect();
            services.push(SampledService { name: service.name.clone(), back_ends });
            first += service.targets;
        }
        services
    }

    fn zone_for(&self, number: usize) -> String {
        self.scenario.zones[number % self.scenario.zones.len()].clone()
    }

    fn common_arguments(
        &self,
        role: &str,
        name: &str,
        zone: &str,
        platform: &Platform,
    ) -> Vec<String> {
        ProcessArguments {
            role,
            name,
            zone,
            platform: platform.address(),
            work_folder: &self.work_folder,
            keeps_logs: self.options.logs.is_some(),
        }
        .into_arguments()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // If removal fails, the folder remains in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&self.work_folder);
    }
}
