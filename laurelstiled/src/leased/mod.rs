//! Gateway and agent processes for leased workers, which run each task only while its lease is
//! renewed. In each process, one asynchronous task drives the state machine of
//! `laurelstile_core::leased`; others hold sessions, and reach callers, the worker and the record
//! store through the traits in [`ports`].

pub mod agent;
pub mod decisions;
pub mod gate;
pub mod gateway;
pub mod handshakes;
pub mod input;
pub mod line_limit;
mod links;
pub mod log_output;
pub mod membership;
pub mod operator;
pub mod policy_settings;
pub mod ports;
pub mod recall;
pub mod sessions;
pub mod set_aside;
pub mod settings;
mod traffic_log;
