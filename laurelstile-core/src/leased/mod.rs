//! Dispatch to leased workers.
//!
//! A leased worker differs in size and speed from its siblings, offers room
//! (processor, memory, accelerators) instead of slots, and runs each task only
//! while its lease is renewed. It does not guard its room: the
//! [`agent`](agent::LeasedAgent) beside it does. A
//! [`gateway`](gateway::LeasedGateway) keeps its callers' jobs and places
//! their tasks on workers; gateways need no agreement among themselves, since
//! the agent alone decides what starts.
//!
//! Both are machines without I/O: events in through `handle`, effects out, and
//! `next_wakeup` tells when time alone makes something happen.

pub mod agent;
pub mod crashes;
pub mod evacuation;
pub mod gateway;
pub mod input;
pub mod membership;
mod message_kinds;
pub mod messages;
pub mod redial;
pub mod resources;
mod serde_defaults;
pub mod task;
pub mod timing;
pub mod worker_incarnation;
