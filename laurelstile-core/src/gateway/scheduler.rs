//! The scheduler of a pool: holds delegated jobs, sends their tasks to free
//! slots in the order of the queue, and gathers whole answers.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::{
    ClassName, DispatchId, Incarnation, PoolName, ServiceName, SubmissionId, TenantName,
};
use laurelstile_types::outcome::{Failure, Reason, RunState};
use laurelstile_types::time::{Span, Timestamp};

use super::job::{ClassMean, Job, Running};
use super::links::{Link, LinkIndex, Links};
use super::queue::{Order, Queue};
use crate::messages::agent::{Fate, NotStartedReason, StartTask, TaskOutcome};
use crate::messages::peer::{
    DelegatedTask, Delegation, DelegationEnd, DelegationKey, DelegationOutcome, TaskOutput,
};

/// How long a job waits before it is sent back as too old for every agent.
const SEND_BACK_AFTER: Span = Span::from_millis(200);

/// Where a delegation comes from.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Incarnation of the entry gateway.
    pub entry: Incarnation,
    /// A time, on this gateway's clock, not later than that of the delegation;
    /// `None` for a job of this gateway's own.
    pub delegated: Option<Timestamp>,
}

/// A job whose end the entry gateway has not acknowledged.
#[derive(Debug)]
struct Ended {
    entry: Incarnation,
    end: DelegationEnd,
    touched: BTreeSet<LinkIndex>,
}

/// An end that is to be told to an entry gateway.
#[derive(Debug)]
pub struct EndFor {
    /// Incarnation of the entry gateway.
    pub entry: Incarnation,
    /// The end.
    pub end: DelegationEnd,
}

/// The jobs that this gateway schedules.
#[derive(Debug)]
pub struct Scheduler {
    order: Order,
    queues: BTreeMap<PoolName, Queue>,
    jobs: BTreeMap<SubmissionId, Job>,
    deadlines: BTreeSet<(Timestamp, SubmissionId)>,
    ended: BTreeMap<SubmissionId, Ended>,
    means: BTreeMap<(ServiceName, ClassName), ClassMean>,
    ends: Vec<EndFor>,
    late_results: u64,
}

impl Scheduler {
    /// A scheduler without jobs.
    pub fn new(order: Order) -> Self {
        Self {
            order,
            queues: BTreeMap::new(),
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            ended: BTreeMap::new(),
            means: BTreeMap::new(),
            ends: Vec::new(),
            late_results: 0,
        }
    }

    /// Takes over the capacity of the pools of a new configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        for pool in &configuration.pools {
            let slots = pool.slots();
            let queue = self.queue(&pool.name, slots);
            queue.set_slots(slots);
            for tenant in &configuration.tenants {
                queue.set_quota(&tenant.name, tenant.quota_slots);
            }
        }
    }

    /// Takes over the slots that are in service, by which waiting times are
    /// estimated. A pool without any keeps the number that it had.
    pub fn set_slots_in_service(&mut self, slots: &BTreeMap<PoolName, u32>) {
        for (pool, slots) in slots {
            if let Some(queue) = self.queues.get_mut(pool) {
                queue.set_slots(*slots);
            }
        }
    }

    /// Jobs that are not ended.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Tasks that wait in all queues.
    pub fn queued_tasks(&self) -> u64 {
        self.queues
            .values()
            .map(|queue| u64::from(queue.queued_tasks()))
            .sum()
    }

    /// Tasks that wait, by pool.
    pub fn waiting(&self) -> Vec<(PoolName, u32)> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.queued_tasks() > 0)
            .map(|(pool, queue)| (pool.clone(), queue.queued_tasks()))
            .collect()
    }

    /// Results that came for jobs that were over.
    pub fn late_results(&self) -> u64 {
        self.late_results
    }

    /// Whether that very delegation is here, ended or not.
    pub fn has(&self, key: DelegationKey) -> bool {
        let running = self.jobs.get(&key.submission).map(|job| job.key);
        let ended = self.ended.get(&key.submission).map(|ended| ended.end.key);
        running == Some(key) || ended == Some(key)
    }

    /// Whether a task of `submission` is unresolved here.
    pub fn runs(&self, dispatch: DispatchId) -> bool {
        self.jobs
            .get(&dispatch.submission)
            .is_some_and(|job| job.runs(dispatch))
    }

    /// Takes a job in, whole or not at all.
    ///
    /// # Errors
    /// Why it is refused; nothing of it was or will be started.
    pub fn accept(
        &mut self,
        now: Timestamp,
        origin: Origin,
        delegation: Delegation,
        configuration: &Configuration,
        links: &mut Links,
    ) -> Result<(), Failure> {
        // An older delegation of the same submission has been recovered.
        self.forget_everywhere(delegation.key.submission, links);
        let task_mean = self.task_mean(configuration, &delegation.service, &delegation.class);
        let weight = configuration
            .tenant(&delegation.tenant)
            .map_or(1, |tenant| tenant.weight);
        let job = Job {
            key: delegation.key,
            entry: origin.entry,
            pool: delegation.pool,
            service: delegation.service,
            class: delegation.class,
            tenant: delegation.tenant,
            weight,
            arrival: now,
            delegated: origin.delegated,
            deadline: now.after(delegation.time_left),
            task_mean,
            task_count: delegation.tasks.len(),
            waiting: delegation.tasks.into(),
            running: BTreeMap::new(),
            outputs: Vec::new(),
            touched: BTreeSet::new(),
            place: None,
        };
        // A recovered submission was admitted before.
        let is_first = job.key.delegation == FIRST_DELEGATION;
        if is_first {
            self.admit(&job, delegation.time_left, configuration)?;
        }
        let submission = job.key.submission;
        self.deadlines.insert((job.deadline, submission));
        self.enqueue_tasks(&job.pool, &job.tenant, job.waiting.len(), job.task_mean);
        self.jobs.insert(submission, job);
        self.replace(submission);
        Ok(())
    }

    fn admit(
        &self,
        job: &Job,
        time_left: Span,
        configuration: &Configuration,
    ) -> Result<(), Failure> {
        let (Some(queue), Some(pool)) = (self.queues.get(&job.pool), configuration.pool(&job.pool))
        else {
            return Err(Failure::not_run(Reason::NoConfiguration));
        };
        let tasks = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let refuse = |reason| {
            let mut failure = Failure::not_run(reason);
            failure.retry_after_millis = Some(queue.backlog().as_millis().max(1));
            Err(failure)
        };
        if queue.queued_tasks().saturating_add(tasks) > pool.max_queued_tasks {
            return refuse(Reason::Overloaded);
        }
        let limit = configuration
            .tenant(&job.tenant)
            .map_or(0, |tenant| tenant.max_queued_tasks);
        if queue.queued_tasks_of(&job.tenant).saturating_add(tasks) > limit {
            return refuse(Reason::TenantOverQuota);
        }
        let place = queue.place(job.claim());
        let before = queue.backlog_before(place, |submission| {
            self.jobs
                .get(&submission)
                .map_or(Span::default(), Job::remaining)
        });
        let own = Span(job.remaining().0 / u64::from(queue.slots())).max(job.task_mean);
        if before.0 + own.0 > time_left.0 {
            return refuse(Reason::DeadlineUnreachable);
        }
        Ok(())
    }

    /// Chooses tasks for free slots, best job first, best agent first.
    pub fn dispatch(
        &mut self,
        now: Timestamp,
        links: &mut Links,
    ) -> BTreeMap<LinkIndex, Vec<StartTask>> {
        let mut starts: BTreeMap<LinkIndex, Vec<StartTask>> = BTreeMap::new();
        for (pool, _) in self.waiting() {
            let mut passed_over = BTreeSet::new();
            while let Some(link) = links.preferred(&pool, &passed_over) {
                let Some(submission) = self.next_for(now, &pool, links.get(link)) else {
                    passed_over.insert(link);
                    continue;
                };
                match self.start_next(now, submission, link, links) {
                    Some(task) => starts.entry(link).or_default().push(task),
                    None => self.fail(submission, Reason::DeadlineExceeded, links),
                }
            }
        }
        starts
    }

    /// The job whose task goes next to an agent.
    fn next_for(&self, now: Timestamp, pool: &PoolName, link: &Link) -> Option<SubmissionId> {
        let queue = self.queues.get(pool)?;
        queue.next(|submission| {
            self.jobs
                .get(&submission)
                .is_some_and(|job| link.takes(job.age(now)))
        })
    }

    /// Takes the job's next task for a slot of `link`; `None` past the
    /// deadline, after which no task may start.
    fn start_next(
        &mut self,
        now: Timestamp,
        submission: SubmissionId,
        link: LinkIndex,
        links: &mut Links,
    ) -> Option<StartTask> {
        let job = self.jobs.get_mut(&submission)?;
        if now >= job.deadline {
            return None;
        }
        let task = job.waiting.pop_front()?;
        let dispatch = DispatchId {
            submission,
            task: task.index,
            delegation: job.key.delegation,
        };
        let running = Running {
            link,
            input: task.input.clone(),
        };
        job.running.insert(task.index, running);
        job.touched.insert(link);
        let start = StartTask {
            dispatch,
            service: job.service.clone(),
            class: job.class.clone(),
            age: job.age(now),
            time_left: job.deadline.since(now),
            input: task.input,
        };
        if let Some(queue) = self.queues.get_mut(&job.pool) {
            queue.remove_tasks(&job.tenant, 1, job.task_mean);
            queue.occupy(&job.tenant);
        }
        self.replace(submission);
        let agent = links.get_mut(link);
        agent.unresolved.insert(dispatch);
        agent.sent += 1;
        links.refresh(now, link);
        Some(start)
    }

    /// A task has ended.
    pub fn on_end_of_task(
        &mut self,
        now: Timestamp,
        dispatch: DispatchId,
        run: Span,
        outcome: TaskOutcome,
        links: &mut Links,
    ) {
        let Some(link) = self.vacate(dispatch, links) else {
            self.late_results += 1;
            return;
        };
        let submission = dispatch.submission;
        match outcome {
            TaskOutcome::Output(output) => {
                self.learn(submission, link, run, links);
                let Some(job) = self.jobs.get_mut(&submission) else {
                    return;
                };
                job.outputs.push(TaskOutput {
                    index: dispatch.task,
                    output,
                });
                if job.outputs.len() == job.task_count {
                    self.complete(submission);
                }
            }
            TaskOutcome::Failed => self.fail_after_run(submission, Reason::TaskFailed, links),
            TaskOutcome::Unknown | TaskOutcome::Cancelled | TaskOutcome::OutputLost => {
                self.fail_after_run(submission, Reason::WorkerLost, links);
            }
        }
        links.refresh(now, link);
    }

    /// A dispatch was proved not to have been started.
    pub fn on_not_started(
        &mut self,
        now: Timestamp,
        dispatch: DispatchId,
        reason: NotStartedReason,
        links: &mut Links,
    ) {
        match reason {
            NotStartedReason::Fenced => {
                let current = self.jobs.get(&dispatch.submission).map(|job| job.key);
                if current.is_some_and(|key| key.delegation == dispatch.delegation) {
                    self.forget_everywhere(dispatch.submission, links);
                }
            }
            NotStartedReason::Duplicate => {
                self.vacate(dispatch, links);
                self.fail_after_run(dispatch.submission, Reason::WorkerLost, links);
            }
            NotStartedReason::Full
            | NotStartedReason::Draining
            | NotStartedReason::StaleRevision
            | NotStartedReason::StaleSender
            | NotStartedReason::OlderThanAgent
            | NotStartedReason::BackendUnreachable => self.requeue(now, dispatch, links),
        }
    }

    /// The fate of a dispatch of an earlier session is known.
    pub fn on_fate(&mut self, now: Timestamp, dispatch: DispatchId, fate: Fate, links: &mut Links) {
        match fate {
            Fate::Running => {}
            Fate::NeverReceived => self.requeue(now, dispatch, links),
            Fate::Finished {
                run_micros,
                outcome,
            } => self.on_end_of_task(now, dispatch, Span(run_micros), outcome, links),
        }
    }

    /// An agent's incarnation is gone: what it had cannot be known any more.
    pub fn on_agent_lost(&mut self, link: LinkIndex, links: &mut Links) {
        let unresolved = std::mem::take(&mut links.get_mut(link).unresolved);
        let submissions: BTreeSet<SubmissionId> = unresolved
            .iter()
            .map(|dispatch| dispatch.submission)
            .collect();
        for submission in submissions {
            self.fail_after_run(submission, Reason::WorkerLost, links);
        }
    }

    /// Fails the jobs whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp, links: &mut Links) {
        while let Some((deadline, submission)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            self.fail(submission, Reason::DeadlineExceeded, links);
        }
    }

    /// Sends back the jobs of which nothing was sent out and that no agent
    /// takes, since all joined the pool after the delegation. A new delegation
    /// of them is younger than those agents.
    pub fn send_back_too_old(&mut self, now: Timestamp, links: &mut Links) {
        let too_old: Vec<SubmissionId> = self
            .jobs
            .values()
            .filter(|job| job.touched.is_empty() && job.delegated.is_some())
            .filter(|job| links.all_younger(&job.pool, job.delegated.unwrap_or_default()))
            .filter(|job| now.since(job.arrival) > SEND_BACK_AFTER)
            .map(|job| job.key.submission)
            .collect();
        for submission in too_old {
            if let Some(job) = self.remove(submission, links) {
                let end = DelegationEnd {
                    key: job.key,
                    outcome: DelegationOutcome::SentBack,
                };
                self.tell(job.entry, end, job.touched);
            }
        }
    }

    /// The entry gateway has given a delegation up: stop it.
    pub fn withdraw(&mut self, key: DelegationKey, links: &mut Links) {
        if self.jobs.get(&key.submission).map(|job| job.key) == Some(key) {
            self.cancel_running(key.submission, links);
            if let Some(job) = self.remove(key.submission, links) {
                release(key.submission, &job.touched, links);
            }
        }
        self.acknowledge(key.submission, links);
    }

    /// The entry gateway has the end of a job: agents may forget it.
    pub fn acknowledge(&mut self, submission: SubmissionId, links: &mut Links) {
        if let Some(ended) = self.ended.remove(&submission) {
            release(submission, &ended.touched, links);
        }
    }

    /// Another gateway has taken over older delegations than `fence`.
    pub fn supersede(&mut self, fence: DelegationKey, links: &mut Links) {
        let current = self.jobs.get(&fence.submission).map(|job| job.key);
        if current.is_some_and(|key| key.delegation < fence.delegation) {
            self.forget_everywhere(fence.submission, links);
        }
    }

    /// Forgets the jobs of `entry` that are not among `kept`, since that
    /// gateway has recovered or given up the others.
    pub fn keep_only(
        &mut self,
        entry: Incarnation,
        kept: &BTreeSet<DelegationKey>,
        links: &mut Links,
    ) {
        for key in self.keys_of(entry) {
            if !kept.contains(&key) {
                self.forget_everywhere(key.submission, links);
            }
        }
        self.ended
            .retain(|_, ended| ended.entry != entry || kept.contains(&ended.end.key));
    }

    /// The entry gateway is gone: nobody waits for its jobs. Agents are not
    /// told to forget what they started, since the gateway may yet be alive.
    pub fn on_entry_lost(&mut self, entry: Incarnation, links: &mut Links) {
        for key in self.keys_of(entry) {
            self.cancel_running(key.submission, links);
            self.forget_everywhere(key.submission, links);
        }
        self.ended.retain(|_, ended| ended.entry != entry);
    }

    /// Ends that `entry` has not acknowledged.
    pub fn unacknowledged(&self, entry: Incarnation) -> Vec<DelegationEnd> {
        self.ended
            .values()
            .filter(|ended| ended.entry == entry)
            .map(|ended| ended.end.clone())
            .collect()
    }

    /// Takes the ends that are to be told.
    pub fn take_ends(&mut self) -> Vec<EndFor> {
        std::mem::take(&mut self.ends)
    }

    fn keys_of(&self, entry: Incarnation) -> Vec<DelegationKey> {
        self.jobs
            .values()
            .filter(|job| job.entry == entry)
            .map(|job| job.key)
            .collect()
    }

    fn queue(&mut self, pool: &PoolName, slots: u32) -> &mut Queue {
        let order = self.order;
        self.queues
            .entry(pool.clone())
            .or_insert_with(|| Queue::new(order, slots))
    }

    fn enqueue_tasks(&mut self, pool: &PoolName, tenant: &TenantName, tasks: usize, mean: Span) {
        let work = Span(mean.0 * tasks as u64);
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.add_tasks(tenant, tasks, work);
        }
    }

    /// Puts a job at the place that its remaining work gives.
    fn replace(&mut self, submission: SubmissionId) {
        let Some(job) = self.jobs.get_mut(&submission) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&job.pool) else {
            return;
        };
        if let Some(place) = job.place.take() {
            queue.remove(&job.tenant, place, submission);
        }
        if !job.waiting.is_empty() {
            let place = queue.place(job.claim());
            queue.insert(&job.tenant, place, submission);
            job.place = Some(place);
        }
    }

    /// Notes that a dispatch is resolved; gives its link if the job is here.
    fn vacate(&mut self, dispatch: DispatchId, links: &mut Links) -> Option<LinkIndex> {
        let job = self.jobs.get_mut(&dispatch.submission)?;
        if !job.runs(dispatch) {
            return None;
        }
        let running = job.running.remove(&dispatch.task)?;
        links.get_mut(running.link).unresolved.remove(&dispatch);
        if let Some(queue) = self.queues.get_mut(&job.pool) {
            queue.vacate(&job.tenant);
        }
        Some(running.link)
    }

    fn requeue(&mut self, now: Timestamp, dispatch: DispatchId, links: &mut Links) {
        let submission = dispatch.submission;
        let input = self
            .jobs
            .get(&submission)
            .filter(|job| job.runs(dispatch))
            .and_then(|job| job.running.get(&dispatch.task))
            .map(|running| running.input.clone());
        let (Some(input), Some(link)) = (input, self.vacate(dispatch, links)) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&submission) {
            job.waiting.push_front(DelegatedTask {
                index: dispatch.task,
                input,
            });
            let (pool, tenant, mean) = (job.pool.clone(), job.tenant.clone(), job.task_mean);
            self.enqueue_tasks(&pool, &tenant, 1, mean);
        }
        self.replace(submission);
        links.refresh(now, link);
    }

    fn complete(&mut self, submission: SubmissionId) {
        let Some(job) = self.jobs.remove(&submission) else {
            return;
        };
        self.deadlines.remove(&(job.deadline, submission));
        let end = DelegationEnd {
            key: job.key,
            outcome: DelegationOutcome::Complete(job.outputs),
        };
        self.tell(job.entry, end, job.touched);
    }

    fn fail(&mut self, submission: SubmissionId, reason: Reason, links: &mut Links) {
        let Some(job) = self.jobs.get(&submission) else {
            return;
        };
        let failure = if job.outputs.is_empty() && job.running.is_empty() {
            Failure::not_run(reason)
        } else {
            Failure::may_have_run(reason)
        };
        self.end_with(submission, failure, links);
    }

    fn fail_after_run(&mut self, submission: SubmissionId, reason: Reason, links: &mut Links) {
        self.end_with(submission, Failure::may_have_run(reason), links);
    }

    fn end_with(&mut self, submission: SubmissionId, failure: Failure, links: &mut Links) {
        self.cancel_running(submission, links);
        let Some(job) = self.remove(submission, links) else {
            return;
        };
        debug_assert!(failure.run_state == RunState::MayHaveRun || job.outputs.is_empty());
        let end = DelegationEnd {
            key: job.key,
            outcome: DelegationOutcome::Failed(failure),
        };
        self.tell(job.entry, end, job.touched);
    }

    fn tell(&mut self, entry: Incarnation, end: DelegationEnd, touched: BTreeSet<LinkIndex>) {
        self.ends.push(EndFor {
            entry,
            end: end.clone(),
        });
        let ended = Ended {
            entry,
            end,
            touched,
        };
        self.ended.insert(ended.end.key.submission, ended);
    }

    /// Asks the agents to stop what runs of a job.
    fn cancel_running(&mut self, submission: SubmissionId, links: &mut Links) {
        let Some(job) = self.jobs.get(&submission) else {
            return;
        };
        let at: BTreeSet<LinkIndex> = job.running.values().map(|running| running.link).collect();
        for link in at {
            links.get_mut(link).cancel.push(submission);
        }
    }

    /// Takes a job out of every list, without an end.
    fn remove(&mut self, submission: SubmissionId, links: &mut Links) -> Option<Job> {
        let job = self.jobs.remove(&submission)?;
        self.deadlines.remove(&(job.deadline, submission));
        if let Some(queue) = self.queues.get_mut(&job.pool) {
            if let Some(place) = job.place {
                queue.remove(&job.tenant, place, submission);
            }
            let waiting = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
            queue.remove_tasks(&job.tenant, waiting, job.remaining());
            for _ in &job.running {
                queue.vacate(&job.tenant);
            }
        }
        for (task, running) in &job.running {
            let dispatch = DispatchId {
                submission,
                task: *task,
                delegation: job.key.delegation,
            };
            links.get_mut(running.link).unresolved.remove(&dispatch);
        }
        Some(job)
    }

    fn forget_everywhere(&mut self, submission: SubmissionId, links: &mut Links) {
        self.remove(submission, links);
        self.ended.remove(&submission);
    }

    fn task_mean(
        &self,
        configuration: &Configuration,
        service: &ServiceName,
        class: &ClassName,
    ) -> Span {
        if let Some(mean) = self.means.get(&(service.clone(), class.clone())) {
            return mean.span();
        }
        configuration
            .service(service)
            .and_then(|service| service.class(class))
            .map_or(Span::from_millis(1), |class| {
                Span::from_millis(class.expected_millis)
            })
    }

    fn learn(&mut self, submission: SubmissionId, link: LinkIndex, run: Span, links: &mut Links) {
        let Some(job) = self.jobs.get(&submission) else {
            return;
        };
        let key = (job.service.clone(), job.class.clone());
        let mean = self
            .means
            .entry(key)
            .or_insert_with(|| ClassMean::from(job.task_mean));
        mean.learn(run);
        links.get_mut(link).note_run(run, mean.span());
    }
}

/// Number of the first delegation of every submission.
pub const FIRST_DELEGATION: u32 = 1;

fn release(submission: SubmissionId, touched: &BTreeSet<LinkIndex>, links: &mut Links) {
    for link in touched {
        links.get_mut(*link).release.push(submission);
    }
}
