//! Small stand-ins for the systems that the product meets.

pub mod back_end;
pub mod caller;
pub mod fabric;
pub mod link;
pub mod platform;
