//! The callers of the world.

use std::collections::BTreeMap;

use laurelstile_core::gateway::{Answer, GatewayEvent, JobRequest};
use laurelstile_core::payload::Payload;
use laurelstile_history::event::{Event, ResultTag};
use laurelstile_types::id::Incarnation;
use laurelstile_types::outcome::{Failure, Reason};
use rand::Rng;

use super::names::gateway_name;
use super::{Sabotage, SimEvent, World};

/// Most submissions of one job.
const MOST_TRIES: u32 = 3;

/// An HTTP request on its way or waiting for its answer.
#[derive(Clone, Debug)]
struct Open {
    job: usize,
    tries: u32,
    gateway: usize,
    incarnation: Incarnation,
    number: u64,
    since: u64,
}

/// How a request ended, as its caller sees it.
#[derive(Debug)]
pub enum CallerOutcome {
    /// The whole answer.
    Answer(Vec<Payload>),
    /// A refusal or failure.
    Failure(Failure),
    /// The connection was refused (`unsent`) or broke.
    Lost {
        /// Whether nothing was sent.
        unsent: bool,
    },
}

/// All callers.
#[derive(Debug, Default)]
pub struct Callers {
    open: BTreeMap<String, Open>,
    /// Requests by gateway incarnation and submission number.
    waiting: BTreeMap<(Incarnation, u64), String>,
    arrivals: Vec<String>,
    next: u64,
    /// Index and response time of every answered job.
    pub(super) responses: Vec<(usize, u64)>,
}

/// What the input of a task says of it.
#[derive(Clone, Debug)]
pub struct TaskTag {
    /// Index of the job.
    pub job: usize,
    /// Index of the task.
    pub task: u32,
    /// The request.
    pub request: String,
}

impl TaskTag {
    fn to_payload(&self) -> Payload {
        Payload::from(format!("{} {} {}", self.job, self.task, self.request).into_bytes())
    }

    /// Reads a tag back.
    pub fn from_payload(payload: &Payload) -> Option<Self> {
        let text = std::str::from_utf8(payload.as_bytes()).ok()?;
        let mut words = text.split(' ');
        Some(Self {
            job: words.next()?.parse().ok()?,
            task: words.next()?.parse().ok()?,
            request: words.next()?.to_owned(),
        })
    }
}

pub(super) fn tenant_name(index: usize) -> String {
    format!("tenant-{index}")
}

impl World {
    pub(super) fn submit(&mut self, job: usize) {
        self.submit_try(job, 1);
    }

    fn submit_try(&mut self, job: usize, tries: u32) {
        self.callers.next += 1;
        let number = self.callers.next;
        let gateway = self.random.random_range(0..self.gateways.len());
        let request = format!("{job}-{tries}");
        let event = Event::Submitted {
            request: request.clone(),
            gateway: gateway_name(gateway),
            tasks: u32::try_from(self.jobs[job].runs.len()).unwrap_or(u32::MAX),
            key: self.jobs[job].key.clone(),
        };
        self.record("caller", event);
        let open = Open {
            job,
            tries,
            gateway,
            incarnation: self.gateways[gateway].incarnation,
            number,
            since: self.now,
        };
        self.callers.open.insert(request.clone(), open);
        self.callers.arrivals.push(request);
        let arrival = self.callers.arrivals.len() - 1;
        self.schedule(
            self.now + self.plan.caller_latency,
            SimEvent::AtGateway(arrival),
        );
    }

    pub(super) fn arrive_at_gateway(&mut self, arrival: usize) {
        let request = self.callers.arrivals[arrival].clone();
        let Some(open) = self.callers.open.get_mut(&request) else {
            return;
        };
        let gateway = open.gateway;
        if self.gateways[gateway].machine.is_none() {
            self.answer_at_caller(&request, CallerOutcome::Lost { unsent: true });
            return;
        }
        open.incarnation = self.gateways[gateway].incarnation;
        let (job, number, incarnation) = (open.job, open.number, open.incarnation);
        self.callers
            .waiting
            .insert((incarnation, number), request.clone());
        let job_request = self.job_request(job, &request);
        let event = GatewayEvent::Submit {
            number,
            request: job_request,
        };
        self.tell_gateway(gateway, incarnation, event);
    }

    fn job_request(&self, index: usize, request: &str) -> JobRequest {
        let job = &self.jobs[index];
        let inputs = (0..)
            .zip(&job.runs)
            .map(|(task, _)| {
                TaskTag {
                    job: index,
                    task,
                    request: request.to_owned(),
                }
                .to_payload()
            })
            .collect();
        JobRequest {
            service: "service".into(),
            tenant: tenant_name(job.tenant).as_str().into(),
            class: if job.key.is_some() { "once" } else { "again" }.into(),
            inputs,
            deadline: None,
            idempotency_key: job.key.clone(),
        }
    }

    pub(super) fn answer_leaves(&mut self, gateway: usize, answer: Answer) {
        let key = (self.gateways[gateway].incarnation, answer.submission.number);
        let Some(request) = self.request_of(key) else {
            return;
        };
        let outcome = match answer.outcome {
            Ok(outputs) => CallerOutcome::Answer(outputs),
            Err(failure) => self.failure_at_caller(failure),
        };
        let event = SimEvent::AnswerAtCaller(request, Box::new(outcome));
        self.schedule(self.now + self.plan.caller_latency, event);
    }

    fn failure_at_caller(&self, failure: Failure) -> CallerOutcome {
        let is_late = failure.reason == Reason::DeadlineExceeded;
        match self.plan.sabotage {
            Some(Sabotage::NoWholeness) if is_late => CallerOutcome::Answer(Vec::new()),
            Some(Sabotage::NoProof) if is_late => {
                CallerOutcome::Failure(Failure::not_run(failure.reason))
            }
            _ => CallerOutcome::Failure(failure),
        }
    }

    /// The waiting request that an answer goes to.
    fn request_of(&mut self, key: (Incarnation, u64)) -> Option<String> {
        if self.plan.sabotage == Some(Sabotage::NoSubmissionIds) {
            let waiting = self.callers.waiting.keys();
            let oldest = waiting
                .copied()
                .find(|(incarnation, _)| *incarnation == key.0)?;
            return self.callers.waiting.remove(&oldest);
        }
        self.callers.waiting.remove(&key)
    }

    pub(super) fn answer_at_caller(&mut self, request: &str, outcome: CallerOutcome) {
        let Some(open) = self.callers.open.remove(request) else {
            return;
        };
        let is_lost = matches!(outcome, CallerOutcome::Lost { .. });
        let event = match outcome {
            CallerOutcome::Answer(outputs) => {
                self.callers
                    .responses
                    .push((open.job, self.now - open.since));
                Event::Answered {
                    request: request.to_owned(),
                    results: outputs.iter().filter_map(result_tag).collect(),
                }
            }
            CallerOutcome::Failure(failure) => Event::Failed {
                request: request.to_owned(),
                run_state: failure.run_state,
                reason: failure.reason,
            },
            CallerOutcome::Lost { unsent } => Event::Lost {
                request: request.to_owned(),
                unsent,
            },
        };
        self.record("caller", event);
        // A client whose job is lost may submit it again.
        if is_lost && open.tries < MOST_TRIES {
            self.submit_try(open.job, open.tries + 1);
        }
    }

    /// The gateway's process has ended: its callers' connections break.
    pub(super) fn lose_requests_of(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].incarnation;
        let lost: Vec<(Incarnation, u64)> = self
            .callers
            .waiting
            .keys()
            .filter(|(waiting, _)| *waiting == incarnation)
            .copied()
            .collect();
        for key in lost {
            if let Some(request) = self.callers.waiting.remove(&key) {
                let outcome = CallerOutcome::Lost { unsent: false };
                let event = SimEvent::AnswerAtCaller(request, Box::new(outcome));
                self.schedule(self.now + self.plan.caller_latency, event);
            }
        }
    }

    /// At the end of the run.
    pub(super) fn give_up_open_requests(&mut self) {
        let open: Vec<String> = self.callers.open.keys().cloned().collect();
        for request in open {
            self.record(
                "caller",
                Event::Lost {
                    request,
                    unsent: false,
                },
            );
        }
    }
}

fn result_tag(output: &Payload) -> Option<ResultTag> {
    let tag = TaskTag::from_payload(output)?;
    Some(ResultTag {
        request: tag.request,
        task: tag.task,
    })
}
