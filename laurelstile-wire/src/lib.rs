//! Sessions between laurelstile's own processes: CBOR messages over websockets, opened by a
//! versioned hello in which both sides prove that they know the shared secret without sending it.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod codec;
pub mod error;
pub mod hello;
pub mod liveness;
pub mod session;
pub mod traffic;
