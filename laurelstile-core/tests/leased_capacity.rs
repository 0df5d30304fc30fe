//! A worker's room shrinks and grows while it runs.

mod leased_support;

use laurelstile_core::leased::agent::worker::{Registration, WorkerLists};
use laurelstile_core::leased::agent::{
    AgentEvent, AgentOptions, HeartbeatTimes, LeasedAgent, WatchAnswer,
};
use laurelstile_core::leased::messages::{FromAgentBody, Snapshot, ToAgent, ToAgentBody};
use laurelstile_types::time::Span;
use leased_support::{AgentRig, GATEWAY, SESSION, at, cpu, lists, run, worker_clock};
use rstest::rstest;

/// An agent whose worker tells of itself every 1.5 s, and whose room may be used for 3 s more.
fn with_heartbeats() -> LeasedAgent {
    LeasedAgent::new(AgentOptions {
        token_floor: Default::default(),
        zone: "here".into(),
        stop_patience: Span::from_secs(5),
        heartbeats: HeartbeatTimes {
            interval: Span::from_millis(1_500),
            grace: Span::from_millis(3_000),
        },
    })
}

fn registration(millis: u64, capacity: u32) -> Registration {
    Registration {
        life: "life-1".into(),
        service: "parcels".into(),
        capacity: cpu(capacity),
        labels: Vec::new(),
        clock: worker_clock(at(millis)),
        draining: false,
        sequence: at(millis).0,
    }
}

/// Takes an event in, and the lists of a worker on which nothing runs.
fn take(machine: &mut LeasedAgent, millis: u64, event: AgentEvent) {
    let mut effects = Vec::new();
    machine.handle(at(millis), event, &mut effects);
    machine.flush(at(millis), &mut effects);
    let watched = AgentEvent::Watched {
        life: "life-1".into(),
        answer: Ok(WatchAnswer {
            started_at: None,
            clock: Some(worker_clock(at(millis))),
            lists: Ok(WorkerLists::default()),
        }),
    };
    machine.handle(at(millis), watched, &mut effects);
}

/// Machines that were dark, stood still or were suspended may have missed that it shrank.
#[test]
fn room_of_which_nothing_was_heard_for_long_is_not_used() {
    let mut machine = with_heartbeats();
    take(
        &mut machine,
        0,
        AgentEvent::Registered(registration(0, 4_000)),
    );
    assert!(machine.is_available(at(3_900)));
    assert!(!machine.is_available(at(4_100)));
    take(
        &mut machine,
        6_000,
        AgentEvent::Registered(registration(6_000, 2_000)),
    );
    assert!(machine.is_available(at(6_000)));
}

/// What an earlier agent knew is good for a moment, if it was there a moment ago.
#[rstest]
#[case::restarted(Some(300), true)]
#[case::long_dark(Some(2_500), false)]
#[case::nobody_knows(None, false)]
fn a_recalled_room_is_used_if_the_earlier_agent_was_there_lately(
    #[case] silence: Option<u64>,
    #[case] is_available: bool,
) {
    let mut machine = with_heartbeats();
    let session = SESSION;
    take(
        &mut machine,
        10,
        AgentEvent::Opened {
            session,
            gateway: GATEWAY,
        },
    );
    take(
        &mut machine,
        20,
        AgentEvent::Recalled(registration(0, 4_000)),
    );
    if let Some(silence) = silence {
        let body = ToAgentBody::Predecessor {
            silence: Span::from_millis(silence),
        };
        let message = ToAgent {
            echo: at(20),
            acknowledged: 0,
            body,
        };
        take(&mut machine, 20, AgentEvent::Message { session, message });
    }
    assert_eq!(machine.is_available(at(20)), is_available);
    take(
        &mut machine,
        900,
        AgentEvent::Registered(registration(900, 2_000)),
    );
    assert!(machine.is_available(at(900)));
}

/// An agent whose worker of four cores runs two tasks of a core each.
fn running() -> AgentRig {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 2, 50);
    rig.message(at(10), batch);
    for id in rig.take_starts() {
        rig.answer_start(at(11), id, None);
    }
    rig
}

fn last_snapshot(rig: &AgentRig) -> Option<&Snapshot> {
    let mut sent = rig.sent.iter().rev().filter(|(to, _)| *to == SESSION);
    sent.find_map(|(_, message)| match &message.body {
        FromAgentBody::Snapshot(snapshot) => Some(snapshot),
        _ => None,
    })
}

#[test]
fn nothing_starts_beyond_the_room_that_is_left() {
    let mut rig = running();
    rig.register(at(20), "life-1", cpu(2_500), false);
    assert_eq!(rig.machine.run_count(), 2, "what runs goes on");
    let batch = rig.batch(2, 1, 0);
    rig.message(at(30), batch);
    assert!(rig.take_starts().is_empty());
    rig.register(at(40), "life-1", cpu(4_000), false);
    let batch = rig.batch(3, 1, 0);
    rig.message(at(50), batch);
    assert_eq!(rig.take_starts(), [run(3, 0)]);
}

/// What is being stopped takes its room until the worker lists its end.
#[test]
fn what_is_being_stopped_counts_against_the_room_that_is_left() {
    let mut rig = running();
    rig.register(at(20), "life-1", cpu(2_000), false);
    let stop = ToAgentBody::Stop(vec![run(1, 0).task]);
    rig.message(at(30), stop);
    rig.answer_stop(at(31), run(1, 0), true);
    let batch = rig.batch(2, 1, 0);
    rig.message(at(32), batch);
    assert!(rig.take_starts().is_empty());
    rig.answer_watch(at(40), lists(&[(run(1, 1), 20)], &[]));
    rig.answer_watch(at(45), lists(&[(run(1, 1), 20)], &[]));
    let batch = rig.batch(3, 1, 0);
    rig.message(at(50), batch);
    assert_eq!(rig.take_starts(), [run(3, 0)]);
}

#[test]
fn gateways_hear_of_the_room_that_is_left() {
    let mut rig = running();
    rig.register(at(20), "life-1", cpu(2_500), false);
    rig.tick(at(40));
    let snapshot = last_snapshot(&rig).expect("told anew");
    assert_eq!(snapshot.capacity, cpu(2_500));
    assert_eq!(snapshot.held.len(), 2);
    assert_eq!(rig.reported_free_cpu(SESSION), Some(500));
}

/// A cut may hold a heartbeat back until later ones have come.
#[test]
fn a_late_heartbeat_does_not_give_back_room_that_has_gone() {
    let mut rig = running();
    rig.register(at(20), "life-1", cpu(2_000), false);
    rig.event(at(30), AgentEvent::Registered(registration(15, 4_000)));
    let batch = rig.batch(2, 1, 0);
    rig.message(at(40), batch);
    assert!(rig.take_starts().is_empty());
}

#[test]
fn a_later_agent_knows_the_least_room_that_the_life_has_had() {
    let mut rig = running();
    for (millis, resources) in [(20, 3_000), (30, 2_000), (40, 3_500), (50, 2_500)] {
        rig.register(at(millis), "life-1", cpu(resources), false);
    }
    let known: Vec<(u32, bool)> = rig
        .remembered
        .iter()
        .map(|known| (known.registration.capacity.cpu_millis, known.is_vital))
        .collect();
    assert_eq!(known, [(4_000, false), (3_000, true), (2_000, true)]);
}
