//! Stand-ins for the outside systems, met through their protocols.

pub mod backend;
pub mod platform;
