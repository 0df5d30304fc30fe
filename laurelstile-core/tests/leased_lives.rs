//! Lives of a worker: a heartbeat that a cut held back may come after its life has ended
//! and another has begun.

mod leased_support;

use laurelstile_core::leased::agent::worker::Registration;
use laurelstile_core::leased::agent::{AgentEffect, AgentEvent, AgentOptions, LeasedAgent};
use laurelstile_core::leased::messages::EndKind;
use laurelstile_types::time::Span;
use leased_support::{
    AgentRig, RARE_HEARTBEATS, TOKEN_FLOOR, at, cpu, lists, run, task, worker_clock,
};

/// An agent whose worker lives its `life-1` and runs a task.
fn running() -> AgentRig {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts();
    rig.answer_start(at(11), started[0], None);
    rig
}

/// An agent that was restarted does not know which lives came before.
#[test]
fn a_late_heartbeat_of_an_ended_life_leaves_what_runs_alone() {
    let mut rig = running();
    rig.register(at(20), "life-0", cpu(4_000), false);
    assert!(rig.ends().is_empty(), "the present life may be well");
    for millis in [30, 40] {
        rig.answer_watch(at(millis), lists(&[(run(1, 0), 20)], &[]));
    }
    rig.register(at(45), "life-0", cpu(4_000), false);
    assert_eq!(rig.machine.run_count(), 1);
    assert!(rig.ends().is_empty());
    let batch = rig.batch(2, 1, 50);
    rig.message(at(50), batch);
    assert_eq!(rig.take_starts(), [run(2, 0)], "the present life goes on");
}

#[test]
fn a_new_life_begins_once_the_worker_says_that_the_old_one_is_over() {
    let mut rig = running();
    rig.register(at(20), "life-2", cpu(8_000), false);
    rig.end_incarnation(at(21));
    assert_eq!(rig.ends(), [(task(1, 0), EndKind::Lost)]);
    let order = rig.orders.back().expect("the new life is watched");
    assert_eq!(order.life, "life-2".into());
}

#[test]
fn a_new_life_that_drains_before_it_begins_drains() {
    let mut rig = running();
    rig.register(at(20), "life-2", cpu(8_000), true);
    rig.register(at(20), "life-2", cpu(8_000), false);
    rig.end_incarnation(at(21));
    rig.take_watches();
    assert!(!rig.is_available());
}

/// A worker may hang for good in its old life's calls: its runs have lapsed then.
#[test]
fn a_silent_life_gives_way_once_its_runs_have_lapsed() {
    let mut rig = running();
    rig.register(at(20), "life-2", cpu(8_000), false);
    for millis in [50, 100, 200] {
        rig.time_out_watch(at(millis));
    }
    assert!(rig.ends().is_empty(), "the leases run on");
    rig.tick(at(1_200));
    assert_eq!(rig.ends(), [(task(1, 0), EndKind::Lost)]);
    rig.orders.clear();
    rig.tick(at(1_201));
    rig.tick(at(1_300));
    let lives: Vec<&str> = rig.orders.iter().map(|order| &*order.life.id).collect();
    assert!(lives.iter().all(|life| *life == "life-2"), "{lives:?}");
}

/// Only lives that begin are remembered for a later agent, each once.
#[test]
fn a_late_heartbeat_does_not_replace_what_a_later_agent_will_recall() {
    let options = AgentOptions {
        zone: "here".into(),
        stop_patience: Span::from_secs(5),
        heartbeats: RARE_HEARTBEATS,
        token_floor: TOKEN_FLOOR,
    };
    let mut machine = LeasedAgent::new(options);
    let mut remembered = Vec::new();
    for (millis, life) in [(0, "life-1"), (10, "life-0"), (20, "life-1")] {
        let registration = Registration {
            life: life.into(),
            service: "parcels".into(),
            capacity: cpu(1_000),
            labels: Vec::new(),
            clock: worker_clock(at(millis)),
            draining: false,
            sequence: millis,
        };
        let mut effects = Vec::new();
        machine.handle(
            at(millis),
            AgentEvent::Registered(registration),
            &mut effects,
        );
        remembered.extend(effects.into_iter().filter_map(|effect| match effect {
            AgentEffect::Remember(known) => Some(known.registration.life),
            _ => None,
        }));
    }
    assert_eq!(remembered, ["life-1".into()]);
}
