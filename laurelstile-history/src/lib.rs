//! Histories of runs: typed JSON-lines events that callers, operators, back
//! ends and nodes append, and the checker that judges them.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod check;
pub mod event;
pub mod file;
pub mod leased;
