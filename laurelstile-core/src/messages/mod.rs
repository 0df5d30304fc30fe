//! Messages exchanged by the gateways and agents of back ends with slots. For
//! those of leased workers see [`crate::leased::messages`].

pub mod agent;
mod kinds;
pub mod peer;
