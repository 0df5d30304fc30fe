//! Sessions on which nothing arrives although the agent sends.

mod leased_support;

use laurelstile_core::leased::messages::ToAgentBody;
use laurelstile_types::time::Timestamp;
use leased_support::{AgentRig, SESSION, at, cpu};

/// Ticks the agent at the times that it requests, from `from` to `to`.
fn tick_between(rig: &mut AgentRig, from: Timestamp, to: Timestamp) {
    let mut now = from;
    while now < to {
        rig.tick(now);
        let wakeup = rig.machine.next_wakeup(now);
        now = wakeup.unwrap_or(to).max(Timestamp(now.0 + 1_000));
    }
    rig.tick(to);
}

#[test]
fn a_busy_session_is_closed_after_a_second_of_silence() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    tick_between(&mut rig, at(10), at(1_000));
    assert!(rig.closed.is_empty());
    tick_between(&mut rig, at(1_000), at(1_020));
    assert_eq!(rig.closed, [SESSION]);
}

#[test]
fn an_idle_session_is_closed_after_two_heartbeats_without_an_echo() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.message(at(500), ToAgentBody::Heartbeat);
    tick_between(&mut rig, at(500), at(2_600));
    assert!(rig.closed.is_empty());
    tick_between(&mut rig, at(2_600), at(2_720));
    assert_eq!(rig.closed, [SESSION]);
}

#[test]
fn an_echo_keeps_a_session_open() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    for millis in (100..6_000).step_by(900) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
        tick_between(&mut rig, at(millis), at(millis + 899));
    }
    assert!(rig.closed.is_empty());
}

/// Messages that arrived during the suspension have not been read yet.
#[test]
fn a_suspended_agent_reads_pending_messages_first() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    tick_between(&mut rig, at(10), at(100));
    tick_between(&mut rig, at(5_000), at(5_900));
    assert!(rig.closed.is_empty());
    tick_between(&mut rig, at(5_900), at(6_020));
    assert_eq!(rig.closed, [SESSION]);
}
