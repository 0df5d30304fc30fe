//! What fault runs over real processes share: processes that are signalled by
//! their pid, and relays that harm links.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod cut;
pub mod error;
pub mod process;
pub mod relay;
