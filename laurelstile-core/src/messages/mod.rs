//! Messages exchanged by gateways and agents of the slot path.

pub mod agent;
mod kinds;
pub mod peer;
