//! Routes and targets in the form that decisions are made from.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use weirhinge_fleet::{
    ColdStartPolicy, Millis, RegionId, Replica, ServiceId, TargetEntry, TargetRecord, TargetState,
    ZoneId,
};

/// A configuration's version and the store revision that wrote it, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionLabel {
    /// The operator's version.
    pub version: u64,
    /// The store's revision.
    pub revision: u64,
}

/// Where a route sends its new flows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteChoice {
    parts: Vec<(ServiceId, u32)>,
    priority: u32,
    urgent: bool,
    objective_ms: Option<Millis>,
    timeout_ms: Option<Millis>,
    /// Regions that its packets must not leave; none if they may go anywhere.
    permitted_regions: Option<HashSet<RegionId>>,
}

impl RouteChoice {
    /// The service for a flow with this hash; each part gets its weight's share
    /// of all hashes. None if no part has a weight.
    pub fn pick(&self, flow_hash: u64) -> Option<ServiceId> {
        let total: u64 = self.parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        // The high half of the hash: the low bits choose the target.
        let mut place = (flow_hash >> 32).checked_rem(total)?;
        for (service, weight) in &self.parts {
            match place.checked_sub(u64::from(*weight)) {
                None => return Some(*service),
                Some(rest) => place = rest,
            }
        }
        None
    }

    /// Whether the route's requests go before those of another route of its service.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Milliseconds within which callers expect an answer, if the route states them.
    pub fn objective_ms(&self) -> Option<Millis> {
        self.objective_ms
    }

    /// Milliseconds after which callers give up, if the route states them.
    pub fn timeout_ms(&self) -> Option<Millis> {
        self.timeout_ms
    }

    /// Whether packets of the route may go to a daemon in this region; one whose region is
    /// not known counts as outside.
    pub fn allows(&self, region: Option<RegionId>) -> bool {
        let Some(allowed) = &self.permitted_regions else { return true };
        region.is_some_and(|region| allowed.contains(&region))
    }

    /// All services of the route.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> {
        self.parts.iter().map(|(service, _)| *service)
    }
}

/// What the store says about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes new flows.
    Ready,
    /// Its record left the store at this time without a word of leaving.
    Vanished(Millis),
    /// Takes no new flows but keeps its open ones.
    Leaving,
}

/// How far a target is from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Far,
}

/// Which zones lie in this daemon's region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    zone: String,
    region: String,
    regions_by_zone: HashMap<String, String>,
}

impl Locality {
    /// The locality of a daemon in `zone`.
    pub fn new(zone: String, region: String, regions_by_zone: HashMap<String, String>) -> Self {
        Self { zone, region, regions_by_zone }
    }

    /// The region of a zone, if known.
    fn region_of(&self, zone: &str) -> Option<RegionId> {
        self.regions_by_zone.get(zone).map(|region| RegionId::of(region))
    }

    /// The daemon's own region.
    pub fn own_region(&self) -> RegionId {
        RegionId::of(&self.region)
    }

    /// Whether a zone is in the daemon's region. One of no known region is taken to be.
    pub fn shares_region(&self, zone: ZoneId) -> bool {
        let mut regions = self.regions_by_zone.iter();
        let region = regions.find(|(name, _)| ZoneId::of(name) == zone);
        region.is_none_or(|(_, region)| *region == self.region)
    }

    /// The region of each known zone.
    pub fn regions(&self) -> HashMap<ZoneId, RegionId> {
        let regions = self.regions_by_zone.iter();
        regions.map(|(zone, region)| (ZoneId::of(zone), RegionId::of(region))).collect()
    }

    /// How far a zone is. One of no known region is taken to be in the daemon's.
    fn distance(&self, zone: &str) -> Distance {
        if zone == self.zone {
            return Distance::Zone;
        }
        let is_near = self.regions_by_zone.get(zone).is_none_or(|region| *region == self.region);
        if is_near { Distance::Region } else { Distance::Far }
    }
}

/// One target of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The target's machine, where its agent listens.
    pub agent: Ipv4Addr,
    /// What the store says about it.
    pub standing: Standing,
    /// Whether the store still has its record.
    pub recorded: bool,
    /// Whether its zone is evacuated: it keeps its open flows and gets no new ones.
    pub evacuated: bool,
    /// Requests that it works on at once, at least 1.
    pub slots: u32,
    /// Until when it is slow from its start.
    pub cold_until: Millis,
    /// Which life of the target this is, if it tells.
    pub incarnation: Option<u64>,
    /// How far it is.
    pub distance: Distance,
    /// Its region, if known.
    pub region: Option<RegionId>,
    /// When this daemon learned of its record's latest change.
    pub learned_at: Millis,
}

impl Candidate {
    /// Whether its record says that it takes new flows, and came after a time: then what
    /// was said before that time was about an earlier target at the address.
    pub fn is_newer_than(&self, time: Millis) -> bool {
        self.standing == Standing::Ready && self.recorded && self.learned_at > time
    }
}

/// Everything that routing decisions need, compiled from a replica.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    routes: HashMap<SocketAddrV4, RouteChoice>,
    services: HashMap<ServiceId, Vec<Candidate>>,
    label: Option<VersionLabel>,
    idle_timeout_ms: Option<Millis>,
    evacuated: HashSet<ZoneId>,
    regions: HashMap<ZoneId, RegionId>,
    own_region: Option<RegionId>,
    cold_starts: HashMap<ServiceId, ColdStartPolicy>,
}

impl FleetView {
    /// Compiles what a replica knows.
    pub fn compile(replica: &Replica, locality: &Locality) -> Self {
        let services = compile_services(replica, locality);
        let evacuated = replica.evacuated().iter().map(ZoneId::of).collect();
        let (regions, own_region) = (locality.regions(), Some(locality.own_region()));
        let mut view = Self { services, evacuated, regions, own_region, ..Self::default() };
        let Some(versioned) = replica.configuration() else { return view };
        let configuration = &versioned.configuration;
        let label =
            VersionLabel { version: configuration.version, revision: versioned.position.revision };
        view.label = Some(label);
        view.idle_timeout_ms = Some(configuration.idle_timeout_ms);
        for route in &configuration.routes {
            let parts = route.parts.iter();
            let parts = parts.map(|part| (ServiceId::of(&part.service), part.weight)).collect();
            let allowed = route.permitted_regions.iter().map(|region| RegionId::of(region));
            let choice = RouteChoice {
                parts,
                priority: route.priority,
                urgent: false,
                objective_ms: route.objective_ms,
                timeout_ms: route.timeout_ms,
                permitted_regions: (!route.permitted_regions.is_empty()).then(|| allowed.collect()),
            };
            view.routes.insert(route.endpoint(), choice);
        }
        mark_urgent_routes(&mut view.routes);
        let policies = configuration.cold_starts.iter();
        view.cold_starts =
            policies.map(|policy| (ServiceId::of(&policy.service), policy.clone())).collect();
        view
    }

    /// The configuration that the view was made from; none before the first.
    pub fn label(&self) -> Option<VersionLabel> {
        self.label
    }

    /// Milliseconds after which a resting flow may be forgotten.
    pub fn idle_timeout_ms(&self) -> Option<Millis> {
        self.idle_timeout_ms
    }

    /// The route of an address and port.
    pub fn route(&self, endpoint: SocketAddrV4) -> Option<&RouteChoice> {
        self.routes.get(&endpoint)
    }

    /// The known targets of a service.
    pub fn candidates(&self, service: ServiceId) -> &[Candidate] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// The known targets of all services but these, each with its service.
    pub fn targets_outside<'a>(
        &'a self,
        services: &'a HashSet<ServiceId>,
    ) -> impl Iterator<Item = (ServiceId, &'a Candidate)> {
        let others = self.services.iter().filter(|(service, _)| !services.contains(service));
        others.flat_map(|(service, candidates)| {
            candidates.iter().map(|candidate| (*service, candidate))
        })
    }

    /// The known target beside an agent, with its service.
    pub fn target_beside(&self, agent: Ipv4Addr) -> Option<(ServiceId, &Candidate)> {
        self.services.iter().find_map(|(service, candidates)| {
            let place = candidates.binary_search_by_key(&agent, |candidate| candidate.agent);
            place.ok().map(|place| (*service, &candidates[place]))
        })
    }

    /// Each route's address and port with each service that it names.
    pub fn route_services(&self) -> impl Iterator<Item = (SocketAddrV4, ServiceId)> {
        let routes = self.routes.iter();
        routes.flat_map(|(endpoint, route)| route.services().map(|service| (*endpoint, service)))
    }

    /// The region of a zone, if known.
    pub fn region_of(&self, zone: ZoneId) -> Option<RegionId> {
        self.regions.get(&zone).copied()
    }

    /// Whether a route's packets may be handed to other balancers of this daemon's region.
    pub fn allows_own_region(&self, endpoint: SocketAddrV4) -> bool {
        self.route(endpoint).is_none_or(|route| route.allows(self.own_region))
    }

    /// How the targets of a service start, if the configuration says so.
    pub fn cold_start(&self, service: ServiceId) -> Option<&ColdStartPolicy> {
        self.cold_starts.get(&service)
    }

    /// Whether the targets of a zone are to get no new flows.
    pub fn is_evacuated(&self, zone: ZoneId) -> bool {
        self.evacuated.contains(&zone)
    }

    /// Number of evacuated zones.
    pub fn evacuated_count(&self) -> usize {
        self.evacuated.len()
    }

    /// Number of targets known, of all services.
    pub fn target_count(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// The agents of all known targets of routed services.
    pub fn agents(&self) -> Vec<Ipv4Addr> {
        let routed: HashSet<ServiceId> =
            self.routes.values().flat_map(RouteChoice::services).collect();
        let candidates = routed.into_iter().flat_map(|service| self.candidates(service));
        candidates.map(|candidate| candidate.agent).collect()
    }
}

/// Marks the routes that share a service with a less urgent one.
fn mark_urgent_routes(routes: &mut HashMap<SocketAddrV4, RouteChoice>) {
    let mut least_urgent: HashMap<ServiceId, u32> = HashMap::new();
    for route in routes.values() {
        for service in route.services() {
            let least = least_urgent.entry(service).or_default();
            *least = route.priority.max(*least);
        }
    }
    for route in routes.values_mut() {
        let least = route.services().filter_map(|service| least_urgent.get(&service)).max();
        route.urgent = least.is_some_and(|least| route.priority < *least);
    }
}

/// Targets by service; of several records of one machine the newest counts, as
/// an address that was used again belongs to its new user alone. One that names no service
/// of a route displaces none that does: it may be of another writer.
fn compile_services(replica: &Replica, locality: &Locality) -> HashMap<ServiceId, Vec<Candidate>> {
    let routes = replica.configuration().map(|known| known.configuration.routes.iter());
    let parts = routes.into_iter().flatten().flat_map(|route| &route.parts);
    let routed: HashSet<&str> = parts.map(|part| part.service.as_str()).collect();
    let mut newest: HashMap<Ipv4Addr, (&TargetEntry, &TargetRecord)> = HashMap::new();
    for entry in replica.targets() {
        let Some(record) = &entry.target.record else { continue };
        let rank = |entry: &TargetEntry, record: &TargetRecord| {
            let is_present = entry.target.present;
            let is_routed = routed.contains(record.service.as_str());
            (is_present && is_routed, is_present, entry.target.position)
        };
        let known = newest.get(&record.machine());
        if known.is_none_or(|(known, their)| rank(known, their) < rank(entry, record)) {
            newest.insert(record.machine(), (entry, record));
        }
    }
    let mut services: HashMap<ServiceId, Vec<Candidate>> = HashMap::new();
    for (entry, record) in newest.into_values() {
        let mut candidate = candidate(entry, record, locality);
        candidate.evacuated = replica.evacuated().contains(&record.zone);
        if let Some(returned_at) = replica.returned_at(&record.zone) {
            let cold_ms = cold_ms_of(replica, &record.service);
            candidate.cold_until = candidate.cold_until.max(returned_at + cold_ms);
        }
        services.entry(ServiceId::of(&record.service)).or_default().push(candidate);
    }
    for candidates in services.values_mut() {
        candidates.sort_by_key(|candidate| candidate.agent);
    }
    services
}

/// How long the targets of a service are slow after their start or their zone's return.
fn cold_ms_of(replica: &Replica, service: &str) -> Millis {
    let policies = replica.configuration().map(|known| &known.configuration.cold_starts);
    let policy = policies.into_iter().flatten().find(|policy| policy.service == service);
    policy.map_or(0, |policy| policy.cold_ms)
}

fn candidate(entry: &TargetEntry, record: &TargetRecord, locality: &Locality) -> Candidate {
    let standing = match (record.state, entry.target.present) {
        (TargetState::Draining, _) => Standing::Leaving,
        (TargetState::Ready, true) => Standing::Ready,
        (TargetState::Ready, false) => Standing::Vanished(entry.learned_at),
    };
    Candidate {
        agent: record.machine(),
        standing,
        recorded: entry.target.present,
        evacuated: false,
        slots: record.slots.max(1),
        cold_until: entry.learned_at + Millis::from(record.warm_up_ms),
        incarnation: record.incarnation,
        distance: locality.distance(&record.zone),
        region: locality.region_of(&record.zone),
        learned_at: entry.learned_at,
    }
}
