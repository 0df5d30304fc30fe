//! Types shared by the laurelstile crates: identifiers, time, the configuration model, outcomes of
//! submissions, and the types of the HTTP API.
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
