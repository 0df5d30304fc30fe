//! Messages between laurelstile's own processes.

pub mod agent;
pub mod peer;
