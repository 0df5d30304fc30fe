//! The operators' side of laurelstile: changes, status and plans.
#![deny(warnings)]
#![forbid(unsafe_code)]

pub mod error;
pub mod explain;
pub mod log_line;
pub mod loss;
pub mod operator;
pub mod plan;
