//! Tracks in which configuration versions services were removed from routes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

use weirhinge_fleet::ServiceId;

use crate::view::FleetView;

/// The services that were removed from routes, with the configuration versions. It covers the
/// versions that this daemon has received without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteHistory {
    version: Option<u64>,
    route_services: HashSet<(SocketAddrV4, ServiceId)>,
    /// The first version since which no version was missed.
    complete_since: u64,
    /// The latest version in which each service was removed from a route.
    removed_in: HashMap<ServiceId, u64>,
}

impl RouteHistory {
    /// Records the routes in effect. Must be called regularly, so that no version is missed.
    pub(crate) fn note(&mut self, view: &FleetView) {
        let Some(version) = view.label().map(|label| label.version) else { return };
        if self.version == Some(version) {
            return;
        }
        let route_services: HashSet<_> = view.route_services().collect();
        if self.version.is_some_and(|known| known + 1 == version) {
            let removed = self.route_services.difference(&route_services);
            self.removed_in.extend(removed.map(|(_, service)| (*service, version)));
        } else {
            // Services may have been added and removed in the versions in between.
            self.complete_since = version;
            self.removed_in.clear();
        }
        self.version = Some(version);
        self.route_services = route_services;
    }

    /// Returns the version since which the service has not been removed from any route.
    pub(crate) fn unchanged_since(&self, service: ServiceId) -> u64 {
        self.removed_in.get(&service).copied().unwrap_or(self.complete_since)
    }
}
