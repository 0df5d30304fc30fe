//! The store as laurelstile's own interface sees it: a transactional table and a machine
//! list, behind one narrow trait, with a client for the HTTP protocol; and
//! what laurelstile keeps there, the configuration log and the claims.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod claims;
pub mod client;
pub mod configuration_log;
pub mod http;
