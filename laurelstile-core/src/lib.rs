//! The decision logic of laurelstile as deterministic state machines without
//! I/O.
//!
//! Tasks run either in the slots of back ends ([`agent`], [`gateway`],
//! [`messages`], [`rendezvous`]) or on leased workers ([`leased`]).
//!
//! Each role is a state machine: `handle(now, event, effects)` processes an
//! event and appends effects; `flush(now, effects)` completes a batch of
//! events. Clock readings, identifiers and random numbers are passed in, so
//! that the daemon, the emulator and the tests run the same code.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod agent;
pub mod gateway;
pub mod leased;
pub mod messages;
pub mod payload;
pub mod rendezvous;
pub mod session;
