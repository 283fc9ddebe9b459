//! The routing table of one configuration revision.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use weirhinge_config::{ConfigDocument, HashKey, ServiceId, Target, TargetId, TargetState};
use weirhinge_packet::{PacketView, Protocol};

use crate::bucket::BucketTable;
use crate::hash::{FlowHasher, mix};
use crate::hint::HolderHint;

/// Why a packet has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No service has the packet's destination.
    UnknownService,
    /// The service has no target that takes new flows, and nothing names a holder.
    NoTarget,
}

impl RouteError {
    /// The reason's name as it appears in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RouteError::UnknownService => "unknown_service",
            RouteError::NoTarget => "no_target",
        }
    }
}

/// What a route rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteBasis {
    /// The target owns the flow's bucket.
    Owner,
    /// The packet's echoed timestamp, or the number that it acknowledges, names the
    /// target.
    Hint,
}

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service that the packet is for.
    pub service: ServiceId,
    /// The target that the packet goes to.
    pub target: TargetId,
    /// The agent beside that target.
    pub agent: SocketAddr,
    /// What the choice rests on.
    pub basis: RouteBasis,
    /// For an opening packet: who stands by in case the owner is dead.
    pub standby: Option<Standby>,
}

/// The deputy of a flow's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standby {
    /// The deputy's target.
    pub target: TargetId,
    /// The agent beside that target.
    pub agent: SocketAddr,
}

/// What routing knows of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// The service that the target serves.
    pub service: ServiceId,
    /// Address of the agent.
    pub agent: SocketAddr,
}

/// What routing knows of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service's identifier.
    pub id: ServiceId,
    /// Owners of the service's buckets.
    pub buckets: BucketTable,
    /// Targets that take new flows, by identifier.
    pub active: Vec<TargetId>,
    /// Weights of the active targets, in the same order.
    weights: Vec<u32>,
    /// All targets, draining ones too, by identifier.
    pub members: Vec<TargetId>,
}

/// Routes packets under one configuration revision.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    revision: u64,
    hasher: FlowHasher,
    by_endpoint: HashMap<(IpAddr, u16, Protocol), usize>,
    /// Shared with the table of the previous revision where nothing changed.
    services: Vec<Arc<ServiceRoute>>,
    /// Indexed by target identifier: a lookup by hint is one bounds check.
    targets: Vec<Option<TargetRoute>>,
}

impl RoutingTable {
    /// Builds the table. The document must have passed its checks.
    pub fn build(document: &ConfigDocument, key: &HashKey) -> Self {
        Self::build_with(document, FlowHasher::new(key), &HashMap::new())
    }

    /// Builds the table of the next revision, which shares the bucket tables of
    /// every service whose targets are as before: they are nearly all the cost.
    pub fn rebuild(&self, document: &ConfigDocument) -> Self {
        let known = self.services.iter().map(|service| (service.id, service)).collect();
        Self::build_with(document, self.hasher, &known)
    }

    fn build_with(
        document: &ConfigDocument,
        hasher: FlowHasher,
        known: &HashMap<ServiceId, &Arc<ServiceRoute>>,
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
            let route = match known.get(&service.id) {
                Some(&known) if inputs.are_those_of(known) => known.clone(),
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

    /// The configuration revision that the table was built from.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The hash of flows under the deployment's key.
    pub fn hasher(&self) -> &FlowHasher {
        &self.hasher
    }

    /// The service that has the packet's destination.
    pub fn service_for(&self, packet: &PacketView<'_>) -> Option<&ServiceRoute> {
        let destination = packet.key.destination;
        let endpoint = (destination.ip(), destination.port(), packet.key.protocol);
        self.by_endpoint.get(&endpoint).map(|&index| self.services[index].as_ref())
    }

    /// The service with this identifier. Walks the services: agents ask it once
    /// per decision about their own, balancers never do.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRoute> {
        self.services.iter().find(|service| service.id == id).map(Arc::as_ref)
    }

    /// The target with this identifier.
    pub fn target(&self, id: TargetId) -> Option<&TargetRoute> {
        self.targets.get(usize::from(id.0))?.as_ref()
    }

    /// Decides where a packet goes. Does not allocate.
    ///
    /// # Errors
    /// When no service has the destination, or the service has no target for it.
    pub fn route(&self, packet: &PacketView<'_>) -> Result<Route, RouteError> {
        let service = self.service_for(packet).ok_or(RouteError::UnknownService)?;
        // Most packets carry a timestamp; the hash is for the others alone.
        if let Some(route) = self.hinted_by_timestamp(service, packet) {
            return Ok(route);
        }
        let flow_hash = self.hasher.hash(&packet.key);
        if let Some(route) = self.hinted_by_number(service, packet, flow_hash) {
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
        let target = service.buckets.deputy(bucket)?;
        Some(Standby { target, agent: self.target(target)?.agent })
    }

    fn hinted_by_timestamp(
        &self,
        service: &ServiceRoute,
        packet: &PacketView<'_>,
    ) -> Option<Route> {
        let segment = packet.tcp().filter(|segment| !segment.opens_flow())?;
        self.hinted(service, HolderHint::from_echo(segment.timestamp_echo?))
    }

    /// A caller without timestamps acknowledges numbers of the holder's. Without them its
    /// packets have one way alone, through the owner of their bucket.
    fn hinted_by_number(
        &self,
        service: &ServiceRoute,
        packet: &PacketView<'_>,
        flow_hash: u64,
    ) -> Option<Route> {
        let segment = packet.tcp().filter(|segment| !segment.opens_flow() && segment.ack)?;
        if segment.timestamp_echo.is_some() {
            return None;
        }
        self.hinted(service, HolderHint::from_acknowledgment(segment.acknowledgment, flow_hash))
    }

    /// A hint counts only if it names a target of the packet's own service.
    fn hinted(&self, service: &ServiceRoute, hint: HolderHint) -> Option<Route> {
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

/// All that a service's bucket table depends on.
#[derive(Debug, PartialEq, Eq)]
struct BucketInputs {
    /// Active targets with their weights, by identifier.
    weighted: Vec<(TargetId, u32)>,
    /// All targets, by identifier.
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

    fn are_those_of(&self, route: &ServiceRoute) -> bool {
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
