//! A whole fleet in virtual time: what grows with it.
//!
//! The real machines of gateways and agents, with the real rules by which they dial, in
//! one process. Links have a rate and a queue, machines a share of a processor, and the
//! store answers after a while. No jobs are played: what is measured is what the fleet
//! costs by itself, and how long a start, a loss or a change of the configuration takes.

mod dials;
mod link;
mod links;
mod machines;
mod processor;
pub mod report;
pub mod scenario;
mod store;
mod traffic;
mod world;

pub use report::{FleetReport, RoleReport};
pub use scenario::{FleetSize, Scenario};

/// Plays a scenario at a size.
pub fn run_fleet(size: FleetSize, scenario: Scenario, seed: u64) -> FleetReport {
    let mut world = world::FleetWorld::new(size, seed);
    scenario::play(&mut world, scenario)
}
