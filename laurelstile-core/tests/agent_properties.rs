//! Property tests of the agent's state machine: with random events of two
//! gateways, including disconnects and recoveries, no task runs twice, slots
//! are never exceeded, and nothing starts under a superseded delegation or on a
//! draining agent. The random generator has a fixed seed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_core::agent::{Agent, AgentEffect, AgentEvent, RunEnd};
use laurelstile_core::messages::agent::{
    Fence, Membership, StartTask, TaskOutcome, ToAgent, ToAgentBody,
};
use laurelstile_core::payload::Payload;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::{DispatchId, Incarnation, SubmissionId};
use laurelstile_types::time::{Span, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SLOTS: u32 = 3;
const CASES: u32 = 400;
const STEPS: std::ops::Range<usize> = 1..120;

/// One step of a sequence. Gateways, submissions and tasks are few, so that
/// steps interact.
#[derive(Clone, Debug)]
enum Step {
    Open {
        gateway: u64,
    },
    Close {
        gateway: u64,
    },
    Start {
        gateway: u64,
        submission: u64,
        task: u32,
        delegation: u32,
    },
    Finish {
        index: usize,
        /// Whether the back end could be reached to start the task.
        reached: bool,
    },
    Recover {
        gateway: u64,
        submission: u64,
        delegation: u32,
    },
    Cancel {
        gateway: u64,
        submission: u64,
    },
    Drain,
    Advance {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..2_u64;
    let submission = 0..3_u64;
    prop_oneof![
        2 => gateway.clone().prop_map(|gateway| Step::Open { gateway }),
        1 => gateway.clone().prop_map(|gateway| Step::Close { gateway }),
        12 => (gateway.clone(), submission.clone(), 0..5_u32, 1..4_u32).prop_map(
            |(gateway, submission, task, delegation)| Step::Start {
                gateway, submission, task, delegation,
            }
        ),
        6 => (0..4_usize, prop::bool::weighted(0.8))
            .prop_map(|(index, reached)| Step::Finish { index, reached }),
        2 => (gateway.clone(), submission.clone(), 2..4_u32).prop_map(
            |(gateway, submission, delegation)| Step::Recover { gateway, submission, delegation }
        ),
        1 => (gateway, submission)
            .prop_map(|(gateway, submission)| Step::Cancel { gateway, submission }),
        1 => Just(Step::Drain),
        2 => (1..2_000_u64).prop_map(|millis| Step::Advance { millis }),
    ]
}

/// The agent together with the expected state.
struct AgentModel {
    agent: Agent,
    now: Timestamp,
    sessions: BTreeMap<u64, SessionId>,
    next_session: u64,
    running: Vec<DispatchId>,
    started: BTreeSet<(SubmissionId, u32)>,
    fences: BTreeMap<SubmissionId, u32>,
    drained: bool,
}

impl AgentModel {
    fn new() -> Self {
        Self {
            agent: Agent::new("w1".into()),
            now: Timestamp(1),
            sessions: BTreeMap::new(),
            next_session: 0,
            running: Vec::new(),
            started: BTreeSet::new(),
            fences: BTreeMap::new(),
            drained: false,
        }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Open { gateway } => self.open(gateway),
            Step::Close { gateway } => match self.sessions.remove(&gateway) {
                Some(session) => self.handle(AgentEvent::Closed { session }),
                None => Ok(()),
            },
            Step::Start {
                gateway,
                submission,
                task,
                delegation,
            } => {
                let start = StartTask {
                    dispatch: DispatchId {
                        submission: submission_id(submission),
                        task,
                        delegation,
                    },
                    service: "service".into(),
                    class: "class".into(),
                    age: Span(0),
                    time_left: Span::from_secs(600),
                    input: Payload::from(Vec::new()),
                };
                self.send(gateway, ToAgentBody::Start(vec![start]))
            }
            Step::Finish { index, reached } => self.finish(index, reached),
            Step::Recover {
                gateway,
                submission,
                delegation,
            } => {
                if self.sessions.contains_key(&gateway) {
                    let fence = self.fences.entry(submission_id(submission)).or_default();
                    *fence = (*fence).max(delegation);
                }
                let fence = Fence {
                    submission: submission_id(submission),
                    delegation,
                };
                self.send(gateway, ToAgentBody::Recover(vec![fence]))
            }
            Step::Cancel {
                gateway,
                submission,
            } => self.send(
                gateway,
                ToAgentBody::Cancel(vec![submission_id(submission)]),
            ),
            Step::Drain => {
                if let Some(gateway) = self.sessions.keys().next().copied() {
                    self.drained = true;
                    return self.send(gateway, ToAgentBody::Leaving);
                }
                Ok(())
            }
            Step::Advance { millis } => {
                self.now = self.now.after(Span::from_millis(millis));
                self.handle(AgentEvent::Tick)
            }
        }
    }

    fn open(&mut self, gateway: u64) -> Result<(), TestCaseError> {
        self.next_session += 1;
        let session = SessionId(self.next_session);
        self.sessions.insert(gateway, session);
        self.handle(AgentEvent::Opened {
            session,
            gateway: Incarnation(gateway),
        })?;
        let membership = Membership {
            revision: 1,
            slots: SLOTS,
            drained: false,
        };
        self.send(gateway, ToAgentBody::Membership(membership))
    }

    fn finish(&mut self, index: usize, reached: bool) -> Result<(), TestCaseError> {
        if index >= self.running.len() {
            return Ok(());
        }
        let dispatch = self.running.remove(index);
        let end = if reached {
            RunEnd::Ended(TaskOutcome::Output(Payload::from(vec![1])))
        } else {
            // The task did not start, so it may start again.
            self.started.remove(&(dispatch.submission, dispatch.task));
            RunEnd::NotStarted
        };
        self.handle(AgentEvent::Finished { dispatch, end })
    }

    fn send(&mut self, gateway: u64, body: ToAgentBody) -> Result<(), TestCaseError> {
        let Some(session) = self.sessions.get(&gateway).copied() else {
            return Ok(());
        };
        let message = ToAgent {
            echo: self.now,
            revision: 1,
            release: Vec::new(),
            body,
        };
        self.handle(AgentEvent::Message { session, message })
    }

    fn handle(&mut self, event: AgentEvent) -> Result<(), TestCaseError> {
        let mut effects = Vec::new();
        self.agent.handle(self.now, event, &mut effects);
        self.agent.flush(self.now, &mut effects);
        for effect in effects {
            match effect {
                AgentEffect::Run { dispatch, .. } => self.check_run(dispatch)?,
                AgentEffect::Abort(dispatch) => self.running.retain(|other| *other != dispatch),
                AgentEffect::Close(session) => self.sessions.retain(|_, open| *open != session),
                _ => {}
            }
        }
        let running = u32::try_from(self.running.len()).expect("task count fits in u32");
        prop_assert_eq!(self.agent.running(), running);
        Ok(())
    }

    fn check_run(&mut self, dispatch: DispatchId) -> Result<(), TestCaseError> {
        let task = (dispatch.submission, dispatch.task);
        prop_assert!(self.started.insert(task), "{dispatch} was started twice");
        let fence = self.fences.get(&dispatch.submission).copied().unwrap_or(0);
        prop_assert!(
            dispatch.delegation >= fence,
            "{dispatch} was started under a fenced delegation"
        );
        prop_assert!(!self.drained, "{dispatch} was started on a draining agent");
        prop_assert!(
            self.running.len() < SLOTS as usize,
            "{dispatch} was started without a free slot"
        );
        self.running.push(dispatch);
        Ok(())
    }
}

fn submission_id(number: u64) -> SubmissionId {
    SubmissionId {
        entry: Incarnation(9),
        number,
    }
}

#[test]
fn random_event_sequences_preserve_the_invariants() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let started_total = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counter = Arc::clone(&started_total);
    runner
        .run(&prop::collection::vec(step(), STEPS), |steps| {
            let mut model = AgentModel::new();
            for step in steps {
                model.apply(step)?;
            }
            let started = model.started.len();
            counter.fetch_add(started, std::sync::atomic::Ordering::Relaxed);
            Ok(())
        })
        .expect("every sequence preserves the invariants");
    // Guards against sequences that start no tasks.
    assert!(started_total.load(std::sync::atomic::Ordering::Relaxed) > CASES as usize);
}
