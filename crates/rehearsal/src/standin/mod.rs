//! Stand-ins for the systems around the load balancer: clients, the fabric, the
//! network, back ends and the platform.

pub mod back_end;
pub mod client;
pub mod fabric;
pub mod link;
pub mod platform;
