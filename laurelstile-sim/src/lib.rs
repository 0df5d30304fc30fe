//! The emulator: drives the machines of `laurelstile-core` in virtual time,
//! over a simulated network, platform and back ends, from one seed.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod faults;
pub mod fleet;
pub mod leased;
pub mod prove;
pub mod replay;
pub mod search;
pub mod workload;
pub mod world;
