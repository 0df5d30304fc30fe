//! Capacity of a service that counts, while workers drain, are evacuated or cannot be reached.

mod leased_support;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::messages::{
    FromAgent, FromAgentBody, NO_TASK_LIMIT, Report, StartBatch, ToAgentBody,
};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{AgentRig, GatewayRig, at, cpu, evacuations};

/// A gateway with two workers of the service, one in zone "there", and one of another service.
fn gateway() -> GatewayRig {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "first", cpu(4_000));
    rig.join_from(at(0), 2, "second", "parcels", "there", cpu(8_000));
    rig.join_for(at(0), 3, "other", "letters", cpu(2_000));
    rig
}

/// An agent reports its worker's free resources and limit.
fn report(rig: &mut GatewayRig, now: Timestamp, session: u64, free: Resources, limit: u32) {
    let message = FromAgent {
        clock: now,
        report: Some(Report {
            processed: 0,
            free,
            limit,
            run_time_percent: 100,
        }),
        offers: Vec::new(),
        candidates: None,
        notices: Vec::new(),
        cancels_received: None,
        cancel_ages: Vec::new(),
        is_ending: false,
        usage: None,
        served: None,
        body: FromAgentBody::Heartbeat,
    };
    let session = SessionId(session);
    rig.event(now, GatewayEvent::AgentMessage { session, message });
}

/// Usable and departing capacity of the service.
fn capacity(rig: &GatewayRig, millis: u64) -> (u64, u64) {
    let usable = rig.machine.usable_capacity(at(millis), "parcels");
    let departing = rig.machine.departing_capacity(at(millis), "parcels");
    (usable, departing)
}

/// Guards against shares of capacity that is about to leave.
#[test]
fn a_draining_worker_does_not_count() {
    let mut rig = gateway();
    assert_eq!(capacity(&rig, 0), (12_000, 0));
    report(&mut rig, at(300), 2, cpu(0), 0);
    assert_eq!(capacity(&rig, 300), (4_000, 8_000));
    assert_eq!(rig.capacities, [(4_000, 8_000)]);
    report(&mut rig, at(600), 2, cpu(8_000), NO_TASK_LIMIT);
    assert_eq!(capacity(&rig, 600), (12_000, 0));
    assert_eq!(rig.capacities, [(4_000, 8_000), (12_000, 0)]);
}

/// Guards against an agent whose report of a draining worker is not recognized as such.
#[test]
fn the_report_of_a_draining_worker_closes_it() {
    let mut agent = AgentRig::with_worker(cpu(8_000));
    agent.register(at(50), "life-1", cpu(8_000), true);
    agent.message(at(100), ToAgentBody::Heartbeat);
    let closed = agent.last_report().expect("a report");
    let mut rig = gateway();
    report(&mut rig, at(300), 2, closed.free, closed.limit);
    assert_eq!(capacity(&rig, 300), (4_000, 8_000));
}

/// Guards against taking a worker for departing that is full, on probation, or has an exclusive run.
#[test]
fn a_worker_that_is_full_or_limited_counts() {
    let mut rig = gateway();
    report(&mut rig, at(300), 1, cpu(0), NO_TASK_LIMIT);
    report(&mut rig, at(300), 2, cpu(7_000), 0);
    assert_eq!(capacity(&rig, 300), (12_000, 0));

    let mut agent = AgentRig::with_worker(cpu(8_000));
    let ToAgentBody::Start(batch) = agent.batch(1, 1, 0) else {
        unreachable!("a batch is a start");
    };
    let batch = StartBatch {
        is_exclusive: true,
        ..batch
    };
    agent.message(at(10), ToAgentBody::Start(batch));
    agent.message(at(40), ToAgentBody::Heartbeat);
    let exclusive = agent.last_report().expect("a report");
    assert_eq!(exclusive.limit, 0);
    report(&mut rig, at(600), 2, exclusive.free, exclusive.limit);
    assert_eq!(capacity(&rig, 600), (12_000, 0));
}

/// Guards against counting a zone that has been evacuated.
#[test]
fn the_workers_of_an_evacuated_zone_do_not_count() {
    let mut rig = gateway();
    let evacuated = GatewayEvent::Evacuations(evacuations(1, &["there"]));
    rig.event(at(300), evacuated);
    assert_eq!(capacity(&rig, 300), (4_000, 8_000));
    let returned = GatewayEvent::Evacuations(evacuations(2, &[]));
    rig.event(at(600), returned);
    assert_eq!(capacity(&rig, 600), (12_000, 0));
}

/// Guards against counting workers of which nothing is heard, and against remembering them for good.
#[test]
fn an_unreachable_worker_does_not_count_and_is_forgotten() {
    let mut rig = gateway();
    rig.lose_session(at(300), 2);
    assert_eq!(capacity(&rig, 300), (4_000, 8_000));
    for millis in (500..4_000).step_by(250) {
        report(&mut rig, at(millis), 1, cpu(4_000), NO_TASK_LIMIT);
        report(&mut rig, at(millis), 3, cpu(2_000), NO_TASK_LIMIT);
    }
    assert_eq!(capacity(&rig, 3_900), (4_000, 0));
    assert_eq!(rig.capacities, [(4_000, 8_000), (4_000, 0)]);
    // Silent with an open session.
    for millis in (4_000..7_000).step_by(250) {
        report(&mut rig, at(millis), 3, cpu(2_000), NO_TASK_LIMIT);
    }
    assert_eq!(capacity(&rig, 7_000), (0, 4_000));
}

/// Guards against counting a worker twice whose agent has restarted.
#[test]
fn the_process_that_an_agent_replaces_does_not_count() {
    let mut rig = gateway();
    rig.lose_session(at(300), 2);
    let uptime = Span::default();
    rig.open_agent(at(310), 4, "second", Incarnation(4), uptime);
    rig.join_with_uptime(at(320), 5, "second", cpu(8_000), uptime);
    assert_eq!(capacity(&rig, 600), (12_000, 0));
}

/// Guards against a gateway that was suspended and takes all agents for unreachable until it has read
/// what they sent.
#[test]
fn workers_count_while_the_backlog_of_a_suspension_is_read() {
    let mut rig = gateway();
    rig.tick(at(300));
    report(&mut rig, at(5_000), 3, cpu(2_000), NO_TASK_LIMIT);
    assert_eq!(capacity(&rig, 5_000), (12_000, 0));
    assert!(rig.capacities.is_empty(), "{:?}", rig.capacities);
}
