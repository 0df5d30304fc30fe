//! The decision logic of laurelstile as deterministic machines without I/O.
//!
//! Each role is a machine: events go in through `handle(now, event, effects)`,
//! effects come out; `flush(now, effects)` ends a batch of events. Clock,
//! identifiers and random numbers are passed in, so that the daemon, the
//! emulator and the tests drive the same code.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod agent;
pub mod gateway;
pub mod leased;
pub mod messages;
pub mod payload;
pub mod rendezvous;
pub mod session;
