//! The gateway as the entry of submissions: validates, claims, delegates and
//! answers.

use laurelstile_types::id::{DispatchId, SubmissionId};
use laurelstile_types::outcome::{Failure, Reason, RunState};
use laurelstile_types::time::{Span, Timestamp};

use super::scheduler::Origin;
use super::submission::{AssignedScheduler, Phase, Submission};
use super::{Answer, ClaimOutcome, ClaimRequest, Gateway, GatewayEffect, JobRequest};
use crate::messages::agent::TaskOutcome;
use crate::messages::peer::{Delegation, DelegationEnd, DelegationOutcome, ToPeerBody};
use crate::payload::Payload;
use crate::rendezvous::scheduler_of;

/// How long after its deadline a submission waits for its scheduler to report
/// whether it has run.
const DEADLINE_GRACE: Span = Span::from_millis(500);

impl Gateway {
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        number: u64,
        request: JobRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let id = SubmissionId {
            entry: self.identity.incarnation,
            number,
        };
        let submission = match self.admit(now, id, &request) {
            Ok(submission) => submission,
            Err(reason) => {
                effects.push(GatewayEffect::Answer(Box::new(Answer {
                    submission: id,
                    service: request.service,
                    tenant: request.tenant,
                    class: request.class,
                    elapsed: Span::default(),
                    outcome: Err(Failure::not_run(reason)),
                })));
                return;
            }
        };
        let claim = submission.claim.clone();
        self.submissions.insert(number, submission);
        match claim {
            Some(claim) => effects.push(GatewayEffect::Claim(claim)),
            None => self.delegate(now, number, effects),
        }
    }

    fn admit(
        &self,
        now: Timestamp,
        id: SubmissionId,
        request: &JobRequest,
    ) -> Result<Submission, Reason> {
        if self.stopping {
            return Err(Reason::GatewayStopping);
        }
        let revision = self.revision.as_ref().ok_or(Reason::NoConfiguration)?;
        let configuration = &revision.configuration;
        let service = configuration
            .service(&request.service)
            .ok_or(Reason::UnknownService)?;
        if revision.stopped.contains(&request.service) {
            return Err(Reason::ServiceStopped);
        }
        let class = service.class(&request.class).ok_or(Reason::UnknownClass)?;
        configuration
            .tenant(&request.tenant)
            .ok_or(Reason::UnknownTenant)?;
        let max_tasks = service.max_tasks_per_job as usize;
        if request.inputs.is_empty() || request.inputs.len() > max_tasks {
            return Err(Reason::JobSize);
        }
        let claim = match (class.repeatable, &request.idempotency_key) {
            (true, _) => None,
            (false, None) => return Err(Reason::IdempotencyKeyMissing),
            (false, Some(key)) => Some(ClaimRequest {
                service: request.service.clone(),
                tenant: request.tenant.clone(),
                key: key.clone(),
                submission: id,
            }),
        };
        let max_deadline = Span::from_millis(class.deadline_millis);
        let deadline = request
            .deadline
            .map_or(max_deadline, |requested| requested.min(max_deadline));
        Ok(Submission {
            id,
            service: request.service.clone(),
            pool: service.pool.clone(),
            tenant: request.tenant.clone(),
            class: request.class.clone(),
            accepted_at: now,
            deadline: now.after(deadline),
            inputs: request.inputs.clone(),
            outputs: vec![None; request.inputs.len()],
            delegation: 0,
            phase: Phase::Claiming,
            running_on: std::collections::BTreeMap::new(),
            fenced_on: std::collections::BTreeSet::new(),
            starts_unknown: false,
            claim,
        })
    }

    pub(super) fn on_claimed(
        &mut self,
        now: Timestamp,
        id: SubmissionId,
        outcome: ClaimOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_claiming = self
            .submissions
            .get(&id.number)
            .is_some_and(|submission| submission.phase == Phase::Claiming);
        if !is_claiming {
            self.resolve_late_claim(id, outcome, effects);
            return;
        }
        match outcome {
            ClaimOutcome::Granted => self.delegate(now, id.number, effects),
            ClaimOutcome::Taken => {
                // This submission did not run, but the caller's request may
                // have run under the submission that holds the claim.
                if let Some(submission) = self.submissions.get_mut(&id.number) {
                    submission.claim = None;
                }
                let failure = Failure::may_have_run(Reason::AlreadyClaimed);
                self.answer(now, id.number, Err(failure), effects);
            }
            ClaimOutcome::Unavailable => {
                // The claim may have been written. In this phase `answer`
                // releases it at once.
                if let Some(submission) = self.submissions.get_mut(&id.number) {
                    submission.phase = Phase::Collecting;
                }
                let failure = Failure::not_run(Reason::ClaimUnavailable);
                self.answer(now, id.number, Err(failure), effects);
            }
        }
    }

    /// Handles a claim that was decided after its submission had been answered
    /// as not run.
    fn resolve_late_claim(
        &mut self,
        id: SubmissionId,
        outcome: ClaimOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let claim = self.undecided_claims.remove(&id.number);
        if let Some(claim) = claim
            && outcome != ClaimOutcome::Taken
        {
            effects.push(GatewayEffect::ReleaseClaim(claim));
        }
    }

    /// Delegates the missing tasks of a submission to the pool's scheduler.
    pub(super) fn delegate(
        &mut self,
        now: Timestamp,
        number: u64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        submission.delegation += 1;
        let key = submission.key();
        let delegation = Delegation {
            key,
            pool: submission.pool.clone(),
            service: submission.service.clone(),
            class: submission.class.clone(),
            tenant: submission.tenant.clone(),
            time_left: submission.deadline.since(now),
            tasks: submission.missing_tasks(),
        };
        let scheduler = self.choose_scheduler(now, &delegation);
        if let Some(submission) = self.submissions.get_mut(&number) {
            submission.phase = Phase::Delegated(scheduler.clone());
        }
        match scheduler {
            AssignedScheduler::Local => self.schedule_locally(now, delegation, effects),
            AssignedScheduler::Peer(name) => {
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.outstanding.insert(key, now);
                }
                let body = ToPeerBody::Delegate(Box::new(delegation));
                self.send_to_peer(now, &name, body, effects);
            }
        }
    }

    fn choose_scheduler(&self, now: Timestamp, delegation: &Delegation) -> AssignedScheduler {
        let own = (!self.stopping).then_some(&self.identity.name);
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.can_schedule(now))
            .map(|(name, _)| name);
        match scheduler_of(&delegation.pool, peers.chain(own)) {
            Some(name) if *name != self.identity.name => AssignedScheduler::Peer(name.clone()),
            _ => AssignedScheduler::Local,
        }
    }

    fn schedule_locally(
        &mut self,
        now: Timestamp,
        delegation: Delegation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let key = delegation.key;
        let origin = Origin {
            entry: self.identity.incarnation,
            delegated_at: None,
        };
        if let Err(failure) = self.accept_delegation(now, origin, delegation) {
            let end = DelegationEnd {
                key,
                outcome: DelegationOutcome::Failed(failure),
            };
            self.on_delegation_end(now, end, effects);
        }
    }

    pub(super) fn accept_delegation(
        &mut self,
        now: Timestamp,
        origin: Origin,
        delegation: Delegation,
    ) -> Result<(), Failure> {
        let revision = self
            .revision
            .as_ref()
            .ok_or_else(|| Failure::not_run(Reason::NoConfiguration))?;
        self.scheduler.accept(
            now,
            origin,
            delegation,
            &revision.configuration,
            &mut self.links,
        )
    }

    /// Handles the end of a delegation as reported by its scheduler.
    pub(super) fn on_delegation_end(
        &mut self,
        now: Timestamp,
        end: DelegationEnd,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let number = end.key.submission.number;
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        let is_current =
            submission.key() == end.key && matches!(submission.phase, Phase::Delegated(_));
        if !is_current {
            return;
        }
        match end.outcome {
            DelegationOutcome::Complete(outputs) => {
                for output in outputs {
                    submission.set_output(output.index, output.output);
                }
                submission.phase = Phase::Collecting;
                self.answer_if_complete(now, number, effects);
            }
            DelegationOutcome::SentBack => self.delegate(now, number, effects),
            DelegationOutcome::Failed(failure) => {
                self.answer(now, number, Err(failure), effects);
            }
        }
    }

    /// Handles the result of a recovered task, which the agent reports to the
    /// entry gateway directly.
    pub(super) fn on_direct_result(
        &mut self,
        now: Timestamp,
        dispatch: DispatchId,
        outcome: TaskOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if dispatch.submission.entry != self.identity.incarnation {
            return;
        }
        let number = dispatch.submission.number;
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        if submission.running_on.remove(&dispatch.task).is_none() {
            return;
        }
        match outcome {
            TaskOutcome::Output(output) => {
                submission.set_output(dispatch.task, output);
                self.answer_if_complete(now, number, effects);
            }
            TaskOutcome::Failed => {
                let failure = Failure::may_have_run(Reason::TaskFailed);
                self.answer(now, number, Err(failure), effects);
            }
            TaskOutcome::Unknown | TaskOutcome::Cancelled | TaskOutcome::OutputLost => {
                let failure = Failure::may_have_run(Reason::WorkerLost);
                self.answer(now, number, Err(failure), effects);
            }
        }
    }

    pub(super) fn answer_if_complete(
        &mut self,
        now: Timestamp,
        number: u64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        if !submission.is_complete() {
            return;
        }
        let outputs = submission
            .outputs
            .iter_mut()
            .filter_map(Option::take)
            .collect();
        self.answer(now, number, Ok(outputs), effects);
    }

    /// Sends the final answer, cancels work still in progress, and lets agents
    /// discard the submission.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        number: u64,
        outcome: Result<Vec<Payload>, Failure>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(submission) = self.submissions.remove(&number) else {
            return;
        };
        let outcome = outcome.map_err(|failure| with_run_state(failure, &submission));
        if let Err(failure) = &outcome {
            self.cancel_work(now, &submission, effects);
            if failure.run_state == RunState::NotRun
                && let Some(claim) = &submission.claim
            {
                // A claim whose write is in progress is released once it is
                // decided.
                if submission.phase == Phase::Claiming {
                    self.undecided_claims.insert(number, claim.clone());
                } else {
                    effects.push(GatewayEffect::ReleaseClaim(claim.clone()));
                }
            }
        }
        self.queue_fence_releases(&submission);
        effects.push(GatewayEffect::Answer(Box::new(Answer {
            submission: submission.id,
            service: submission.service,
            tenant: submission.tenant,
            class: submission.class,
            elapsed: now.since(submission.accepted_at),
            outcome,
        })));
    }

    /// Cancels the work of schedulers and agents on a submission.
    fn cancel_work(
        &mut self,
        now: Timestamp,
        submission: &Submission,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match &submission.phase {
            Phase::Delegated(AssignedScheduler::Local) => {
                self.scheduler.withdraw(submission.key(), &mut self.links);
            }
            Phase::Delegated(AssignedScheduler::Peer(name)) => {
                let removed = self
                    .peers
                    .get_mut(name)
                    .and_then(|peer| peer.outstanding.remove(&submission.key()));
                if removed.is_some() {
                    let body = ToPeerBody::Withdraw(vec![submission.key()]);
                    self.send_to_peer(now, name, body, effects);
                }
            }
            Phase::Claiming | Phase::Recovering(_) | Phase::Collecting => {}
        }
        for link in submission.running_on.values() {
            self.links
                .get_mut(*link)
                .pending_cancels
                .push(submission.id);
        }
    }

    /// Lets the agents that hold a fence for a submission discard its outputs.
    fn queue_fence_releases(&mut self, submission: &Submission) {
        for link in &submission.fenced_on {
            self.links
                .get_mut(*link)
                .pending_releases
                .push(submission.id);
        }
    }

    pub(super) fn on_disconnect(
        &mut self,
        now: Timestamp,
        number: u64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(submission) = self.submissions.get(&number) else {
            return;
        };
        let failure = Failure {
            run_state: submission.run_state(),
            reason: Reason::CallerGone,
            retry_after_millis: None,
        };
        self.answer(now, number, Err(failure), effects);
    }

    pub(super) fn expire_submissions(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let expired: Vec<(u64, RunState)> = self
            .submissions
            .iter()
            .filter(|(_, submission)| now >= submission.answer_deadline())
            .map(|(number, submission)| (*number, submission.run_state()))
            .collect();
        for (number, run_state) in expired {
            let failure = Failure {
                run_state,
                reason: Reason::DeadlineExceeded,
                retry_after_millis: None,
            };
            self.answer(now, number, Err(failure), effects);
        }
    }
}

impl Submission {
    /// When the entry gateway answers even if the scheduler has not reported.
    fn answer_deadline(&self) -> Timestamp {
        match self.phase {
            Phase::Claiming => self.deadline,
            _ => self.deadline.after(DEADLINE_GRACE),
        }
    }

    /// Run state to report if the scheduler has not reported one.
    fn run_state(&self) -> RunState {
        match self.phase {
            Phase::Claiming => RunState::NotRun,
            _ => RunState::MayHaveRun,
        }
    }
}

/// A scheduler knows only its own delegation: a failure that it reports as not
/// run is downgraded if an earlier delegation has started tasks.
fn with_run_state(failure: Failure, submission: &Submission) -> Failure {
    if submission.has_run() {
        return Failure {
            run_state: RunState::MayHaveRun,
            ..failure
        };
    }
    failure
}
