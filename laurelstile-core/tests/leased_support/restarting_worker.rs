//! A worker that starts again under its id, as tests play it.

use laurelstile_core::leased::agent::worker::{Registration, WorkerClock, WorkerLists};
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstile_types::time::Timestamp;

use super::{AgentRig, at, cpu, registration};

/// When the first of its lives began.
pub const FIRST_START: u64 = 1_700_000_000_000;
/// When the second did.
pub const SECOND_START: u64 = FIRST_START + 60_000;
/// When it did if the clock of its machine was set back in between.
pub const SECOND_START_AFTER_CLOCK_STEP: u64 = FIRST_START - 2_000;

/// The worker's life that began then.
pub fn incarnation(started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        id: "worker-1".into(),
        started_at: Some(StartTime(started_at)),
    }
}

/// What it says of itself `age` milliseconds after its birth: its counts begin anew.
pub fn heartbeat_of(started_at: u64, age: u64, cpu_millis: u32, draining: bool) -> Registration {
    Registration {
        clock: WorkerClock(age),
        sequence: age,
        ..registration(at(0), incarnation(started_at), cpu(cpu_millis), draining)
    }
}

/// An agent that uses the worker in its first life.
pub fn in_first_incarnation() -> AgentRig {
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(FIRST_START);
    rig.heartbeat(at(0), heartbeat_of(FIRST_START, 9_000, 4_000, false));
    rig.answer_watch(at(1), WorkerLists::default());
    rig
}

/// The same, with two runs there.
pub fn running() -> AgentRig {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 2, 50);
    rig.message(at(10), batch);
    for started in rig.take_starts() {
        rig.answer_start(at(11), started, None);
    }
    rig
}

/// The worker answers in its second life, for which orders are answered from now on.
pub fn answer_restarted(rig: &mut AgentRig, now: Timestamp, started_at: u64, shown: WorkerLists) {
    rig.answer_watch_of(now, Some(StartTime(started_at)), Ok(shown.clone()));
    rig.incarnation = incarnation(started_at);
    rig.answer_watch(now, shown);
}

/// An agent whose worker crashed under its eyes and is back under its id, in use.
pub fn restarted() -> AgentRig {
    let mut rig = running();
    rig.refuse_watch(at(20));
    rig.incarnation = incarnation(SECOND_START);
    rig.heartbeat(at(500), heartbeat_of(SECOND_START, 1, 4_000, false));
    rig.answer_watch(at(501), WorkerLists::default());
    assert!(rig.is_available(), "it is used again");
    rig
}
