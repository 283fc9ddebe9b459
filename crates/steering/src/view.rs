//! Routes and targets, compiled from a replica of the store for fast lookups.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use weirhinge_fleet::{
    ColdStartPolicy, Millis, RegionId, Replica, ServiceId, TargetEntry, TargetRecord, TargetState,
    ZoneId,
};

/// A configuration's version and the store revision that wrote it, as shown in log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionLabel {
    /// The version that the operator gave it.
    pub version: u64,
    /// The store's revision.
    pub revision: u64,
}

/// A route in the form that decisions use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompiledRoute {
    parts: Vec<(ServiceId, u32)>,
    priority: u32,
    urgent: bool,
    objective_ms: Option<Millis>,
    timeout_ms: Option<Millis>,
    /// Regions that the route's packets must not leave; none if they may go anywhere.
    permitted_regions: Option<HashSet<RegionId>>,
}

impl CompiledRoute {
    /// Returns the service for a flow with this hash; each part gets its weight's share of all
    /// hashes. None if no part has a weight.
    pub fn pick(&self, flow_hash: u64) -> Option<ServiceId> {
        let total: u64 = self.parts.iter().map(|(_, weight)| u64::from(*weight)).sum();
        // Uses the high half of the hash, because the low bits select the target.
        let mut remainder = (flow_hash >> 32).checked_rem(total)?;
        for (service, weight) in &self.parts {
            match remainder.checked_sub(u64::from(*weight)) {
                None => return Some(*service),
                Some(rest) => remainder = rest,
            }
        }
        None
    }

    /// Whether the route has a higher priority than another route to one of its services.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Returns the milliseconds within which clients expect an answer, if the route states them.
    pub fn objective_ms(&self) -> Option<Millis> {
        self.objective_ms
    }

    /// Returns the milliseconds after which clients give up, if the route states them.
    pub fn timeout_ms(&self) -> Option<Millis> {
        self.timeout_ms
    }

    /// Whether packets of the route may go to a daemon in this region. An unknown region is not
    /// permitted if the route names regions.
    pub fn allows(&self, region: Option<RegionId>) -> bool {
        let Some(allowed) = &self.permitted_regions else { return true };
        region.is_some_and(|region| allowed.contains(&region))
    }

    /// Returns all services of the route.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> {
        self.parts.iter().map(|(service, _)| *service)
    }
}

/// Whether a target accepts new flows, according to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new flows.
    Ready,
    /// Its record was removed from the store at this time without being marked as draining before.
    Removed(Millis),
    /// Its record was removed without such a mark before this daemon could learn of it.
    RemovedEarlier,
    /// Draining: accepts no new flows but keeps its open ones.
    Leaving,
}

/// The distance of a target from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Far,
}

/// This daemon's zone and region, and the regions of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    zone: String,
    region: String,
    regions_by_zone: HashMap<String, String>,
}

impl Locality {
    /// Creates the locality of a daemon in `zone` and `region`.
    pub fn new(zone: String, region: String, regions_by_zone: HashMap<String, String>) -> Self {
        Self { zone, region, regions_by_zone }
    }

    /// Returns the region of a zone, if known.
    fn region_of(&self, zone: &str) -> Option<RegionId> {
        self.regions_by_zone.get(zone).map(|region| RegionId::of(region))
    }

    /// Returns the daemon's own region.
    pub fn own_region(&self) -> RegionId {
        RegionId::of(&self.region)
    }

    /// Whether a zone is in the daemon's region. A zone without a known region is assumed to be.
    pub fn shares_region(&self, zone: ZoneId) -> bool {
        let mut regions = self.regions_by_zone.iter();
        let region = regions.find(|(name, _)| ZoneId::of(name) == zone);
        region.is_none_or(|(_, region)| *region == self.region)
    }

    /// Returns the region of each known zone.
    pub fn regions(&self) -> HashMap<ZoneId, RegionId> {
        let regions = self.regions_by_zone.iter();
        regions.map(|(zone, region)| (ZoneId::of(zone), RegionId::of(region))).collect()
    }

    /// Returns the distance of a zone. A zone without a known region is assumed to be in the
    /// daemon's.
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
    /// The address of the target's machine, where its agent listens.
    pub agent: Ipv4Addr,
    /// Whether it accepts new flows, according to the store.
    pub availability: Availability,
    /// Whether its record is still in the store.
    pub recorded: bool,
    /// Whether its zone is evacuated: the target keeps its open flows and gets no new ones.
    pub evacuated: bool,
    /// Number of requests that it serves concurrently, at least 1.
    pub slots: u32,
    /// When it has warmed up; until then it is slower.
    pub cold_until: Millis,
    /// The target's incarnation, if its record states one.
    pub incarnation: Option<u64>,
    /// Its distance from this daemon.
    pub distance: Distance,
    /// Its region, if known.
    pub region: Option<RegionId>,
    /// When this daemon received the latest change of its record.
    pub learned_at: Millis,
}

impl Candidate {
    /// Whether the target's current record is ready and was received after this time. Reports that
    /// were received before then are about an earlier target at the same address.
    pub fn is_newer_than(&self, time: Millis) -> bool {
        self.availability == Availability::Ready && self.recorded && self.learned_at > time
    }
}

/// All data about the fleet that steering decisions need, compiled from a replica.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    routes: HashMap<SocketAddrV4, CompiledRoute>,
    services: HashMap<ServiceId, Vec<Candidate>>,
    label: Option<VersionLabel>,
    idle_timeout_ms: Option<Millis>,
    evacuated: HashSet<ZoneId>,
    regions: HashMap<ZoneId, RegionId>,
    own_region: Option<RegionId>,
    cold_starts: HashMap<ServiceId, ColdStartPolicy>,
}

impl FleetView {
    /// Compiles the data of a replica.
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
            let compiled = CompiledRoute {
                parts,
                priority: route.priority,
                urgent: false,
                objective_ms: route.objective_ms,
                timeout_ms: route.timeout_ms,
                permitted_regions: (!route.permitted_regions.is_empty()).then(|| allowed.collect()),
            };
            view.routes.insert(route.endpoint(), compiled);
        }
        mark_urgent_routes(&mut view.routes);
        let policies = configuration.cold_starts.iter();
        view.cold_starts =
            policies.map(|policy| (ServiceId::of(&policy.service), policy.clone())).collect();
        view
    }

    /// Returns the version of the configuration that the view was compiled from; none before the
    /// first one.
    pub fn label(&self) -> Option<VersionLabel> {
        self.label
    }

    /// Returns the milliseconds after which an idle flow may be forgotten.
    pub fn idle_timeout_ms(&self) -> Option<Millis> {
        self.idle_timeout_ms
    }

    /// Returns the route of an address and port.
    pub fn route(&self, endpoint: SocketAddrV4) -> Option<&CompiledRoute> {
        self.routes.get(&endpoint)
    }

    /// Returns the known targets of a service, in address order.
    pub fn candidates(&self, service: ServiceId) -> &[Candidate] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns the known targets of all services except these, each with its service.
    pub fn targets_outside<'a>(
        &'a self,
        services: &'a HashSet<ServiceId>,
    ) -> impl Iterator<Item = (ServiceId, &'a Candidate)> {
        let others = self.services.iter().filter(|(service, _)| !services.contains(service));
        others.flat_map(|(service, candidates)| {
            candidates.iter().map(|candidate| (*service, candidate))
        })
    }

    /// Returns the known target of an agent, with its service.
    pub fn target_of_agent(&self, agent: Ipv4Addr) -> Option<(ServiceId, &Candidate)> {
        self.services.iter().find_map(|(service, candidates)| {
            let index = candidates.binary_search_by_key(&agent, |candidate| candidate.agent);
            index.ok().map(|index| (*service, &candidates[index]))
        })
    }

    /// Returns each route's address and port with each service that the route names.
    pub fn route_services(&self) -> impl Iterator<Item = (SocketAddrV4, ServiceId)> {
        let routes = self.routes.iter();
        routes.flat_map(|(endpoint, route)| route.services().map(|service| (*endpoint, service)))
    }

    /// Returns the region of a zone, if known.
    pub fn region_of(&self, zone: ZoneId) -> Option<RegionId> {
        self.regions.get(&zone).copied()
    }

    /// Whether packets to this address and port may be handed to other balancers of this daemon's
    /// region.
    pub fn allows_own_region(&self, endpoint: SocketAddrV4) -> bool {
        self.route(endpoint).is_none_or(|route| route.allows(self.own_region))
    }

    /// Returns the cold-start policy of a service, if the configuration has one.
    pub fn cold_start(&self, service: ServiceId) -> Option<&ColdStartPolicy> {
        self.cold_starts.get(&service)
    }

    /// Whether a zone is evacuated, so that its targets get no new flows.
    pub fn is_evacuated(&self, zone: ZoneId) -> bool {
        self.evacuated.contains(&zone)
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zone_count(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns the number of known targets of all services.
    pub fn target_count(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Returns the agents of all known targets of routed services.
    pub fn agents(&self) -> Vec<Ipv4Addr> {
        let routed: HashSet<ServiceId> =
            self.routes.values().flat_map(CompiledRoute::services).collect();
        let candidates = routed.into_iter().flat_map(|service| self.candidates(service));
        candidates.map(|candidate| candidate.agent).collect()
    }
}

/// Marks as urgent the routes that share a service with a route of lower priority.
fn mark_urgent_routes(routes: &mut HashMap<SocketAddrV4, CompiledRoute>) {
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

/// Returns the targets by service. Of several records of one machine the newest counts, because a
/// reused address belongs only to its new target. A record of a service that no route names does
/// not replace a record of a routed service, as another system may have written it.
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
        if known.is_none_or(|(known, known_record)| rank(known, known_record) < rank(entry, record))
        {
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

/// Returns how long the targets of a service are slower after their start or their zone's return.
fn cold_ms_of(replica: &Replica, service: &str) -> Millis {
    let policies = replica.configuration().map(|known| &known.configuration.cold_starts);
    let policy = policies.into_iter().flatten().find(|policy| policy.service == service);
    policy.map_or(0, |policy| policy.cold_ms)
}

fn candidate(entry: &TargetEntry, record: &TargetRecord, locality: &Locality) -> Candidate {
    let availability = match (record.state, entry.target.present) {
        (TargetState::Draining, _) => Availability::Leaving,
        (TargetState::Ready, true) => Availability::Ready,
        (TargetState::Ready, false) if entry.was_removed_earlier() => Availability::RemovedEarlier,
        (TargetState::Ready, false) => Availability::Removed(entry.learned_at),
    };
    Candidate {
        agent: record.machine(),
        availability,
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
