//! Tests of the gateway's state machine as entry and scheduler of its own
//! pool: admission, queue order, quotas, deadlines and answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_core::gateway::{
    Answer, ClaimOutcome, Gateway, GatewayEffect, GatewayEvent, Identity, JobRequest,
};
use laurelstile_core::messages::agent::{
    FromAgent, FromAgentBody, NotStarted, NotStartedReason, SlotReport, StartTask, TaskOutcome,
    TaskResult, ToAgentBody,
};
use laurelstile_core::payload::Payload;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::configuration::{Backend, Class, Configuration, Pool, Service, Tenant};
use laurelstile_types::id::{Incarnation, SubmissionId};
use laurelstile_types::outcome::{Reason, RunState};
use laurelstile_types::platform::MachineList;
use laurelstile_types::revision::{Change, Revision};
use laurelstile_types::time::{Span, Timestamp};
use rstest::rstest;

const AGENT: SessionId = SessionId(1);
const SLOTS: u32 = 4;

/// A gateway with one agent of [`SLOTS`] slots.
struct Harness {
    gateway: Gateway,
    now: Timestamp,
    processed: u64,
    running: Vec<StartTask>,
    cancelled: Vec<SubmissionId>,
    claims: Vec<SubmissionId>,
    released_claims: usize,
    answers: BTreeMap<u64, Answer>,
}

impl Harness {
    fn new() -> Self {
        let identity = Identity {
            name: "g1".into(),
            incarnation: Incarnation(1),
            zone: "a".into(),
        };
        let mut harness = Self {
            gateway: Gateway::new(identity),
            now: Timestamp(1_000_000),
            processed: 0,
            running: Vec::new(),
            cancelled: Vec::new(),
            claims: Vec::new(),
            released_claims: 0,
            answers: BTreeMap::new(),
        };
        harness.handle(GatewayEvent::Machines(MachineList::default()));
        harness.handle(GatewayEvent::Revision(revision()));
        let remote = Remote {
            name: "w1".to_owned(),
            incarnation: Incarnation(7),
            uptime: Span::from_secs(0),
        };
        harness.handle(GatewayEvent::AgentOpened {
            session: AGENT,
            remote,
        });
        harness.report(FromAgentBody::Heartbeat);
        harness
    }

    fn handle(&mut self, event: GatewayEvent) {
        let mut effects = Vec::new();
        self.gateway.handle(self.now, event, &mut effects);
        self.gateway.flush(self.now, &mut effects);
        for effect in effects {
            match effect {
                GatewayEffect::ToAgent { message, .. } => match message.body {
                    ToAgentBody::Start(tasks) => {
                        self.processed += tasks.len() as u64;
                        self.running.extend(tasks);
                    }
                    ToAgentBody::Cancel(submissions) => self.cancelled.extend(submissions),
                    _ => {}
                },
                GatewayEffect::Answer(answer) => {
                    self.answers.insert(answer.submission.number, *answer);
                }
                GatewayEffect::Claim(claim) => self.claims.push(claim.submission),
                GatewayEffect::ReleaseClaim(_) => self.released_claims += 1,
                _ => {}
            }
        }
    }

    fn report(&mut self, body: FromAgentBody) {
        let running = u32::try_from(self.running.len()).expect("task count fits in u32");
        let message = FromAgent {
            report: SlotReport {
                clock: self.now,
                revision: 1,
                free: SLOTS - running,
                processed: self.processed,
                draining: false,
                member_since: Timestamp(0),
            },
            body,
        };
        self.handle(GatewayEvent::AgentMessage {
            session: AGENT,
            message,
        });
    }

    fn submit(&mut self, number: u64, request: JobRequest) {
        self.handle(GatewayEvent::Submit { number, request });
    }

    fn end_task(&mut self, index: usize, outcome: TaskOutcome) {
        let task = self.running.remove(index);
        let result = TaskResult {
            dispatch: task.dispatch,
            run_micros: 100_000,
            outcome,
        };
        self.report(FromAgentBody::Results(vec![result]));
    }

    fn refuse(&mut self, index: usize, reason: NotStartedReason) {
        let task = self.running.remove(index);
        let refusal = NotStarted {
            dispatch: task.dispatch,
            reason,
        };
        self.report(FromAgentBody::NotStarted(vec![refusal]));
    }

    /// Submissions of the running tasks, in order of their starts.
    fn running_jobs(&self) -> Vec<u64> {
        let running = self.running.iter();
        running
            .map(|task| task.dispatch.submission.number)
            .collect()
    }

    fn failure(&self, number: u64) -> Option<(RunState, Reason)> {
        let failure = self.answers.get(&number)?.outcome.as_ref().err()?;
        Some((failure.run_state, failure.reason))
    }

    fn advance(&mut self, span: Span) {
        let step = Span::from_millis(500);
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(step);
            self.report(FromAgentBody::Heartbeat);
            self.handle(GatewayEvent::Tick);
        }
    }
}

fn revision() -> Arc<Revision> {
    revision_of(&["w1"], 1)
}

fn revision_of(backends: &[&str], number: u64) -> Arc<Revision> {
    let backend = |name: &&str| Backend {
        name: (*name).into(),
        agent: "127.0.0.1:1".parse().expect("valid socket address"),
        zone: "a".into(),
        rack: "r".into(),
        slots: SLOTS,
    };
    let class = |name: &str, repeatable| Class {
        name: name.into(),
        expected_millis: 100,
        deadline_millis: 10_000,
        repeatable,
    };
    let tenant = |name: &str, weight, quota_slots| Tenant {
        name: name.into(),
        weight,
        quota_slots,
        max_queued_tasks: 1_000,
    };
    let configuration = Configuration {
        version: 1,
        pools: vec![Pool {
            name: "pool".into(),
            max_queued_tasks: 300,
            backends: backends.iter().map(backend).collect(),
        }],
        services: vec![Service {
            name: "service".into(),
            pool: "pool".into(),
            max_tasks_per_job: 400,
            classes: vec![class("again", true), class("once", false)],
        }],
        tenants: vec![
            tenant("one", 1, 4),
            tenant("two", 4, 4),
            tenant("few", 1, 1),
        ],
    };
    let change = Change::Apply(configuration);
    let mut revision =
        Revision::following(None, "a".into(), change).expect("the configuration is valid");
    revision.number = number;
    Arc::new(revision)
}

fn job(tenant: &str, tasks: usize) -> JobRequest {
    JobRequest {
        service: "service".into(),
        tenant: tenant.into(),
        class: "again".into(),
        inputs: vec![Payload::from(vec![0]); tasks],
        deadline: None,
        idempotency_key: None,
    }
}

fn output() -> TaskOutcome {
    TaskOutcome::Output(Payload::from(vec![1]))
}

#[test]
fn a_job_is_answered_once_with_all_outputs() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 6));
    assert_eq!(harness.running.len(), 4);
    for _ in 0..6 {
        assert!(harness.answers.is_empty());
        harness.end_task(0, output());
    }
    let outputs = harness.answers[&1]
        .outcome
        .as_ref()
        .expect("the job completes");
    assert_eq!(outputs.len(), 6);
}

#[rstest]
#[case::unknown_service(|job: &mut JobRequest| job.service = "x".into(), Reason::UnknownService)]
#[case::unknown_class(|job: &mut JobRequest| job.class = "x".into(), Reason::UnknownClass)]
#[case::unknown_tenant(|job: &mut JobRequest| job.tenant = "x".into(), Reason::UnknownTenant)]
#[case::no_task(|job: &mut JobRequest| job.inputs.clear(), Reason::JobSize)]
#[case::too_many_tasks(
    |job: &mut JobRequest| job.inputs = vec![Payload::from(vec![]); 401],
    Reason::JobSize
)]
#[case::queue_full(
    |job: &mut JobRequest| job.inputs = vec![Payload::from(vec![]); 301],
    Reason::Overloaded
)]
#[case::key_missing(
    |job: &mut JobRequest| job.class = "once".into(),
    Reason::IdempotencyKeyMissing
)]
#[case::deadline_unreachable(
    |job: &mut JobRequest| job.deadline = Some(Span::from_millis(50)),
    Reason::DeadlineUnreachable
)]
fn an_invalid_or_infeasible_job_is_refused_immediately(
    #[case] invalidate: fn(&mut JobRequest),
    #[case] reason: Reason,
) {
    let mut harness = Harness::new();
    let mut request = job("one", 2);
    invalidate(&mut request);
    harness.submit(1, request);
    assert_eq!(harness.failure(1), Some((RunState::NotRun, reason)));
    assert!(harness.running.is_empty());
}

#[test]
fn deadline_admission_counts_only_slots_in_service() {
    let mut harness = Harness::new();
    harness.handle(GatewayEvent::Tick);
    let with_deadline = |number| JobRequest {
        deadline: Some(Span::from_millis(400)),
        ..job("one", number)
    };
    harness.submit(1, with_deadline(12));
    assert_eq!(harness.failure(1), None);
    // The second agent, with four of the eight slots, has no session.
    harness.handle(GatewayEvent::Revision(revision_of(&["w1", "w2"], 2)));
    harness.handle(GatewayEvent::Tick);
    harness.submit(2, with_deadline(12));
    let unreachable = Some((RunState::NotRun, Reason::DeadlineUnreachable));
    assert_eq!(harness.failure(2), unreachable);
}

#[test]
fn least_remaining_work_goes_first() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 30));
    harness.submit(2, job("one", 1));
    harness.end_task(0, output());
    assert_eq!(harness.running_jobs(), [1, 1, 1, 2]);
}

#[test]
fn a_tenant_with_a_higher_weight_goes_first() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 20));
    harness.submit(2, job("two", 30));
    harness.end_task(0, output());
    assert_eq!(harness.running_jobs(), [1, 1, 1, 2]);
}

#[test]
fn ageing_puts_a_long_waiting_job_before_a_shorter_one() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 8));
    harness.advance(Span::from_secs(8));
    harness.submit(2, job("one", 3));
    harness.end_task(0, output());
    assert_eq!(harness.running_jobs(), [1, 1, 1, 1]);
}

#[test]
fn a_tenant_quota_is_not_exceeded_and_leaves_slots_to_others() {
    let mut harness = Harness::new();
    harness.submit(1, job("few", 5));
    harness.submit(2, job("one", 5));
    assert_eq!(harness.running_jobs(), [1, 2, 2, 2]);
    harness.end_task(1, output());
    assert_eq!(harness.running_jobs(), [1, 2, 2, 2]);
}

#[test]
fn a_refused_start_is_retried() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 1));
    harness.refuse(0, NotStartedReason::BackendUnreachable);
    assert_eq!(harness.running_jobs(), [1]);
    harness.end_task(0, output());
    assert!(harness.answers[&1].outcome.is_ok());
}

#[test]
fn a_failed_task_fails_its_job_and_cancels_the_other_tasks() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 8));
    harness.end_task(0, TaskOutcome::Failed);
    let failure = Some((RunState::MayHaveRun, Reason::TaskFailed));
    assert_eq!(harness.failure(1), failure);
    assert_eq!(harness.cancelled.len(), 1);
}

#[test]
fn a_job_past_its_deadline_is_reported_as_not_run_only_if_it_never_started() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 4));
    harness.submit(2, job("one", 4));
    harness.advance(Span::from_secs(11));
    let deadline = Reason::DeadlineExceeded;
    assert_eq!(harness.failure(1), Some((RunState::MayHaveRun, deadline)));
    assert_eq!(harness.failure(2), Some((RunState::NotRun, deadline)));
}

#[test]
fn a_non_repeatable_task_starts_only_with_its_claim() {
    let mut harness = Harness::new();
    let once = |key: &str| JobRequest {
        class: "once".into(),
        idempotency_key: Some(key.into()),
        ..job("one", 1)
    };
    for number in 1..=3 {
        harness.submit(number, once("key"));
    }
    assert!(harness.running.is_empty());
    let outcomes = [
        ClaimOutcome::Granted,
        ClaimOutcome::Taken,
        ClaimOutcome::Unavailable,
    ];
    for (submission, outcome) in harness.claims.clone().into_iter().zip(outcomes) {
        harness.handle(GatewayEvent::Claimed {
            submission,
            outcome,
        });
    }
    assert_eq!(harness.running_jobs(), [1]);
    let taken = Some((RunState::MayHaveRun, Reason::AlreadyClaimed));
    assert_eq!(harness.failure(2), taken);
    let unavailable = Some((RunState::NotRun, Reason::ClaimUnavailable));
    assert_eq!(harness.failure(3), unavailable);
    // The claim is released because the unavailable table may have written it.
    assert_eq!(harness.released_claims, 1);
}

#[test]
fn a_claim_granted_after_the_answer_is_released() {
    let mut harness = Harness::new();
    let once = JobRequest {
        class: "once".into(),
        idempotency_key: Some("key".into()),
        ..job("one", 1)
    };
    harness.submit(1, once);
    harness.handle(GatewayEvent::CallerDisconnected { number: 1 });
    assert_eq!(harness.released_claims, 0);
    let submission = harness.claims[0];
    harness.handle(GatewayEvent::Claimed {
        submission,
        outcome: ClaimOutcome::Granted,
    });
    assert!(harness.running.is_empty());
    assert_eq!(harness.released_claims, 1);
}

#[test]
fn the_loss_of_an_agent_fails_jobs_that_it_may_have_run() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 4));
    harness.submit(2, job("one", 4));
    let remote = Remote {
        name: "w1".to_owned(),
        incarnation: Incarnation(8),
        uptime: Span::from_secs(0),
    };
    harness.handle(GatewayEvent::AgentOpened {
        session: SessionId(2),
        remote,
    });
    let lost = Some((RunState::MayHaveRun, Reason::WorkerLost));
    assert_eq!(harness.failure(1), lost);
    assert_eq!(harness.failure(2), None);
}

#[test]
fn a_stopping_gateway_refuses_new_jobs_and_finishes_accepted_ones() {
    let mut harness = Harness::new();
    harness.submit(1, job("one", 1));
    harness.handle(GatewayEvent::Stop);
    harness.submit(2, job("one", 1));
    let stopping = Some((RunState::NotRun, Reason::GatewayStopping));
    assert_eq!(harness.failure(2), stopping);
    harness.end_task(0, output());
    assert!(harness.answers[&1].outcome.is_ok());
}
