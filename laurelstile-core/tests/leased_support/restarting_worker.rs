//! A rig for a worker that restarts under the same id.

use laurelstile_core::leased::agent::worker::{Registration, RunLists, WorkerClock};
use laurelstile_core::leased::messages::ToAgentBody;
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstile_types::time::Timestamp;

use super::{AgentRig, at, cpu, registration};

/// Start time of the first incarnation, in milliseconds of Unix time.
pub const FIRST_START: u64 = 1_700_000_000_000;
/// Start time of the second incarnation.
pub const SECOND_START: u64 = FIRST_START + 60_000;
/// Start time of the second incarnation if the machine's clock was set back in between.
pub const SECOND_START_AFTER_CLOCK_STEP: u64 = FIRST_START - 2_000;

/// The worker's incarnation with this start time.
pub fn incarnation(started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        id: "worker-1".into(),
        started_at: Some(StartTime(started_at)),
    }
}

/// A heartbeat sent `age` milliseconds after the start, from which clock and sequence count.
pub fn heartbeat_of(started_at: u64, age: u64, cpu_millis: u32, draining: bool) -> Registration {
    Registration {
        clock: WorkerClock(age),
        sequence: age,
        ..registration(at(0), incarnation(started_at), cpu(cpu_millis), draining)
    }
}

/// An agent that controls the worker in its first incarnation.
pub fn in_first_incarnation() -> AgentRig {
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(FIRST_START);
    rig.heartbeat(at(0), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    rig.answer_watch(at(1), RunLists::default());
    rig
}

/// As [`in_first_incarnation`], with two runs started.
pub fn running() -> AgentRig {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 2, 50);
    rig.message(at(10), batch);
    for started in rig.take_starts() {
        rig.answer_start(at(11), started, None);
    }
    rig
}

/// The worker answers as a new incarnation, and then answers the next watch and later commands as
/// that incarnation.
pub fn answer_restarted(rig: &mut AgentRig, now: Timestamp, started_at: u64, lists: RunLists) {
    rig.answer_watch_of(now, Some(StartTime(started_at)), Ok(lists.clone()));
    rig.incarnation = incarnation(started_at);
    rig.answer_watch(now, lists);
}

/// An agent whose worker crashed, restarted under the same id, and is available again.
pub fn restarted() -> AgentRig {
    let mut rig = running();
    rig.refuse_watch(at(20));
    rig.message(at(400), ToAgentBody::Heartbeat);
    rig.heartbeat(at(500), heartbeat_of(SECOND_START, 1, 4_000, false));
    answer_restarted(&mut rig, at(501), SECOND_START, RunLists::default());
    assert!(rig.is_available(), "the restarted worker is available");
    rig
}
