//! A gateway's view of the workers, from their agents' reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use super::super::cancel_log::Cancelled;
use super::super::evacuation::Evacuations;
use super::super::messages::{Control, Offer, Report, Snapshot};
use super::super::resources::Resources;
use super::super::task::{JobId, RunId, RunNumber, TaskId};
use super::super::timing::{
    AGENT_EXPIRY, BUSY_HEARTBEAT_INTERVAL, BUSY_SUSPECT_AFTER, IDLE_SUSPECT_AFTER,
};
use super::agent_confirmations::AgentConfirmations;
use super::claim_answers::ClaimAnswers;
use super::job::StepRequest;
use super::worker_usage::WorkerUsage;
use crate::session::{Remote, SessionId};

/// A batch of starts that no report has acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct UnreportedBatch {
    number: u64,
    used: Resources,
    tasks: u32,
}

/// State of a worker and of the session with its agent. There is one for each incarnation of
/// an agent.
#[derive(Debug)]
pub struct Worker {
    /// Name of the agent, which outlives its process.
    pub name: String,
    /// Estimate of when the agent's process started, in microseconds of this gateway's clock. A
    /// delayed handshake makes it too late.
    pub process_started_at: i64,
    /// The open session, if any.
    pub session: Option<SessionId>,
    /// Highest uptime of the agent's process in the handshakes of its sessions.
    latest_uptime: Span,
    /// Number of the latest session on which a snapshot was received; 0 if no snapshot had one.
    latest_number: u64,
    /// What the agent controlled as of its latest snapshot; `None` if that did not say.
    pub control: Option<Control>,
    /// The agent's latest snapshot on this session; `None` before the agent has the worker
    /// under control.
    pub snapshot: Option<Snapshot>,
    /// Latest report of load and free resources.
    pub report: Report,
    /// Use of the worker by queue, as the agent reported on this session.
    pub usage: WorkerUsage,
    /// Latest timestamp of the agent's clock.
    pub clock: Timestamp,
    /// Timestamp that was last echoed to the agent.
    pub echoed: Timestamp,
    /// Time of the latest message from the agent.
    pub last_heard: Timestamp,
    /// Time of the latest message to the agent.
    pub last_sent: Timestamp,
    /// `clock` when the session was opened.
    clock_at_open: Timestamp,
    /// Highest number among the ends that were received from the agent.
    pub last_received_end: u64,
    /// Highest number among the ends that were acknowledged to the agent.
    pub last_acknowledged_end: u64,
    /// This gateway's tasks at the agent.
    pub tasks: BTreeMap<TaskId, RunNumber>,
    /// The subset of `tasks` that are no longer needed and are to be stopped.
    unwanted: BTreeSet<TaskId>,
    /// Whether the worker has crashed and no new incarnation is under control yet.
    pub has_crashed: bool,
    /// Whether another process of the same name has taken control of the worker since the last
    /// message. Either this one has ended, or the other's handshake was delayed.
    pub may_be_succeeded: bool,
    /// The latest task that was placed on the worker to run exclusively; it may have ended.
    pub exclusive_task: Option<TaskId>,
    /// Resources that the agent reserves for this gateway, not answered yet.
    pub offers: Vec<Offer>,
    pub is_evacuated: bool,
    /// Whether the agent has told how queues were served.
    pub has_told_served: bool,
    /// Cancelled jobs that the agent has not been sent on this session.
    unsent_cancels: Vec<Cancelled>,
    /// Which cancellations the agent has confirmed.
    pub confirmations: AgentConfirmations,
    /// Which claims the agent honors.
    pub claims: ClaimAnswers,
    /// Whether the agent's process has announced its end.
    pub is_ending: bool,
    /// Number of the latest batch on this session; 0 before the first.
    last_batch: u64,
    unreported: VecDeque<UnreportedBatch>,
}

impl Worker {
    /// Creates the state of a worker whose agent has just connected for the first time.
    pub fn new(now: Timestamp, remote: &Remote) -> Self {
        Self {
            name: remote.name.clone(),
            process_started_at: process_start(now, remote.uptime),
            session: None,
            latest_uptime: Span::default(),
            latest_number: 0,
            control: None,
            snapshot: None,
            report: Report {
                processed: 0,
                free: Resources::default(),
                limit: 0,
                run_time_percent: 100,
            },
            usage: WorkerUsage::default(),
            clock: Timestamp::default(),
            echoed: Timestamp::default(),
            last_heard: now,
            last_sent: now,
            clock_at_open: Timestamp::default(),
            last_received_end: 0,
            last_acknowledged_end: 0,
            tasks: BTreeMap::new(),
            unwanted: BTreeSet::new(),
            has_crashed: false,
            may_be_succeeded: false,
            exclusive_task: None,
            offers: Vec::new(),
            is_evacuated: false,
            has_told_served: false,
            unsent_cancels: Vec::new(),
            confirmations: AgentConfirmations::default(),
            claims: ClaimAnswers::default(),
            is_ending: false,
            last_batch: 0,
            unreported: VecDeque::new(),
        }
    }

    /// Has a cancelled job sent to the agent with the next message, if a session is open.
    pub fn add_unsent_cancel(&mut self, cancelled: Cancelled) {
        if self.session.is_some() {
            self.unsent_cancels.push(cancelled);
        }
    }

    pub fn has_unsent_cancels(&self) -> bool {
        !self.unsent_cancels.is_empty()
    }

    pub fn take_unsent_cancels(&mut self) -> Vec<Cancelled> {
        std::mem::take(&mut self.unsent_cancels)
    }

    /// Whether the agent has opened a later session than one whose handshake has this uptime.
    pub fn has_later_session(&self, uptime: Span) -> bool {
        uptime < self.latest_uptime
    }

    /// Records the number of a session on which a snapshot was received. Returns `false` if a
    /// snapshot of a later session has been received before.
    pub fn accept_session_number(&mut self, number: u64) -> bool {
        let is_latest = number >= self.latest_number;
        self.latest_number = self.latest_number.max(number);
        is_latest
    }

    /// Resets the session state for a new session, on which the `cancelled` jobs are sent.
    pub fn open_session(
        &mut self,
        now: Timestamp,
        session: SessionId,
        uptime: Span,
        cancelled: Vec<Cancelled>,
    ) {
        self.unsent_cancels = cancelled;
        self.confirmations.open(now);
        self.claims = ClaimAnswers::default();
        let started_at = process_start(now, uptime);
        self.process_started_at = self.process_started_at.min(started_at);
        self.session = Some(session);
        self.latest_uptime = uptime;
        self.snapshot = None;
        self.report.limit = 0;
        self.usage = WorkerUsage::default();
        self.last_heard = now;
        self.last_sent = now;
        self.clock_at_open = self.clock;
        self.last_batch = 0;
        self.offers.clear();
        self.unreported.clear();
    }

    /// Whether a process of the same agent with this start time and control has succeeded this one.
    /// Start times are estimates, which a delayed handshake makes too late; they decide alone only
    /// between agents of older versions. Not known, and so `false`, if only one of the two names its
    /// control.
    pub fn is_succeeded_by(&self, started_at: i64, control: Option<&Control>) -> bool {
        let is_superseded = match (&self.control, control) {
            (Some(own), Some(other)) => other.supersedes(own),
            (None, None) => true,
            _ => false,
        };
        self.process_started_at < started_at && is_superseded
    }

    /// Marks a job's tasks as unwanted and returns them, to be stopped.
    pub fn abandon_job(&mut self, job: JobId) -> Vec<TaskId> {
        let own = self.tasks.keys().filter(|task| task.job == job);
        let tasks: Vec<TaskId> = own.copied().collect();
        self.unwanted.extend(&tasks);
        tasks
    }

    /// The tasks that are to be stopped.
    pub fn unwanted(&self) -> Vec<TaskId> {
        self.unwanted.iter().copied().collect()
    }

    /// The runs of a job's tasks at the agent that have not ended.
    pub fn runs_of(&self, job: JobId) -> impl Iterator<Item = RunId> {
        let own = self.tasks.iter().filter(move |(task, _)| task.job == job);
        own.map(|(task, run)| RunId {
            task: *task,
            run: *run,
        })
    }

    /// Records a placed task.
    pub fn add_task(&mut self, task: TaskId, run: RunNumber) {
        self.unwanted.remove(&task);
        self.tasks.insert(task, run);
    }

    /// Removes a task; returns its run, or `None` if it was not there.
    pub fn remove_task(&mut self, task: TaskId) -> Option<RunNumber> {
        self.unwanted.remove(&task);
        self.tasks.remove(&task)
    }

    /// The recorded tasks that are not among those the agent holds.
    pub fn not_held(&self, held: &[(TaskId, RunNumber)]) -> Vec<TaskId> {
        let own = self.tasks.iter();
        let not_held = own.filter(|(task, run)| !held.contains(&(**task, **run)));
        not_held.map(|(task, _)| *task).collect()
    }

    /// The held tasks of which the gateway has no record, which are to be stopped.
    pub fn orphaned(&self, held: &[(TaskId, RunNumber)]) -> Vec<TaskId> {
        let is_known = |(task, run): &&(TaskId, RunNumber)| self.tasks.get(task) == Some(run);
        let orphaned = held.iter().filter(|held| !is_known(held));
        orphaned.map(|(task, _)| *task).collect()
    }

    /// Applies a report, and drops the batches that it acknowledges.
    pub fn on_report(&mut self, report: Report) {
        self.report = report;
        while self
            .unreported
            .front()
            .is_some_and(|batch| batch.number <= report.processed)
        {
            self.unreported.pop_front();
        }
    }

    /// Records a batch of `tasks` tasks that occupies `used` of the reported free resources;
    /// returns its number.
    pub fn next_batch(&mut self, used: Resources, tasks: u32) -> u64 {
        self.last_batch += 1;
        self.unreported.push_back(UnreportedBatch {
            number: self.last_batch,
            used,
            tasks,
        });
        self.last_batch
    }

    /// Estimated free resources: those reported, less those that unreported batches use.
    pub fn free_resources(&self) -> Resources {
        self.unreported
            .iter()
            .fold(self.report.free, |acc, sent| acc.saturating_sub(sent.used))
    }

    /// Number of tasks that the worker may still receive.
    pub fn remaining_tasks(&self) -> u32 {
        self.unreported
            .iter()
            .fold(self.report.limit, |limit, batch| {
                limit.saturating_sub(batch.tasks)
            })
    }

    /// Updates whether the worker's zone is evacuated.
    pub fn update_evacuation(&mut self, evacuations: &Evacuations) {
        let snapshot = self.snapshot.as_ref();
        self.is_evacuated = snapshot.is_some_and(|snapshot| evacuations.covers(&snapshot.zone));
    }

    /// Whether the agent has been silent for longer than its heartbeats allow.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let bound = if self.tasks.is_empty() {
            IDLE_SUSPECT_AFTER
        } else {
            BUSY_SUSPECT_AFTER
        };
        now.since(self.last_heard) > bound
    }

    /// Whether the agent reports that its worker takes no tasks, as while it drains. A worker on
    /// probation or with an exclusive task reports free resources.
    pub fn is_closed(&self) -> bool {
        self.report.limit == 0 && self.report.free == Resources::default()
    }

    /// Whether the worker may receive tasks of `service` now.
    pub fn is_usable(&self, now: Timestamp, service: &str) -> bool {
        self.session.is_some()
            && !self.is_evacuated
            && !self.may_be_succeeded
            && !self.is_silent(now)
            && self.report.limit > 0
            && self
                .snapshot
                .as_ref()
                .is_some_and(|snapshot| snapshot.service == service)
    }

    /// Whether an exclusive task is at the worker.
    pub fn has_exclusive_task(&self) -> bool {
        self.exclusive_task
            .is_some_and(|task| self.tasks.contains_key(&task))
    }

    /// Free part of the worker's CPU capacity, in thousandths.
    pub fn free_permille(&self) -> u64 {
        let capacity = self.snapshot.as_ref().map(|snapshot| snapshot.capacity);
        let capacity = capacity.unwrap_or_default().cpu_millis.max(1);
        u64::from(self.free_resources().cpu_millis) * 1_000 / u64::from(capacity)
    }

    /// Whether the worker has the label that a step requires, if any.
    pub fn has_required_label(&self, request: &StepRequest) -> bool {
        let label = request.label.as_ref();
        label.is_none_or(|label| self.has_label(label))
    }

    /// Whether all resources of the worker are free.
    pub fn is_idle(&self) -> bool {
        let capacity = self.snapshot.as_ref().map(|snapshot| snapshot.capacity);
        capacity == Some(self.free_resources())
    }

    /// Whether the agent is connected and was heard recently, regardless of the worker's
    /// state.
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        self.session.is_some() && now.since(self.last_heard) <= IDLE_SUSPECT_AFTER
    }

    /// When all runs at the agent are certain to have ended if nothing more is heard of it.
    pub fn expires_at(&self) -> Timestamp {
        self.last_heard.after(Span(AGENT_EXPIRY.0 + 1))
    }

    pub fn has_label(&self, label: &str) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|snapshot| snapshot.labels.iter().any(|own| own == label))
    }

    /// Whether the worker lacks the label near the step's data, if the step has data.
    pub fn is_remote_from(&self, request: &StepRequest) -> bool {
        let near = request.near.as_ref();
        near.is_some_and(|near| !self.has_label(near))
    }

    /// Records that a message with the current echo and acknowledgement is sent.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last_sent = now;
        self.echoed = self.clock;
        self.last_acknowledged_end = self.last_received_end;
    }

    /// When a heartbeat is due to acknowledge an end or echo a timestamp. The first timestamp
    /// on a session is echoed at once: the agent keeps this gateway's runs alive only while
    /// its echoes are recent, and the last one may have aged while there was no session.
    pub fn heartbeat_due(&self) -> Option<Timestamp> {
        self.session?;
        let needs_heartbeat =
            self.clock > self.echoed || self.last_received_end > self.last_acknowledged_end;
        let awaits_echo = self.echoed <= self.clock_at_open;
        let interval = if awaits_echo {
            Span::default()
        } else {
            BUSY_HEARTBEAT_INTERVAL
        };
        needs_heartbeat.then(|| self.last_sent.after(interval))
    }
}

/// When a process with this uptime started, in microseconds of this gateway's clock; negative if
/// that was before the gateway's own start.
fn process_start(now: Timestamp, uptime: Span) -> i64 {
    let micros = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    micros(now.0) - micros(uptime.0)
}
