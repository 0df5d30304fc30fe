//! Gateways and agents of leased workers: one task drives each machine of
//! `laurelstile_core::leased`; others hold sessions, and talk through ports to
//! callers, to the worker and to the record store.

pub mod agent;
pub mod decisions;
pub mod gate;
pub mod gateway;
pub mod input;
mod links;
pub mod log_output;
pub mod membership;
pub mod operator;
pub mod ports;
pub mod recall;
pub mod sessions;
pub mod settings;
mod traffic_log;
