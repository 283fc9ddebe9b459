//! The part of one configuration revision that an agent uses.

use std::net::SocketAddr;

use weirhinge_config::{ConfigDocument, HashKey, TargetId, TargetState};
use weirhinge_flow::Fence;
use weirhinge_packet::FlowKey;
use weirhinge_routing::{BucketTable, RoutingTable, ServiceRoute};

/// The agent's own target in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnTarget {
    /// Service and target that an envelope must name to be accepted.
    pub fence: Fence,
    /// Address of the back end.
    pub back_end: SocketAddr,
    /// Maximum number of requests that the back end processes concurrently.
    pub slots: u32,
    /// Maximum number of connections that the back end accepts.
    pub connections: u32,
    /// Whether the target is active, i.e. accepts new flows.
    pub active: bool,
    /// Whether connections to the back end start with a PROXY protocol header.
    pub proxy_protocol: bool,
}

/// One configuration revision, reduced to the service of the agent's target.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Routing table of the revision; contains only the target's own service.
    pub table: RoutingTable,
    /// The agent's own target; `None` if the revision does not contain it.
    pub own: Option<OwnTarget>,
}

impl AgentView {
    /// Builds the view of the agent of `target`. The table contains only the target's own service:
    /// the fence rejects packets of other services anyway, and the tables of the other services
    /// would take up most of the agent's memory.
    pub fn build(document: &ConfigDocument, key: &HashKey, target: TargetId) -> Self {
        let own = own_target(document, target);
        let service = own.map(|own| own.fence.service);
        let own_document = ConfigDocument {
            revision: document.revision,
            services: select_entries(&document.services, |entry| Some(entry.id) == service),
            targets: select_entries(&document.targets, |entry| Some(entry.service) == service),
        };
        Self { table: RoutingTable::build(&own_document, key), own }
    }

    /// Returns the owner of a flow's bucket.
    pub fn owner(&self, key: &FlowKey) -> Option<TargetId> {
        let buckets = &self.own_service()?.buckets;
        buckets.owner(self.bucket(buckets, key)?)
    }

    /// Returns the standby owner of a flow's bucket.
    pub fn standby_owner(&self, key: &FlowKey) -> Option<TargetId> {
        let buckets = &self.own_service()?.buckets;
        buckets.standby_owner(self.bucket(buckets, key)?)
    }

    fn bucket(&self, buckets: &BucketTable, key: &FlowKey) -> Option<u32> {
        (!buckets.is_empty()).then(|| buckets.bucket(self.table.hasher().hash(key)))
    }

    /// Returns the route of the agent's own service.
    pub fn own_service(&self) -> Option<&ServiceRoute> {
        let own = self.own.as_ref()?;
        self.table.service(own.fence.service)
    }
}

fn select_entries<T: Clone>(entries: &[T], is_wanted: impl Fn(&T) -> bool) -> Vec<T> {
    entries.iter().filter(|entry| is_wanted(entry)).cloned().collect()
}

fn own_target(document: &ConfigDocument, id: TargetId) -> Option<OwnTarget> {
    let target = document.target(id)?;
    let service = document.service(target.service)?;
    Some(OwnTarget {
        fence: Fence { service: target.service, target: id },
        back_end: target.back_end,
        slots: target.slots,
        connections: target.connections,
        active: target.state == TargetState::Active,
        proxy_protocol: service.proxy_protocol,
    })
}
