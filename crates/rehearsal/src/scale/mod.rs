//! Measures slopes on one machine: what one more service, target, flow or
//! daemon costs. docs/CAPACITY.md multiplies them up to the size aimed at.

mod agent;
mod balancer;
mod document;
mod followers;
mod process_usage;

pub use agent::{FlowMemory, measure_flow_memory};
pub use balancer::{BalancerSize, measure_balancer_size};
pub use document::{LETTER_SERVICES, LETTER_TARGETS, document_of_size};
pub use followers::{FollowerSize, measure_followers};
pub use process_usage::ProcessUsage;
