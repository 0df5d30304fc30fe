//! Calls that have waited on the way in, as agents' messages tell.

mod leased_support;

use laurelstile_core::leased::gateway::path_delay::PathDelay;
use laurelstile_core::leased::gateway::way_in::WayIn;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::messages::{FromAgent, FromAgentBody};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{GatewayRig, at, cpu, job};

/// How far the agents' clocks are ahead of the gateway's.
const AHEAD: u64 = 77_000_000;

fn agent_clock(time: Timestamp) -> Timestamp {
    Timestamp(time.0 + AHEAD)
}

#[test]
fn clocks_need_no_common_zero() {
    let mut path = PathDelay::default();
    assert_eq!(path.record(agent_clock(at(8)), at(10)), Span::default());
    let delay = path.record(agent_clock(at(98)), at(400));
    assert_eq!(delay, Span::from_millis(300));
    assert_eq!(path.record(agent_clock(at(499)), at(500)), Span::default());
}

#[test]
fn an_old_best_time_is_forgotten() {
    let mut path = PathDelay::default();
    path.record(agent_clock(at(0)), at(0));
    let mut delay = Span::default();
    for second in 1..100 {
        let now = at(second * 1_000);
        delay = path.record(agent_clock(at(second * 1_000 - 20)), now);
    }
    assert_eq!(delay, Span::default(), "the way is 20 ms longer now");
}

/// Messages of agents, one each 10 ms, that have waited for so long.
fn messages(way_in: &mut WayIn, from: u64, delay: impl Fn(u64) -> u64) {
    for number in 0..8 {
        let now = from + number * 10;
        let sent = agent_clock(at(now - delay(number)));
        way_in.record(at(now), Incarnation(number % 4), sent);
    }
}

#[test]
fn the_way_in_is_as_long_as_its_fastest_message_tells() {
    let mut way_in = WayIn::default();
    messages(&mut way_in, 1_000, |_| 2);
    assert_eq!(way_in.delay(at(1_080)), Span::default());
    messages(
        &mut way_in,
        2_000,
        |number| if number == 3 { 402 } else { 2 },
    );
    assert_eq!(way_in.delay(at(2_080)), Span::default(), "one slow agent");
    messages(&mut way_in, 3_000, |number| 252 + number);
    assert_eq!(way_in.delay(at(3_080)), Span::from_millis(250));
    assert_eq!(way_in.delay(at(9_000)), Span::default(), "that is long ago");
}

/// The objective of the job is 360 ms, of which a quarter may pass until it is refused.
#[test]
fn a_call_that_has_waited_on_the_way_in_is_refused_sooner() {
    let mut rig = GatewayRig::new();
    rig.join(at(0), 1, "agent-1", cpu(500));
    let heartbeat = |rig: &mut GatewayRig, now: u64, sent: u64| {
        let message = FromAgent {
            clock: at(sent),
            report: None,
            offers: Vec::new(),
            sought: None,
            body: FromAgentBody::Heartbeat,
        };
        let session = SessionId(1);
        rig.event(at(now), GatewayEvent::AgentMessage { session, message });
    };
    for number in 0..8 {
        heartbeat(&mut rig, 100 + number, 40 + number);
    }
    rig.submit(at(110), 1, job(1, 1, 200));
    assert!(rig.answers.is_empty(), "60 of 82 ms have passed");
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
    assert_eq!(rig.answers.len(), 2, "it is refused at once");
    assert!(is_refused(rig.last_answer()));
}
