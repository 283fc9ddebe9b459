//! Since when routes have not lost a service, by configuration versions.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

use weirhinge_fleet::ServiceId;

use crate::view::FleetView;

/// Which services left a route in which version, as far as this daemon followed the
/// configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteHistory {
    version: Option<u64>,
    named: HashSet<(SocketAddrV4, ServiceId)>,
    /// The version from which on all changes are known.
    followed_since: u64,
    /// The latest version in which a service left a route.
    left_in: HashMap<ServiceId, u64>,
}

impl RouteHistory {
    /// Takes in the routes in force; to be called regularly.
    pub(crate) fn note(&mut self, view: &FleetView) {
        let Some(version) = view.label().map(|label| label.version) else { return };
        if self.version == Some(version) {
            return;
        }
        let named: HashSet<_> = view.route_services().collect();
        if self.version.is_some_and(|known| known + 1 == version) {
            let left = self.named.difference(&named);
            self.left_in.extend(left.map(|(_, service)| (*service, version)));
        } else {
            // Services may have come and gone in the versions between.
            self.followed_since = version;
            self.left_in.clear();
        }
        self.version = Some(version);
        self.named = named;
    }

    /// The version since which no route has lost the service.
    pub(crate) fn unchanged_since(&self, service: ServiceId) -> u64 {
        self.left_in.get(&service).copied().unwrap_or(self.followed_since)
    }
}
