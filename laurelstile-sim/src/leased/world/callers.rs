//! Callers: they hand jobs in, wait, and hand in again.

use std::sync::Arc;

use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest, StepRequest};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::JobId;
use laurelstile_history::leased::{Seen, Told};
use laurelstile_types::time::Span;
use rand::Rng;

use super::super::nodes;
use super::super::worker::name_of_kind;
use super::{
    Caller, FIRST_CANCEL, FORMER_CALL, Happening, RESEND, RESTART, SimJob, TASK_ROOM, World,
    is_cancel, number_of,
};

/// Pause before a caller cancels again whose cancellation was not acknowledged.
const CANCEL_AGAIN: u64 = 300_000;
/// When the probes of an idle connection find that the other side is out of reach.
const SOONEST_PROBED: u64 = 1_000_000;
const LATEST_PROBED: u64 = 3_000_000;

/// The steps of a job, in a chain.
fn steps_of(job: &SimJob) -> Vec<StepRequest> {
    let step = |index: usize| StepRequest {
        count: job.tasks,
        resources: Resources {
            cpu_millis: TASK_ROOM,
            memory_mib: 0,
            gpus: 0,
        },
        estimate: Span(job.duration),
        after: index.checked_sub(1).into_iter().collect(),
        label: job.kind.map(name_of_kind),
        near: None,
        saves_progress: false,
    };
    (0..job.steps).map(step).collect()
}

impl Caller {
    /// Number of its present call.
    pub(super) fn call(&self, index: usize) -> CallNumber {
        CallNumber(self.former_calls * FORMER_CALL + index as u64)
    }
}

impl World {
    pub(super) fn submit(&mut self, index: usize) {
        let (first, is_over) = (self.callers[index].job.at, self.callers[index].is_over);
        let leaves_at = first + self.callers[index].job.patience;
        if is_over || self.now >= leaves_at {
            return;
        }
        let mut up: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| {
                let process = &self.gateways[*gateway];
                process.is_up && process.callers_cut_until <= self.now
            })
            .collect();
        if up.len() > 1 {
            let avoided = self.callers[index].avoids;
            up.retain(|gateway| Some(*gateway) != avoided);
        }
        if up.is_empty() {
            self.schedule(self.now + RESTART, Happening::Submit(index));
            return;
        }
        let gateway = up[self.random.random_range(0..up.len())];
        let job = self.callers[index].job.clone();
        let id = JobId(index as u64);
        self.see(Seen::Submitted {
            job: id.0,
            tasks: vec![job.tasks; job.steps],
            room: TASK_ROOM,
            max_attempts: nodes::MAX_ATTEMPTS,
            gateway: Some(gateway),
        });
        if let Some(kind) = job.kind {
            let label = name_of_kind(kind);
            self.see(Seen::Requires { job: id.0, label });
        }
        self.callers[index].gateway = Some((gateway, self.gateways[gateway].incarnation));
        self.schedule(leaves_at, Happening::Leave(index));
        let request = JobRequest {
            id,
            queue: Arc::new(nodes::queue(job.queue, &self.deployment)),
            input: self.input.clone(),
            steps: steps_of(&job),
            time_left: Span(
                self.call_limit
                    .unwrap_or(u64::MAX)
                    .min(leaves_at - self.now),
            ),
            unsupported: Vec::new(),
        };
        let call = self.callers[index].call(index);
        let incarnation = self.gateways[gateway].incarnation;
        let request = Happening::Request(gateway, incarnation, call, Box::new(request));
        let at = self.call_arrives(gateway, &request);
        self.schedule(at, request);
    }

    /// A caller cancels its job: at the gateway that has the call, or at another.
    pub(super) fn cancel(&mut self, index: usize) {
        let up: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| {
                let process = &self.gateways[*gateway];
                process.is_up && process.frozen_until <= self.now
            })
            .collect();
        if up.is_empty() {
            return;
        }
        let gateway = up[self.random.random_range(0..up.len())];
        let call = CallNumber(FIRST_CANCEL + index as u64);
        let job = JobId(index as u64);
        self.gateway_event(gateway, GatewayEvent::Cancel { call, job });
    }

    pub(super) fn answer(&mut self, call: CallNumber, answer: Answer) {
        let index = number_of(call);
        if is_cancel(call) {
            if matches!(answer, Answer::Cancelled | Answer::Unknown) {
                let job = index as u64;
                self.see(Seen::Cancelled { job });
            } else if self.now < self.callers[index].job.at + self.callers[index].job.patience {
                self.schedule(self.now + CANCEL_AGAIN, Happening::Cancel(index));
            }
            return;
        }
        let caller = &self.callers[index];
        let is_former = call != caller.call(index);
        if is_former || caller.is_over || caller.gateway.is_none() {
            return;
        }
        let told = match answer {
            Answer::Completed => Told::Completed,
            Answer::Failed => Told::Failed,
            Answer::Refused { .. } => Told::Refused,
            Answer::GivenUp
            | Answer::Cancelled
            | Answer::Unknown
            | Answer::CancelUnacknowledged { .. } => Told::GivenUp,
        };
        let is_repeated = told == Told::GivenUp && self.call_limit.is_some();
        if is_repeated {
            self.callers[index].former_calls += 1;
            self.schedule(self.now + RESEND, Happening::Submit(index));
        }
        self.callers[index].is_over = !is_repeated;
        self.callers[index].gateway = None;
        self.see(Seen::Answered {
            job: index as u64,
            told,
            in_planned_stop: false,
        });
    }

    pub(super) fn leave(&mut self, index: usize) {
        let Some((gateway, incarnation)) = self.callers[index].gateway.take() else {
            return;
        };
        self.callers[index].is_over = true;
        self.see(Seen::Answered {
            job: index as u64,
            told: Told::Nothing,
            in_planned_stop: false,
        });
        let process = &self.gateways[gateway];
        if process.incarnation == incarnation && process.frozen_until <= self.now {
            let call = self.callers[index].call(index);
            self.gateway_event(gateway, GatewayEvent::CallerDisconnected { call });
        }
    }

    /// The connections of a gateway's callers break: they submit again later, and the gateway
    /// notices after `notice`, or after the probes of the connections if `is_cut`.
    pub(super) fn break_callers(&mut self, gateway: usize, notice: u64, is_cut: bool) {
        for index in self.callers_of(gateway) {
            let Some(gone) = self.lose_connection(index, RESEND) else {
                continue;
            };
            let notice = match is_cut {
                true => self.random.random_range(SOONEST_PROBED..LATEST_PROBED),
                false => notice,
            };
            self.schedule(self.now + notice, gone);
        }
    }

    /// The connections of a gateway's callers break: they submit again at other gateways after
    /// `resubmitted_after`, and the gateway notices after `notice`.
    pub(super) fn move_callers(&mut self, gateway: usize, notice: u64, resubmitted_after: u64) {
        for index in self.callers_of(gateway) {
            self.callers[index].avoids = Some(gateway);
            if let Some(gone) = self.lose_connection(index, resubmitted_after) {
                self.schedule(self.now + notice, gone);
            }
        }
    }

    /// The callers that have a call at a gateway's present process, if it is up.
    fn callers_of(&self, gateway: usize) -> Vec<usize> {
        let process = &self.gateways[gateway];
        let called = process.is_up.then_some((gateway, process.incarnation));
        let is_there = |index: &usize| self.callers[*index].gateway == called;
        let callers = (0..self.callers.len()).filter(is_there);
        callers.filter(|_| called.is_some()).collect()
    }

    /// A caller's connection breaks, and it submits again; returns its gateway's notice of that.
    fn lose_connection(&mut self, index: usize, resubmitted_after: u64) -> Option<Happening> {
        let caller = &mut self.callers[index];
        let call = caller.call(index);
        let (gateway, incarnation) = caller.gateway.take()?;
        caller.former_calls += 1;
        self.see(Seen::Answered {
            job: index as u64,
            told: Told::Nothing,
            in_planned_stop: false,
        });
        self.schedule(self.now + resubmitted_after, Happening::Submit(index));
        Some(Happening::CallerGone(gateway, incarnation, call))
    }
}
