//! How queues were served, as agents remember it for gateways that start.

mod leased_support;

use std::sync::Arc;

use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::job::JobRequest;
use laurelstile_core::leased::gateway::on_time_rates::{OnTimeRates, SizeGroup};
use laurelstile_core::leased::gateway::policies::{Policies, QueueSharesPolicy};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::messages::{EndKind, FromAgent, FromAgentBody, ToAgent, ToAgentBody};
use laurelstile_core::leased::queue_key::QueueKey;
use laurelstile_core::leased::usage::{ServedCount, ServedCounts};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;
use leased_support::{AgentRig, GatewayRig, at, configuration, cpu, job, queue};
use rstest::rstest;

/// Number of agents under load.
const AGENTS: u64 = 6;
/// The queue that is served well, and the one that is refused.
const WELL: &str = "well";
const BADLY: &str = "badly";

fn shares() -> Policies {
    Policies {
        queue_shares: Some(QueueSharesPolicy { floor_percent: 80 }),
        ..Policies::default()
    }
}

fn named(name: &str) -> Arc<QueueSettings> {
    Arc::new(QueueSettings {
        name: name.into(),
        ..queue()
    })
}

/// A gateway process with both queues.
fn gateway(incarnation: u64, policies: Policies) -> GatewayRig {
    let mut rig = GatewayRig::of_process_with(
        "gateway",
        Incarnation(incarnation),
        policies,
        configuration(1),
    );
    let configuration = QueueConfiguration {
        version: 2,
        queues: vec![named(WELL), named(BADLY)],
    };
    rig.event(at(0), GatewayEvent::Configuration(configuration));
    rig
}

fn job_of(queue: &str, id: u64) -> JobRequest {
    JobRequest {
        queue: named(queue),
        ..job(id, 1, 100)
    }
}

fn count(queue: &str, answered: u32, on_time: u32) -> ServedCount {
    ServedCount {
        queue: QueueKey::of(queue),
        group: SizeGroup::Ordinary,
        answered,
        on_time,
    }
}

/// A gateway tells an agent these counts.
fn tell(agent: &mut AgentRig, now: Timestamp, session: SessionId, served: Vec<ServedCount>) {
    let message = ToAgent {
        echo: now,
        acknowledged: 0,
        cancelled: Vec::new(),
        cancel_position: None,
        cancel_ages: Vec::new(),
        served,
        body: ToAgentBody::Heartbeat,
    };
    agent.message_as(now, session, message);
}

/// What an agent tells a gateway process on a new session.
fn told_to(agent: &mut AgentRig, now: Timestamp, session: u64, gateway: u64) -> Vec<ServedCount> {
    let session = SessionId(session);
    agent.open(now, session, Incarnation(gateway));
    let own = agent.sent.iter().filter(|(to, _)| *to == session);
    let told = own.filter_map(|(_, message)| message.served.as_deref());
    told.flat_map(|counts| counts.0.clone()).collect()
}

/// An agent tells the gateway these counts.
fn hear(rig: &mut GatewayRig, now: Timestamp, session: u64, served: Vec<ServedCount>) {
    let message = FromAgent {
        clock: now,
        report: None,
        offers: Vec::new(),
        candidates: None,
        notices: Vec::new(),
        cancels_received: None,
        cancel_ages: Vec::new(),
        is_ending: false,
        usage: None,
        served: Some(Box::new(ServedCounts(served))),
        body: FromAgentBody::Heartbeat,
    };
    let session = SessionId(session);
    rig.event(now, GatewayEvent::AgentMessage { session, message });
}

/// Has the gateway answer a job of a queue, on time or refused for lack of room.
fn answer_job(rig: &mut GatewayRig, millis: u64, id: u64, queue: &str) {
    rig.submit(at(millis), id, job_of(queue, id));
    if let Some(batch) = rig.starts.pop_front() {
        rig.end(at(millis + 1), &batch, EndKind::Done, cpu(1_000));
    }
}

/// Six agents, and a gateway that for six seconds answers every job of one queue in time and refuses
/// every job of the other, whose tasks fit nowhere. The agents then know this.
fn overload(policies: Policies) -> Vec<AgentRig> {
    let mut agents: Vec<AgentRig> = (0..AGENTS)
        .map(|_| AgentRig::with_worker(cpu(1_000)))
        .collect();
    let mut gateway = gateway(1, policies);
    for index in 0..AGENTS {
        gateway.join(at(1), index, &format!("agent-{index}"), cpu(1_000));
        let session = SessionId(500 + index);
        agents[index as usize].open(at(1), session, Incarnation(1));
    }
    for step in 0..60 {
        let millis = 10 + step * 100;
        for index in 0..AGENTS {
            gateway.report(
                at(millis),
                index,
                u64::MAX,
                cpu(1_000),
                FromAgentBody::Heartbeat,
            );
        }
        answer_job(&mut gateway, millis, 1_000 + step, WELL);
        let mut large = job_of(BADLY, 2_000 + step);
        large.steps[0].resources = cpu(2_000);
        gateway.submit(at(millis + 2), 2_000 + step, large);
        gateway.tick(at(millis + 60));
        for (session, counts) in std::mem::take(&mut gateway.served) {
            let agent = &mut agents[usize::try_from(session.0).expect("an agent")];
            tell(agent, at(millis + 61), SessionId(500 + session.0), counts);
        }
    }
    agents
}

/// The queue whose job a gateway starts first that has one core and a waiting job of each queue. The
/// job of the well-served queue is the older one.
fn first_started(rig: &mut GatewayRig, millis: u64) -> u64 {
    rig.submit(at(millis), 1, job_of(WELL, 1));
    rig.submit(at(millis + 1), 2, job_of(BADLY, 2));
    rig.report(
        at(millis + 2),
        0,
        u64::MAX,
        cpu(1_000),
        FromAgentBody::Heartbeat,
    );
    rig.next_start().1.job.0
}

/// A gateway that starts at `millis`, to which these agents open their first sessions.
fn started_gateway(agents: &mut [AgentRig], millis: u64, policies: Policies) -> GatewayRig {
    let mut rig = gateway(2, policies);
    // Ticks, so that it does not take itself for suspended.
    rig.pass_time(0, millis);
    for (index, agent) in (0..).zip(agents) {
        rig.join(at(millis), index, &format!("agent-{index}"), cpu(0));
        let told = told_to(agent, at(millis), 900 + index, 2);
        if !told.is_empty() {
            hear(&mut rig, at(millis + 1), index, told);
        }
    }
    rig
}

/// Guards against gateways that start after the loss of all of them and serve the queue first that was
/// served best, until they have counted for themselves.
#[test]
fn a_new_gateway_orders_the_queue_first_that_was_served_worst() {
    let mut agents = overload(shares());
    let mut rig = started_gateway(&mut agents, 6_500, shares());
    assert_eq!(first_started(&mut rig, 6_510), 2, "the badly served queue");

    let mut agents = overload(Policies::default());
    let mut rig = started_gateway(&mut agents, 6_500, Policies::default());
    assert_eq!(
        first_started(&mut rig, 6_510),
        1,
        "nothing is told without the policy"
    );
}

/// Guards against counts that are lost with one agent.
#[test]
fn the_counts_of_a_lost_agent_are_missing_and_the_others_suffice() {
    let mut agents = overload(shares());
    for lost in 0..agents.len() {
        let mut others = overload(shares());
        others.remove(lost);
        let mut rig = started_gateway(&mut others, 6_500, shares());
        assert_eq!(first_started(&mut rig, 6_510), 2, "without agent {lost}");
    }
    let told = agents
        .iter_mut()
        .map(|agent| told_to(agent, at(6_500), 900, 2));
    let told = told.filter(|counts| !counts.is_empty()).count();
    assert!(
        told >= 5,
        "{told} of {AGENTS} agents were told of six seconds"
    );
}

/// Guards against messages for their own sake, more than one agent a second, always the same agent,
/// and empty counts.
#[test]
fn one_agent_a_second_is_told_in_turn_of_what_was_answered_since() {
    let mut rig = gateway(1, shares());
    for session in 0..3 {
        rig.join(at(1), session, &format!("agent-{session}"), cpu(1_000));
    }
    rig.pass_time(10, 2_000);
    assert!(rig.served.is_empty(), "nothing was answered");
    for step in 0..50 {
        let millis = 2_000 + step * 100;
        for session in 0..3 {
            rig.report(
                at(millis),
                session,
                u64::MAX,
                cpu(1_000),
                FromAgentBody::Heartbeat,
            );
        }
        if step < 35 {
            answer_job(&mut rig, millis, 10 + step, WELL);
        }
    }
    let sessions: Vec<u64> = rig.served.iter().map(|(session, _)| session.0).collect();
    assert!(sessions.len() >= 4 && sessions.len() <= 5, "{sessions:?}");
    let in_turn = sessions.windows(2).all(|pair| pair[1] == (pair[0] + 1) % 3);
    assert!(in_turn, "{sessions:?}");
    let counts = rig.served.iter().flat_map(|(_, counts)| counts);
    let answered: u32 = counts.map(|count| count.answered).sum();
    assert_eq!(answered, 35, "each job is told once");
}

/// Guards against counts on the wire where the policy is off.
#[test]
fn nothing_is_told_without_the_policy() {
    let mut rig = gateway(1, Policies::default());
    rig.join(at(1), 0, "agent-0", cpu(1_000));
    for step in 0..30 {
        rig.report(
            at(10 + step * 100),
            0,
            u64::MAX,
            cpu(1_000),
            FromAgentBody::Heartbeat,
        );
        answer_job(&mut rig, 10 + step * 100, 10 + step, WELL);
    }
    assert!(rig.served.is_empty());
}

/// Guards against counting twice where one gateway restarts and others go on, or a session breaks: each
/// process is told once, and tells only what it has answered itself.
#[test]
fn a_gateway_process_is_told_once_and_does_not_tell_it_again() {
    let mut agent = AgentRig::with_worker(cpu(1_000));
    agent.open(at(1), SessionId(500), Incarnation(1));
    agent.open(at(1), SessionId(501), Incarnation(2));
    tell(
        &mut agent,
        at(10),
        SessionId(500),
        vec![count(BADLY, 40, 4)],
    );
    tell(
        &mut agent,
        at(10),
        SessionId(501),
        vec![count(BADLY, 60, 6)],
    );
    // Gateway 1 restarts as gateway 3; then sessions break.
    assert_eq!(told_to(&mut agent, at(20), 600, 3), [count(BADLY, 100, 10)]);
    assert!(
        told_to(&mut agent, at(30), 601, 3).is_empty(),
        "told before"
    );
    assert!(
        told_to(&mut agent, at(30), 602, 2).is_empty(),
        "its first session was earlier"
    );

    let mut rig = gateway(3, shares());
    rig.join(at(20), 0, "agent-0", cpu(1_000));
    hear(&mut rig, at(21), 0, vec![count(BADLY, 100, 10)]);
    for step in 0..30 {
        rig.report(
            at(30 + step * 100),
            0,
            u64::MAX,
            cpu(1_000),
            FromAgentBody::Heartbeat,
        );
    }
    assert!(rig.served.is_empty(), "it has answered nothing itself");
}

/// Guards against an agent that counts one second as much as the next long after.
#[test]
fn counts_decay_and_are_forgotten() {
    let mut agent = AgentRig::with_worker(cpu(1_000));
    agent.open(at(1), SessionId(500), Incarnation(1));
    tell(
        &mut agent,
        at(10),
        SessionId(500),
        vec![count(BADLY, 40, 20)],
    );
    let later = told_to(&mut agent, at(3_010), 600, 3);
    assert_eq!(later, [count(BADLY, 20, 10)]);
    assert!(told_to(&mut agent, at(60_000), 601, 4).is_empty());
}

/// Guards against an agent that grows with the queues that gateways name, or tells more than is small.
#[test]
fn an_agent_keeps_and_tells_a_bounded_number_of_counts() {
    let mut agent = AgentRig::with_worker(cpu(1_000));
    agent.open(at(1), SessionId(500), Incarnation(1));
    for batch in 0..50 {
        let names = (0..40).map(|name| format!("queue-{batch}-{name}"));
        let counts = names.map(|name| count(&name, u32::MAX, u32::MAX)).collect();
        tell(&mut agent, at(10 + batch), SessionId(500), counts);
    }
    let told = told_to(&mut agent, at(100), 600, 3);
    assert_eq!(told.len(), 48);
    let mut bytes = Vec::new();
    ciborium::into_writer(&ServedCounts(told), &mut bytes).expect("it is encoded");
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}

/// Guards against one agent that outweighs all others, or a count that is no count.
#[rstest]
#[case::huge(count(BADLY, u32::MAX, 0))]
#[case::more_on_time_than_answered(count(BADLY, 1, u32::MAX))]
#[case::none(count(BADLY, 0, 7))]
fn a_gateway_believes_one_agent_within_bounds(#[case] told: ServedCount) {
    let mut rates = OnTimeRates::default();
    rates.record_told(at(10), &[told]);
    for _ in 0..19 {
        rates.record_told(at(10), &[count(BADLY, 100, 90)]);
    }
    let permille = rates.permille(at(10), BADLY, SizeGroup::Ordinary);
    assert!((800..=905).contains(&permille), "{permille}");
}

/// Guards against a prior that outweighs what the gateway has counted itself, and one that decides for
/// queues of which nothing was told.
#[test]
fn own_counts_replace_what_was_told() {
    let mut rates = OnTimeRates::default();
    rates.record_told(at(10), &[count(BADLY, 200, 0)]);
    let told = rates.permille(at(10), BADLY, SizeGroup::Ordinary);
    assert!(told < 100, "{told}");
    let sized = rates.permille(at(10), BADLY, SizeGroup::Largest);
    assert!(
        sized < 100,
        "a size that was not told has the queue's rate: {sized}"
    );
    assert_eq!(rates.permille(at(10), WELL, SizeGroup::Ordinary), 1_000);
    for _ in 0..100 {
        rates.record(at(10), BADLY, SizeGroup::Ordinary, true);
    }
    let own = rates.permille(at(10), BADLY, SizeGroup::Ordinary);
    assert!(own > 900, "{own}");
    rates.record(at(50_000), WELL, SizeGroup::Ordinary, true);
    let later = rates.permille(at(50_000), BADLY, SizeGroup::Ordinary);
    assert_eq!(later, 1_000, "what was told is forgotten");
}
