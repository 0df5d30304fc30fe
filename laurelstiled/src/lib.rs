//! The laurelstile daemon: connects the state machines of `laurelstile-core` to sockets, the
//! platform, back ends and callers.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod agent;
pub mod clock;
pub mod error;
pub mod gateway;
pub mod leased;
pub mod logging;
pub mod process;
pub mod session;
pub mod settings;
pub mod telemetry;
