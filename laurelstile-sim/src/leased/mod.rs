//! Leased workers in virtual time: gateways and agents as they are, workers
//! that lease, fence and lie, a network that cuts, callers that hand in again,
//! and seeded faults; judged by `laurelstile_history::leased`.

mod contention;
mod crashing;
mod disruptions;
mod faults;
pub(crate) mod nodes;
mod orders;
mod partitions;
mod run;
mod served;
mod surge;
pub mod worker;
mod world;

pub use contention::{Burst, ContentionOutcome, run_contention};
pub use crashing::{CrashOutcome, CrashPlan, PoisonTasks, run_crashing};
pub use disruptions::Disruption;
pub use faults::{Fault, OtherWord, Sabotage, ScheduledFault};
pub use nodes::Deployment;
pub use partitions::Partition;
pub use run::{
    Outcome, run_cancel_seed, run_disruption_seed, run_hazard_seed, run_herd_seed,
    run_leaving_seed, run_other_kinds_seed, run_other_writers_seed, run_partition_seed,
    run_resending_seed, run_returning_seed, run_seed, run_silences_seed,
};
pub use surge::{Surge, run_surge};
