//! A randomized soak of the relay: real processes between stand-ins, faults from
//! outside them in an order that a seed draws, and a check of each promise from
//! what callers and targets saw.
//!
//! [`plan`] draws the episodes, [`run`] plays them, [`record`] keeps what callers
//! saw, and [`verdict`] judges it.

mod callers;
mod faults;
pub mod plan;
pub mod record;
pub mod run;
pub mod verdict;
