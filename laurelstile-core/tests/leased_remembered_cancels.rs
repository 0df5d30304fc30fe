//! Tests for cancellations that outlive the gateways that acknowledged them.
//!
//! They guard against tasks that start after their caller was told that the job is cancelled, and against
//! jobs that stay cancelled for longer than their submission may be repeated.

mod leased_support;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::cancel_log::MAX_CANCELS;
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{
    EndKind, FromAgent, FromAgentBody, NotStartedReason, Notice, ToAgent, ToAgentBody, ToPeer,
};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::{CANCEL_RETENTION, MAX_JOB_TIME};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{AgentRig, FIRST_AGENT, GatewayRig, SESSION, at, cpu, patient_job, run, task};
use rstest::rstest;

const PEER: SessionId = SessionId(900);
/// A gateway that has started after all others were lost.
const NEW_GATEWAY: Incarnation = Incarnation(8);
const NEW_SESSION: SessionId = SessionId(80);

fn cancel(rig: &mut GatewayRig, now: Timestamp, job: u64) {
    let cancel = GatewayEvent::Cancel {
        call: CallNumber(99),
        job: JobId(job),
    };
    rig.event(now, cancel);
}

/// A gateway tells an agent that jobs were cancelled.
fn tell_agent(rig: &mut AgentRig, now: Timestamp, jobs: &[u64]) {
    let message = ToAgent {
        echo: now,
        acknowledged: 0,
        cancelled: jobs.iter().copied().map(JobId).collect(),
        cancel_position: None,
        cancel_ages: Vec::new(),
        served: Vec::new(),
        body: ToAgentBody::Heartbeat,
    };
    let session = SESSION;
    rig.event(now, AgentEvent::Message { session, message });
}

/// An agent tells a gateway that jobs were cancelled.
fn tell_gateway(rig: &mut GatewayRig, now: Timestamp, session: u64, jobs: &[u64]) {
    let jobs = jobs.iter().copied().map(JobId).collect();
    let message = FromAgent {
        clock: now,
        report: None,
        offers: Vec::new(),
        candidates: None,
        notices: vec![Notice::Cancelled(jobs)],
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

fn is_cancelled(message: &FromAgent, job: u64) -> bool {
    let is_named = |notice: &Notice| match notice {
        Notice::Cancelled(jobs) => jobs.contains(&JobId(job)),
        Notice::Crash(_) => false,
    };
    message.notices.iter().any(is_named)
}

#[rstest]
#[case::held_by_the_gateway(1, Answer::Cancelled)]
#[case::of_another_gateway(5, Answer::Unknown)]
fn a_cancelled_job_is_told_to_all_agents_once(#[case] cancelled: u64, #[case] answer: Answer) {
    let mut rig = GatewayRig::new();
    rig.join(at(1), FIRST_AGENT, "agent-7", cpu(8_000));
    rig.join(at(1), FIRST_AGENT + 1, "agent-8", cpu(8_000));
    rig.submit(at(10), 1, patient_job(1_000, 10));
    cancel(&mut rig, at(20), cancelled);
    rig.tick(at(30));
    assert_eq!(rig.last_answer(), Some(answer));
    let mut told = std::mem::take(&mut rig.cancelled);
    told.sort_unstable();
    let sessions = [FIRST_AGENT, FIRST_AGENT + 1].map(SessionId);
    assert_eq!(told, sessions.map(|session| (session, JobId(cancelled))));
}

/// Agents are told of peers' cancellations by the gateway that acknowledged them.
#[test]
fn a_cancellation_of_a_peer_is_not_told_to_agents_again() {
    let mut rig = GatewayRig::new();
    rig.join(at(1), FIRST_AGENT, "agent-7", cpu(8_000));
    rig.open_peer(at(2), PEER);
    rig.peer_message(at(20), PEER, ToPeer::Cancelled(vec![JobId(1)]));
    rig.tick(at(30));
    assert!(rig.cancelled.is_empty());
}

/// An agent that starts anew remembers nothing.
#[test]
fn an_agent_that_connects_is_told_of_recent_cancellations() {
    let mut rig = GatewayRig::new();
    cancel(&mut rig, at(20), 1);
    rig.join(at(100), FIRST_AGENT, "agent-7", cpu(8_000));
    assert_eq!(rig.cancelled, [(SessionId(FIRST_AGENT), JobId(1))]);
}

/// No gateway places a task at an agent before its snapshot.
#[test]
fn an_agent_tells_a_new_gateway_of_cancellations_before_its_snapshot() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), &[1, 2]);
    rig.open(at(700), NEW_SESSION, NEW_GATEWAY);
    let sent = rig.sent.iter().filter(|(to, _)| *to == NEW_SESSION);
    let sent: Vec<&FromAgent> = sent.map(|(_, message)| message).collect();
    let told = sent.iter().position(|message| is_cancelled(message, 1));
    let is_snapshot = |message: &&FromAgent| matches!(message.body, FromAgentBody::Snapshot(_));
    let snapshot = sent.iter().position(is_snapshot);
    assert!(told.is_some() && told < snapshot, "{told:?}, {snapshot:?}");
    assert!(is_cancelled(sent[0], 2));
}

/// All gateways were lost after one had acknowledged the cancellation.
#[test]
fn a_job_that_an_agent_remembers_as_cancelled_is_not_started() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), PEER);
    rig.to_peers.clear();
    tell_gateway_as_it_joins(&mut rig, at(10));
    rig.submit(at(700), 1, patient_job(1_000, 10));
    assert_eq!(rig.last_answer(), Some(Answer::Cancelled));
    assert!(rig.starts.is_empty());
    let told_peers = rig
        .to_peers
        .iter()
        .filter(|(_, message)| matches!(message, ToPeer::Cancelled(jobs) if jobs == &[JobId(1)]));
    assert_eq!(told_peers.count(), 1);
}

fn tell_gateway_as_it_joins(rig: &mut GatewayRig, now: Timestamp) {
    let incarnation = Incarnation(FIRST_AGENT);
    let uptime = laurelstile_types::time::Span::default();
    rig.open_agent(now, FIRST_AGENT, "agent-7", incarnation, uptime);
    tell_gateway(rig, now, FIRST_AGENT, &[1]);
    rig.join(now, FIRST_AGENT, "agent-7", cpu(8_000));
}

/// A job that was submitted before its gateway heard of any agent.
#[test]
fn a_waiting_job_is_ended_by_the_cancellation_that_an_agent_remembers() {
    let mut rig = GatewayRig::new();
    rig.submit(at(5), 1, patient_job(1_000, 10));
    tell_gateway_as_it_joins(&mut rig, at(10));
    assert_eq!(rig.last_answer(), Some(Answer::Cancelled));
    assert!(rig.starts.is_empty());
}

/// The cancellation was acknowledged by another gateway, which was lost before its peers heard of it.
#[test]
fn an_agent_tells_the_gateway_of_a_run_that_its_job_is_cancelled() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts();
    rig.answer_start(at(11), started[0], None);
    rig.open(at(20), NEW_SESSION, NEW_GATEWAY);
    rig.sent.clear();
    let message = ToAgent {
        echo: at(20),
        acknowledged: 0,
        cancelled: vec![JobId(1)],
        cancel_position: None,
        cancel_ages: Vec::new(),
        served: Vec::new(),
        body: ToAgentBody::Heartbeat,
    };
    let session = NEW_SESSION;
    rig.event(at(30), AgentEvent::Message { session, message });
    let told: Vec<SessionId> = rig
        .sent
        .iter()
        .filter(|(_, message)| is_cancelled(message, 1))
        .map(|(session, _)| *session)
        .collect();
    assert_eq!(told, [SESSION]);
}

#[test]
fn an_agent_starts_no_task_of_a_cancelled_job() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), &[1]);
    rig.sent.clear();
    let batch = rig.batch(1, 1, 50);
    rig.message(at(20), batch);
    assert!(rig.take_starts().is_empty());
    let not_started = EndKind::NotStarted(NotStartedReason::Withdrawn);
    assert_eq!(rig.ends(), [(task(1, 0), not_started)]);
    let told = rig
        .sent
        .iter()
        .filter(|(_, message)| is_cancelled(message, 1));
    assert_eq!(told.count(), 1, "its gateway may not know");
    let batch = rig.batch(2, 1, 50);
    rig.message(at(30), batch);
    assert_eq!(rig.take_starts(), [run(2, 0)], "another job");
}

/// Guards against the start of a cancelled job by a gateway that holds it and was out of reach when it was
/// cancelled.
#[rstest]
#[case::after_a_long_cut(at(12_000))]
#[case::as_late_as_a_job_can_be_held(at(10).after(MAX_JOB_TIME))]
fn a_job_that_was_cancelled_long_ago_is_not_started(#[case] now: Timestamp) {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), &[1]);
    let batch = rig.batch(1, 1, 50);
    rig.message(now, batch);
    assert!(rig.take_starts().is_empty());
    let batch = rig.batch(2, 1, 50);
    rig.message(now, batch);
    assert_eq!(rig.take_starts(), [run(2, 0)], "another job");
}

/// Guards against the start of a cancelled job because many others were cancelled after it.
#[test]
fn many_later_cancellations_do_not_displace_an_earlier_one() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), &[1]);
    let later: Vec<u64> = (100..10_100).collect();
    tell_agent(&mut rig, at(20), &later);
    let batch = rig.batch(1, 1, 50);
    rig.message(at(30), batch);
    assert!(rig.take_starts().is_empty());
}

/// Guards against the acknowledgement of a cancellation that would have to be forgotten too early.
#[test]
fn a_cancellation_that_cannot_be_recorded_is_not_acknowledged() {
    let mut rig = GatewayRig::new();
    for job in 0..MAX_CANCELS as u64 {
        cancel(&mut rig, at(20), job);
    }
    assert_eq!(rig.last_answer(), Some(Answer::Unknown));
    cancel(&mut rig, at(30), u64::MAX);
    let refused = matches!(rig.last_answer(), Some(Answer::CancelUnacknowledged { .. }));
    assert!(refused, "{:?}", rig.last_answer());
    rig.submit(at(40), 0, patient_job(1_000, 10));
    assert_eq!(rig.last_answer(), Some(Answer::Cancelled), "the first");
    cancel(&mut rig, at(30).after(CANCEL_RETENTION), u64::MAX);
    assert_eq!(rig.last_answer(), Some(Answer::Unknown), "others expired");
}

/// Guards against a job that is held for longer than agents remember that it was cancelled.
#[test]
fn a_job_is_given_up_before_its_cancellation_may_be_forgotten() {
    const { assert!(MAX_JOB_TIME.0 < CANCEL_RETENTION.0) }
    let mut rig = GatewayRig::new();
    rig.join(at(1), FIRST_AGENT, "agent-7", cpu(8_000));
    rig.submit(at(10), 1, patient_job(200_000, 3_600));
    let limit_millis = MAX_JOB_TIME.as_millis();
    let is_held_until = |rig: &mut GatewayRig, from_millis: u64, to_millis: u64| {
        for millis in (from_millis..to_millis).step_by(300) {
            let body = FromAgentBody::Heartbeat;
            rig.report(at(millis), FIRST_AGENT, 1, cpu(7_000), body);
        }
        rig.machine.has_job(JobId(1))
    };
    assert!(is_held_until(&mut rig, 300, limit_millis - 300));
    assert!(!is_held_until(
        &mut rig,
        limit_millis - 300,
        limit_millis + 600
    ));
}

/// Guards against ids that can never be used again: no gateway can hold the job by then.
#[test]
fn a_cancellation_is_forgotten_after_its_retention() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), &[1]);
    let is_told = |rig: &AgentRig, session: SessionId| {
        let mut sent = rig.sent.iter();
        sent.any(|(to, message)| *to == session && is_cancelled(message, 1))
    };
    let last = at(10).after(CANCEL_RETENTION);
    rig.open(last, NEW_SESSION, NEW_GATEWAY);
    assert!(is_told(&rig, NEW_SESSION));
    rig.open(last.after(Span(1)), SessionId(81), Incarnation(9));
    assert!(!is_told(&rig, SessionId(81)));
}

/// Guards against cancellations that are retained forever, since processes tell each other of them as
/// sessions open, and count anew.
#[test]
fn a_cancellation_that_is_told_again_is_not_retained_for_longer() {
    let mut gateway = GatewayRig::new();
    cancel(&mut gateway, at(20), 1);
    let late = at(20).after(CANCEL_RETENTION);
    gateway.join(Timestamp(late.0 - 1), FIRST_AGENT, "agent-7", cpu(8_000));
    let (_, told) = gateway.to_agents.first().expect("told").clone();
    assert_eq!(told.cancelled, [JobId(1)]);
    let mut agent = AgentRig::with_worker(cpu(4_000));
    let session = SESSION;
    let message = ToAgent { echo: late, ..told };
    agent.event(late, AgentEvent::Message { session, message });
    let later = late.after(Span::from_secs(2));
    let batch = agent.batch(1, 1, 50);
    agent.message(later, batch);
    assert_eq!(agent.take_starts(), [run(1, 0)]);
}

/// Guards against a cancellation that is forgotten too early: the job was submitted again and cancelled
/// again.
#[test]
fn the_latest_cancellation_of_a_job_counts() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), &[1]);
    let again = at(100_000);
    tell_agent(&mut rig, again, &[1]);
    let batch = rig.batch(1, 1, 50);
    rig.message(again.after(MAX_JOB_TIME), batch);
    assert!(rig.take_starts().is_empty());
}
