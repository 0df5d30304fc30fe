//! The caller, and its submissions.

use std::sync::Arc;

use laurelstile_core::leased::gateway::Answer;
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest, StepRequest};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::CALLER_RETRY_DELAY;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

use super::super::fault::Micros;
use super::links::LATENCY;
use super::{CPU_MILLIS, Event, World};
use crate::leased::nodes::{self, Deployment};

/// How often the caller submits the job at most.
pub const MAX_SUBMISSIONS: u64 = 3;

/// The caller's present submission.
#[derive(Debug)]
pub struct Call {
    pub number: CallNumber,
    pub gateway: usize,
    pub incarnation: Incarnation,
}

impl World {
    pub(super) fn submit(&mut self) {
        if self.is_caller_done || self.submissions >= MAX_SUBMISSIONS {
            return;
        }
        // The first submission goes to the first gateway, later ones to the other that is up.
        let first = usize::from(self.submissions > 0 && !self.setup.has_same_gateway);
        let gateway = if self.gateways[first].is_up {
            first
        } else {
            1 - first
        };
        self.submissions += 1;
        let number = CallNumber(self.submissions);
        let incarnation = self.gateways[gateway].incarnation;
        self.note(|| format!("caller submits the job to gateway-{gateway}"));
        if !self.gateways[gateway].is_up {
            self.call = None;
            self.schedule(self.now + CALLER_RETRY_DELAY.0, Event::Submit);
            return;
        }
        self.call = Some(Call {
            number,
            gateway,
            incarnation,
        });
        let time_left = Span(self.deadline);
        let submission = Event::Submission(gateway, incarnation, number, time_left);
        self.schedule(self.now + LATENCY, submission);
        self.schedule(self.now + self.deadline, Event::DeadlinePasses(number));
    }

    /// The caller's connection breaks; it submits the job again later.
    pub(super) fn break_call(&mut self, notice: Option<Micros>) {
        let Some(call) = self.call.take() else {
            return;
        };
        if let Some(notice) = notice {
            let event = Event::Disconnect(call.gateway, call.incarnation, call.number);
            self.schedule(self.now + notice + LATENCY, event);
        }
        self.schedule(self.now + CALLER_RETRY_DELAY.0, Event::Submit);
    }

    pub(super) fn on_answer(&mut self, gateway: usize, call: CallNumber, answer: Answer) {
        if self.call.as_ref().is_none_or(|open| open.number != call) {
            return;
        }
        self.note(|| format!("gateway-{gateway} answers the caller: {answer:?}"));
        self.call = None;
        if answer == Answer::GivenUp {
            self.schedule(self.now + CALLER_RETRY_DELAY.0, Event::Submit);
        } else {
            self.is_caller_done = true;
        }
    }
}

/// A job of tasks of one step.
pub fn request(id: JobId, tasks: usize, estimate: Micros, time_left: Span) -> JobRequest {
    JobRequest {
        id,
        queue: Arc::new(nodes::queue(0, &Deployment::default())),
        input: "input".into(),
        steps: vec![StepRequest {
            count: u32::try_from(tasks).unwrap_or(1),
            resources: Resources {
                cpu_millis: CPU_MILLIS,
                memory_mib: 0,
                gpus: 0,
            },
            estimate: Span(estimate),
            after: Vec::new(),
            label: None,
            near: None,
        }],
        time_left,
        unsupported: Vec::new(),
    }
}
