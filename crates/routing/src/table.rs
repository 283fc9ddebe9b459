//! Routing table built from one configuration revision.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use weirhinge_config::{ConfigDocument, HashKey, ServiceId, Target, TargetId, TargetState};
use weirhinge_packet::{PacketView, Protocol};

use crate::bucket::BucketTable;
use crate::hash::{FlowHasher, mix};
use crate::hint::HolderHint;

/// Reason why a packet cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No service listens on the packet's destination.
    UnknownService,
    /// The service has no target that accepts new flows, and the packet has no valid holder hint.
    NoTarget,
}

impl RouteError {
    /// Returns the name of the reason as used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RouteError::UnknownService => "unknown_service",
            RouteError::NoTarget => "no_target",
        }
    }
}

/// How the target of a route was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteBasis {
    /// The target owns the flow's hash bucket.
    Owner,
    /// The packet's echoed timestamp or acknowledgment number identifies the target.
    Hint,
}

/// Routing decision for one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service that the packet is addressed to.
    pub service: ServiceId,
    /// The target that the packet is sent to.
    pub target: TargetId,
    /// Address of the agent co-located with the target.
    pub agent: SocketAddr,
    /// How the target was selected.
    pub basis: RouteBasis,
    /// For an opening packet: the standby owner, which takes over if the owner does not respond.
    pub standby: Option<Standby>,
}

/// The standby owner of a flow's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standby {
    /// The target that is the standby owner.
    pub target: TargetId,
    /// Address of the agent co-located with the target.
    pub agent: SocketAddr,
}

/// Routing data of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// The service that the target serves.
    pub service: ServiceId,
    /// Address of the agent co-located with the target.
    pub agent: SocketAddr,
}

/// Routing data of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service's identifier.
    pub id: ServiceId,
    /// Owners and standby owners of the service's buckets.
    pub buckets: BucketTable,
    /// Targets that accept new flows, sorted by identifier.
    pub active: Vec<TargetId>,
    /// Weights of the active targets, in the same order.
    weights: Vec<u32>,
    /// All targets including draining ones, sorted by identifier.
    pub members: Vec<TargetId>,
}

/// Routes packets under one configuration revision.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    revision: u64,
    hasher: FlowHasher,
    by_endpoint: HashMap<(IpAddr, u16, Protocol), usize>,
    /// A service's entry is shared with the previous revision's table if its targets are unchanged.
    services: Vec<Arc<ServiceRoute>>,
    /// Indexed by target identifier, so that a lookup by hint costs one bounds check.
    targets: Vec<Option<TargetRoute>>,
}

impl RoutingTable {
    /// Builds the table from a document, which must already be validated.
    pub fn build(document: &ConfigDocument, key: &HashKey) -> Self {
        Self::build_with(document, FlowHasher::new(key), &HashMap::new())
    }

    /// Builds the table of the next revision. It shares the bucket tables of services whose targets
    /// are unchanged, because computing these tables is nearly the whole cost of a build.
    pub fn rebuild(&self, document: &ConfigDocument) -> Self {
        let previous = self.services.iter().map(|service| (service.id, service)).collect();
        Self::build_with(document, self.hasher, &previous)
    }

    fn build_with(
        document: &ConfigDocument,
        hasher: FlowHasher,
        previous: &HashMap<ServiceId, &Arc<ServiceRoute>>,
    ) -> Self {
        let mut by_endpoint = HashMap::with_capacity(document.services.len());
        let mut members: HashMap<ServiceId, Vec<&Target>> = HashMap::new();
        for target in &document.targets {
            members.entry(target.service).or_default().push(target);
        }
        let mut services = Vec::with_capacity(document.services.len());
        for service in &document.services {
            let protocol = Protocol::from(service.protocol);
            by_endpoint.insert((service.address, service.port, protocol), services.len());
            let targets = members.remove(&service.id).unwrap_or_default();
            let inputs = BucketInputs::of(&targets);
            let route = match previous.get(&service.id) {
                Some(&previous_route) if inputs.matches(previous_route) => previous_route.clone(),
                _ => Arc::new(service_route(service.id, inputs)),
            };
            services.push(route);
        }
        Self {
            revision: document.revision,
            hasher,
            by_endpoint,
            services,
            targets: target_routes(&document.targets),
        }
    }

    /// Returns the configuration revision that the table was built from.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the flow hasher with the deployment's key.
    pub fn hasher(&self) -> &FlowHasher {
        &self.hasher
    }

    /// Returns the service that listens on the packet's destination.
    pub fn service_for(&self, packet: &PacketView<'_>) -> Option<&ServiceRoute> {
        let destination = packet.key.destination;
        let endpoint = (destination.ip(), destination.port(), packet.key.protocol);
        self.by_endpoint.get(&endpoint).map(|&index| self.services[index].as_ref())
    }

    /// Returns the service with this identifier. This is a linear search: agents call it once per
    /// decision, for their own service, and balancers never call it.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRoute> {
        self.services.iter().find(|service| service.id == id).map(Arc::as_ref)
    }

    /// Returns the target with this identifier.
    pub fn target(&self, id: TargetId) -> Option<&TargetRoute> {
        self.targets.get(usize::from(id.0))?.as_ref()
    }

    /// Routes a packet. Does not allocate.
    ///
    /// # Errors
    /// Returns an error if no service listens on the destination, or if the packet has no valid
    /// holder hint and its service has no active target.
    pub fn route(&self, packet: &PacketView<'_>) -> Result<Route, RouteError> {
        let service = self.service_for(packet).ok_or(RouteError::UnknownService)?;
        // Most packets carry a timestamp hint, for which the flow hash need not be computed.
        if let Some(route) = self.route_by_timestamp(service, packet) {
            return Ok(route);
        }
        let flow_hash = self.hasher.hash(&packet.key);
        if let Some(route) = self.route_by_acknowledgment(service, packet, flow_hash) {
            return Ok(route);
        }
        if service.buckets.is_empty() {
            return Err(RouteError::NoTarget);
        }
        let bucket = service.buckets.bucket(flow_hash);
        let target = service.buckets.owner(bucket).ok_or(RouteError::NoTarget)?;
        let agent = self.target(target).ok_or(RouteError::NoTarget)?.agent;
        let standby = self.standby(service, packet, bucket);
        let basis = RouteBasis::Owner;
        Ok(Route { service: service.id, target, agent, basis, standby })
    }

    fn standby(
        &self,
        service: &ServiceRoute,
        packet: &PacketView<'_>,
        bucket: u32,
    ) -> Option<Standby> {
        if !packet.tcp()?.opens_flow() {
            return None;
        }
        let target = service.buckets.standby_owner(bucket)?;
        Some(Standby { target, agent: self.target(target)?.agent })
    }

    fn route_by_timestamp(&self, service: &ServiceRoute, packet: &PacketView<'_>) -> Option<Route> {
        let segment = packet.tcp().filter(|segment| !segment.opens_flow())?;
        self.route_by_hint(service, HolderHint::from_timestamp_echo(segment.timestamp_echo?))
    }

    /// Routes a packet without timestamps by the holder's sequence number that it acknowledges.
    /// Without this hint such packets could reach the holder only through the bucket's owner.
    fn route_by_acknowledgment(
        &self,
        service: &ServiceRoute,
        packet: &PacketView<'_>,
        flow_hash: u64,
    ) -> Option<Route> {
        let segment = packet.tcp().filter(|segment| !segment.opens_flow() && segment.ack)?;
        if segment.timestamp_echo.is_some() {
            return None;
        }
        self.route_by_hint(
            service,
            HolderHint::from_acknowledgment(segment.acknowledgment, flow_hash),
        )
    }

    /// Routes to the hinted target. Hints to targets of other services are ignored.
    fn route_by_hint(&self, service: &ServiceRoute, hint: HolderHint) -> Option<Route> {
        let HolderHint(target) = hint;
        let holder = self.target(target)?;
        (holder.service == service.id).then_some(Route {
            service: service.id,
            target,
            agent: holder.agent,
            basis: RouteBasis::Hint,
            standby: None,
        })
    }
}

/// All inputs of a service's bucket table.
#[derive(Debug, PartialEq, Eq)]
struct BucketInputs {
    /// Active targets with their weights, sorted by identifier.
    weighted: Vec<(TargetId, u32)>,
    /// All targets, sorted by identifier.
    members: Vec<TargetId>,
}

impl BucketInputs {
    fn of(targets: &[&Target]) -> Self {
        let mut weighted: Vec<(TargetId, u32)> = targets
            .iter()
            .filter(|target| target.state == TargetState::Active)
            .map(|target| (target.id, target.weight))
            .collect();
        weighted.sort_unstable();
        let mut members: Vec<TargetId> = targets.iter().map(|target| target.id).collect();
        members.sort_unstable();
        Self { weighted, members }
    }

    fn matches(&self, route: &ServiceRoute) -> bool {
        let weighted = route.active.iter().copied().zip(route.weights.iter().copied());
        self.members == route.members && weighted.eq(self.weighted.iter().copied())
    }
}

fn service_route(id: ServiceId, inputs: BucketInputs) -> ServiceRoute {
    let seed = mix(u64::from(id.0), 0);
    let (active, weights) = inputs.weighted.iter().copied().unzip();
    ServiceRoute {
        id,
        buckets: BucketTable::build(seed, &inputs.weighted, inputs.members.len()),
        active,
        weights,
        members: inputs.members,
    }
}

fn target_routes(targets: &[Target]) -> Vec<Option<TargetRoute>> {
    let length = targets.iter().map(|target| usize::from(target.id.0) + 1).max().unwrap_or(0);
    let mut routes = vec![None; length];
    for target in targets {
        routes[usize::from(target.id.0)] =
            Some(TargetRoute { service: target.service, agent: target.agent });
    }
    routes
}
