//! Dispatch to leased workers.
//!
//! Leased workers differ in size and speed. They offer resources (processor, memory, accelerators)
//! instead of slots, and run each task only while its lease is renewed. A worker does not enforce
//! its resource limits itself; the [`agent`](agent::LeasedAgent) beside it does. A
//! [`gateway`](gateway::LeasedGateway) holds its callers' jobs and places their tasks on workers.
//! Gateways need no agreement among themselves, since only the agent decides what starts.
//!
//! Both are state machines without I/O: `handle` takes events, effects are returned, and
//! `next_wakeup` gives the time of the next action that depends on time alone.

pub mod agent;
pub mod cancel_log;
pub mod checkpoint;
pub mod crashes;
pub mod evacuation;
pub mod gateway;
pub mod input;
pub mod membership;
mod message_kinds;
pub mod messages;
pub mod queue_key;
pub mod redial;
pub mod resources;
mod serde_defaults;
pub mod task;
pub mod timing;
pub mod usage;
pub mod worker_incarnation;
