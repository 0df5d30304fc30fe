//! Types shared by every laurelstile crate: identifiers, time, the
//! configuration model, run outcomes and the caller-facing API types.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod api;
pub mod configuration;
pub mod id;
pub mod json;
pub mod outcome;
pub mod platform;
pub mod revision;
pub mod time;
