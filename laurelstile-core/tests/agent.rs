//! Tests of the agent's state machine: starts, refusals, retained outputs and
//! fences.

use std::sync::Arc;

use laurelstile_core::agent::{Agent, AgentEffect, AgentEvent, BACKEND_BACKOFF, RunEnd};
use laurelstile_core::messages::agent::{
    DispatchStatus, Fence, FromAgentBody, NotStartedReason, StartTask, TaskOutcome, ToAgent,
    ToAgentBody,
};
use laurelstile_core::payload::Payload;
use laurelstile_core::session::SessionId;
use laurelstile_types::configuration::{Backend, Configuration, Pool};
use laurelstile_types::id::{DispatchId, Incarnation, SubmissionId};
use laurelstile_types::revision::{Change, Revision};
use laurelstile_types::time::{Span, Timestamp};
use rstest::rstest;

const SCHEDULER: Incarnation = Incarnation(1);
const ENTRY: Incarnation = Incarnation(2);
const SESSION: SessionId = SessionId(1);
const ENTRY_SESSION: SessionId = SessionId(2);
const SLOTS: u32 = 2;

/// An agent in its pool, with sessions of a scheduler and an entry gateway.
struct Harness {
    agent: Agent,
    now: Timestamp,
    effects: Vec<AgentEffect>,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            agent: Agent::new("w1".into()),
            now: Timestamp(1_000_000),
            effects: Vec::new(),
        };
        for (session, gateway) in [(SESSION, SCHEDULER), (ENTRY_SESSION, ENTRY)] {
            harness.handle(AgentEvent::Opened { session, gateway });
        }
        harness.send(SESSION, ToAgentBody::Revision(revision(None)));
        harness.advance(Span::from_secs(20));
        harness.effects.clear();
        harness
    }

    fn handle(&mut self, event: AgentEvent) {
        self.agent.handle(self.now, event, &mut self.effects);
        self.agent.flush(self.now, &mut self.effects);
    }

    fn advance(&mut self, span: Span) {
        self.now = self.now.after(span);
    }

    fn send(&mut self, session: SessionId, body: ToAgentBody) {
        self.send_with(session, self.now, 9, Vec::new(), body);
    }

    fn send_with(
        &mut self,
        session: SessionId,
        echo: Timestamp,
        revision: u64,
        release: Vec<SubmissionId>,
        body: ToAgentBody,
    ) {
        let message = ToAgent {
            echo,
            revision,
            release,
            body,
        };
        self.handle(AgentEvent::Message { session, message });
    }

    fn start(&mut self, session: SessionId, task: u32, delegation: u32) {
        let tasks = vec![start_task(task, delegation, Span::from_millis(10))];
        self.send(session, ToAgentBody::Start(tasks));
    }

    fn finish(&mut self, task: u32, end: RunEnd) {
        let dispatch = dispatch(task, 1);
        self.handle(AgentEvent::Finished { dispatch, end });
    }

    /// Task indexes of the runs requested since the effects were last cleared.
    fn started_tasks(&mut self) -> Vec<u32> {
        let runs = self.effects.iter().filter_map(|effect| match effect {
            AgentEffect::Run { dispatch, .. } => Some(dispatch.task),
            _ => None,
        });
        runs.collect()
    }

    /// Refusals sent since the effects were last cleared.
    fn refusals(&mut self) -> Vec<NotStartedReason> {
        let mut reasons = Vec::new();
        for effect in &self.effects {
            if let AgentEffect::Send { message, .. } = effect
                && let FromAgentBody::NotStarted(refusals) = &message.body
            {
                reasons.extend(refusals.iter().map(|refusal| refusal.reason));
            }
        }
        reasons
    }

    /// Sessions that were sent results since the effects were last cleared.
    fn result_sessions(&mut self) -> Vec<SessionId> {
        let sessions = self.effects.iter().filter_map(|effect| match effect {
            AgentEffect::Send { session, message } => {
                matches!(message.body, FromAgentBody::Results(_)).then_some(*session)
            }
            _ => None,
        });
        sessions.collect()
    }

    /// Started tasks that the agent reported in `Recovered` messages.
    fn recovered(&mut self) -> Vec<(u32, DispatchStatus)> {
        let mut tasks = Vec::new();
        for effect in &self.effects {
            if let AgentEffect::Send { message, .. } = effect
                && let FromAgentBody::Recovered(answers) = &message.body
            {
                tasks.extend(answers.iter().flat_map(|answer| answer.tasks.clone()));
            }
        }
        tasks
    }
}

fn revision(drained: Option<&str>) -> Arc<Revision> {
    let configuration = Configuration {
        version: 1,
        pools: vec![Pool {
            name: "pool".into(),
            max_queued_tasks: 10,
            backends: vec![Backend {
                name: "w1".into(),
                agent: "127.0.0.1:1".parse().expect("valid socket address"),
                zone: "a".into(),
                rack: "r".into(),
                slots: SLOTS,
            }],
        }],
        services: Vec::new(),
        tenants: Vec::new(),
    };
    let first = Revision::following(None, "a".into(), Change::Apply(configuration));
    let revision = match drained {
        None => first,
        Some(name) => Revision::following(first.as_ref(), "b".into(), Change::Drain(name.into())),
    };
    Arc::new(revision.expect("the change is valid"))
}

fn submission() -> SubmissionId {
    SubmissionId {
        entry: ENTRY,
        number: 5,
    }
}

fn dispatch(task: u32, delegation: u32) -> DispatchId {
    DispatchId {
        submission: submission(),
        task,
        delegation,
    }
}

fn start_task(task: u32, delegation: u32, age: Span) -> StartTask {
    StartTask {
        dispatch: dispatch(task, delegation),
        service: "service".into(),
        class: "class".into(),
        age,
        time_left: Span::from_secs(20),
        input: Payload::from(Vec::new()),
    }
}

fn output() -> RunEnd {
    RunEnd::Ended(TaskOutcome::Output(Payload::from(vec![1])))
}

fn recover(delegation: u32) -> ToAgentBody {
    ToAgentBody::Recover(vec![Fence {
        submission: submission(),
        delegation,
    }])
}

#[test]
fn excess_starts_are_refused_and_a_freed_slot_is_offered_to_the_waiting_gateway() {
    let mut harness = Harness::new();
    for task in 0..3 {
        harness.start(SESSION, task, 1);
    }
    assert_eq!(harness.started_tasks(), [0, 1]);
    assert_eq!(harness.refusals(), [NotStartedReason::Full]);
    harness.effects.clear();
    harness.finish(0, output());
    assert_eq!(harness.result_sessions(), [SESSION]);
    let free = harness.effects.iter().find_map(|effect| match effect {
        AgentEffect::Send { message, .. } => Some(message.report.free),
        _ => None,
    });
    assert_eq!(free, Some(1));
}

#[test]
fn a_task_is_never_started_twice() {
    let mut harness = Harness::new();
    harness.start(SESSION, 0, 1);
    harness.start(SESSION, 0, 1);
    harness.finish(0, output());
    harness.start(SESSION, 0, 1);
    assert_eq!(harness.started_tasks(), [0]);
    let duplicate = NotStartedReason::Duplicate;
    assert_eq!(harness.refusals(), [duplicate, duplicate]);
}

#[test]
fn a_fence_refuses_starts_of_the_lost_scheduler_and_redirects_its_results() {
    let mut harness = Harness::new();
    harness.start(SESSION, 0, 1);
    harness.send(ENTRY_SESSION, recover(2));
    assert_eq!(harness.recovered(), [(0, DispatchStatus::Running)]);
    harness.start(SESSION, 1, 1);
    assert_eq!(harness.refusals(), [NotStartedReason::Fenced]);
    harness.finish(0, output());
    assert_eq!(harness.result_sessions(), [ENTRY_SESSION]);
    harness.start(ENTRY_SESSION, 1, 2);
    assert_eq!(harness.started_tasks(), [0, 1]);
}

#[test]
fn a_released_submission_that_was_fenced_stays_closed() {
    let mut harness = Harness::new();
    harness.send(ENTRY_SESSION, recover(2));
    let release = vec![submission()];
    harness.send_with(
        ENTRY_SESSION,
        harness.now,
        9,
        release,
        ToAgentBody::Heartbeat,
    );
    harness.start(SESSION, 0, 1);
    harness.start(SESSION, 1, 2);
    assert!(harness.started_tasks().is_empty());
    let fenced = NotStartedReason::Fenced;
    assert_eq!(harness.refusals(), [fenced, fenced]);
}

#[test]
fn an_unreleased_output_is_reported_to_a_recovering_gateway() {
    let mut harness = Harness::new();
    harness.start(SESSION, 0, 1);
    harness.finish(0, output());
    harness.send(ENTRY_SESSION, recover(2));
    assert!(matches!(
        harness.recovered().as_slice(),
        [(
            0,
            DispatchStatus::Finished {
                outcome: TaskOutcome::Output(_),
                ..
            }
        )]
    ));
}

#[test]
fn records_of_released_submissions_are_removed() {
    let mut harness = Harness::new();
    harness.start(SESSION, 0, 1);
    harness.finish(0, output());
    assert_eq!(harness.agent.record_count(), 1);
    let release = vec![submission()];
    harness.send_with(SESSION, harness.now, 9, release, ToAgentBody::Heartbeat);
    assert_eq!(harness.agent.record_count(), 0);
}

#[rstest]
#[case::stale_echo(5_000, 9, 10, NotStartedReason::StaleSender)]
#[case::stale_revision(0, 0, 10, NotStartedReason::StaleRevision)]
#[case::delegated_before_membership(0, 9, 30_000, NotStartedReason::OlderThanAgent)]
fn a_stale_start_is_refused(
    #[case] echo_millis_ago: u64,
    #[case] revision: u64,
    #[case] age_millis: u64,
    #[case] reason: NotStartedReason,
) {
    let mut harness = Harness::new();
    let echo = Timestamp(harness.now.0 - echo_millis_ago * 1_000);
    let tasks = vec![start_task(0, 1, Span::from_millis(age_millis))];
    harness.send_with(
        SESSION,
        echo,
        revision,
        Vec::new(),
        ToAgentBody::Start(tasks),
    );
    assert!(harness.started_tasks().is_empty());
    assert_eq!(harness.refusals(), [reason]);
}

#[rstest]
#[case::drained(ToAgentBody::Revision(revision(Some("w1"))))]
#[case::leaving(ToAgentBody::Leaving)]
fn a_draining_agent_finishes_running_tasks_but_starts_none(#[case] body: ToAgentBody) {
    let mut harness = Harness::new();
    harness.start(SESSION, 0, 1);
    harness.send(ENTRY_SESSION, body);
    harness.start(SESSION, 1, 1);
    assert_eq!(harness.started_tasks(), [0]);
    assert_eq!(harness.refusals(), [NotStartedReason::Draining]);
    harness.finish(0, output());
    assert_eq!(harness.result_sessions(), [SESSION]);
}

#[test]
fn a_graceful_shutdown_waits_for_running_tasks_and_unreleased_outputs() {
    let mut harness = Harness::new();
    let is_stopped = |harness: &Harness| {
        let effects = harness.effects.iter();
        effects
            .filter(|effect| matches!(effect, AgentEffect::Stopped))
            .count()
            == 1
    };
    harness.start(SESSION, 0, 1);
    harness.handle(AgentEvent::Stop);
    assert!(!is_stopped(&harness));
    harness.finish(0, output());
    assert!(!is_stopped(&harness));
    let release = vec![submission()];
    harness.send_with(SESSION, harness.now, 9, release, ToAgentBody::Heartbeat);
    assert!(is_stopped(&harness));
}

#[test]
fn starts_are_refused_for_a_while_after_the_back_end_refused_a_connection() {
    let mut harness = Harness::new();
    harness.start(SESSION, 0, 1);
    harness.finish(0, RunEnd::NotStarted);
    harness.start(SESSION, 0, 1);
    let unreachable = NotStartedReason::BackendUnreachable;
    assert_eq!(harness.refusals(), [unreachable, unreachable]);
    harness.advance(BACKEND_BACKOFF);
    harness.start(SESSION, 0, 1);
    assert_eq!(harness.started_tasks(), [0, 0]);
}

#[test]
fn a_new_session_replaces_the_old_one() {
    let mut harness = Harness::new();
    let session = SessionId(3);
    harness.handle(AgentEvent::Opened {
        session,
        gateway: SCHEDULER,
    });
    harness.start(SESSION, 0, 1);
    assert!(harness.started_tasks().is_empty());
    let reconcile = ToAgentBody::Reconcile(vec![dispatch(0, 1)]);
    harness.send(session, reconcile);
    let status = harness.effects.iter().find_map(|effect| match effect {
        AgentEffect::Send { message, .. } => match &message.body {
            FromAgentBody::Reconciled(answers) => Some(answers[0].status.clone()),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(status, Some(DispatchStatus::NeverReceived));
}

#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    let mut harness = Harness::new();
    harness.send(SESSION, ToAgentBody::Revision(revision(Some("w1"))));
    harness.send(SESSION, ToAgentBody::Revision(revision(None)));
    assert_eq!(harness.agent.revision_number(), 2);
    assert!(harness.agent.is_draining());
}
