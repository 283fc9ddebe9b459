//! What an agent knows from one configuration revision.

use std::net::SocketAddr;

use weirhinge_config::{ConfigDocument, HashKey, TargetId, TargetState};
use weirhinge_flow::Fence;
use weirhinge_packet::FlowKey;
use weirhinge_routing::{BucketTable, RoutingTable, ServiceRoute};

/// The agent's own target in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnTarget {
    /// Service and target that envelopes must name.
    pub fence: Fence,
    /// Address of the back end.
    pub back_end: SocketAddr,
    /// Requests that the back end works on at once.
    pub slots: u32,
    /// Connections that the back end takes.
    pub connections: u32,
    /// Whether the target takes new flows.
    pub active: bool,
    /// Whether the back end is sent a PROXY protocol header.
    pub proxy_protocol: bool,
}

/// One revision as seen by one agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Routes under the revision.
    pub table: RoutingTable,
    /// The agent's own target, unless the revision does not know it.
    pub own: Option<OwnTarget>,
}

impl AgentView {
    /// The view of the agent beside `target`. Its table knows the target's own
    /// service alone: everything else is refused by the fence anyway, and the
    /// other services' tables would be most of the agent's memory.
    pub fn build(document: &ConfigDocument, key: &HashKey, target: TargetId) -> Self {
        let own = own_target(document, target);
        let service = own.map(|own| own.fence.service);
        let own_part = ConfigDocument {
            revision: document.revision,
            services: only(&document.services, |entry| Some(entry.id) == service),
            targets: only(&document.targets, |entry| Some(entry.service) == service),
        };
        Self { table: RoutingTable::build(&own_part, key), own }
    }

    /// The owner of a flow's bucket.
    pub fn owner(&self, key: &FlowKey) -> Option<TargetId> {
        let buckets = &self.own_service()?.buckets;
        buckets.owner(self.bucket(buckets, key)?)
    }

    /// The deputy of a flow's bucket.
    pub fn standby_owner(&self, key: &FlowKey) -> Option<TargetId> {
        let buckets = &self.own_service()?.buckets;
        buckets.standby_owner(self.bucket(buckets, key)?)
    }

    fn bucket(&self, buckets: &BucketTable, key: &FlowKey) -> Option<u32> {
        (!buckets.is_empty()).then(|| buckets.bucket(self.table.hasher().hash(key)))
    }

    /// The agent's own service.
    pub fn own_service(&self) -> Option<&ServiceRoute> {
        let own = self.own.as_ref()?;
        self.table.service(own.fence.service)
    }
}

fn only<T: Clone>(entries: &[T], is_wanted: impl Fn(&T) -> bool) -> Vec<T> {
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
