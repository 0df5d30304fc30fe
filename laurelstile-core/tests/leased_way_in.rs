//! Tests for the ingress delay that is estimated from agents' messages.

mod leased_support;

use laurelstile_core::leased::gateway::ingress_delay::IngressDelay;
use laurelstile_core::leased::gateway::path_delay::PathDelay;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::messages::{FromAgent, FromAgentBody};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{GatewayRig, at, cpu, job};

/// Offset of the agents' clocks from the gateway's, in microseconds.
const AGENT_CLOCK_OFFSET_MICROS: u64 = 77_000_000;

fn agent_clock(time: Timestamp) -> Timestamp {
    Timestamp(time.0 + AGENT_CLOCK_OFFSET_MICROS)
}

#[test]
fn clocks_need_not_be_synchronized() {
    let mut path = PathDelay::default();
    assert_eq!(path.record(agent_clock(at(8)), at(10)), Span::default());
    let delay = path.record(agent_clock(at(98)), at(400));
    assert_eq!(delay, Span::from_millis(300));
    assert_eq!(path.record(agent_clock(at(499)), at(500)), Span::default());
}

#[test]
fn an_old_minimum_expires() {
    let mut path = PathDelay::default();
    path.record(agent_clock(at(0)), at(0));
    let mut delay = Span::default();
    for second in 1..100 {
        let now = at(second * 1_000);
        delay = path.record(agent_clock(at(second * 1_000 - 20)), now);
    }
    assert_eq!(
        delay,
        Span::default(),
        "the longer delay is the new minimum"
    );
}

/// Records eight messages, one every 10 ms from `from` on, each delayed by `delay(number)`
/// milliseconds.
fn record_messages(ingress_delay: &mut IngressDelay, from: u64, delay: impl Fn(u64) -> u64) {
    for number in 0..8 {
        let now = from + number * 10;
        let sent = agent_clock(at(now - delay(number)));
        ingress_delay.record(at(now), Incarnation(number % 4), sent);
    }
}

#[test]
fn the_ingress_delay_is_the_minimum_of_recent_messages() {
    let mut ingress_delay = IngressDelay::default();
    record_messages(&mut ingress_delay, 1_000, |_| 2);
    assert_eq!(ingress_delay.delay(at(1_080)), Span::default());
    record_messages(
        &mut ingress_delay,
        2_000,
        |number| if number == 3 { 402 } else { 2 },
    );
    assert_eq!(
        ingress_delay.delay(at(2_080)),
        Span::default(),
        "one slow agent"
    );
    record_messages(&mut ingress_delay, 3_000, |number| 252 + number);
    assert_eq!(ingress_delay.delay(at(3_080)), Span::from_millis(250));
    assert_eq!(
        ingress_delay.delay(at(9_000)),
        Span::default(),
        "the samples are too old"
    );
}

/// The job's objective is 360 ms; it is refused after a quarter of it, less the caller's round
/// trip.
#[test]
fn a_job_with_an_ingress_delay_is_refused_sooner() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(500));
    let heartbeat = |rig: &mut GatewayRig, now: u64, sent: u64| {
        let message = FromAgent {
            clock: at(sent),
            report: None,
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
        let session = SessionId(1);
        rig.event(at(now), GatewayEvent::AgentMessage { session, message });
    };
    for number in 0..8 {
        heartbeat(&mut rig, 100 + number, 40 + number);
    }
    rig.submit(at(110), 1, job(1, 1, 200));
    assert!(
        rig.answers.is_empty(),
        "60 of the 82 ms until the refusal have passed"
    );
    rig.tick(at(133));
    let is_refused = |answer: Option<Answer>| {
        matches!(
            answer,
            Some(Answer::Refused {
                reason: Refusal::Overloaded,
                ..
            })
        )
    };
    assert!(is_refused(rig.last_answer()));
    for number in 0..8 {
        heartbeat(&mut rig, 500 + number, 300 + number);
    }
    rig.submit(at(510), 2, job(2, 1, 200));
    assert_eq!(rig.answers.len(), 2, "the job is refused at once");
    assert!(is_refused(rig.last_answer()));
}
