//! The rehearsal kit.
