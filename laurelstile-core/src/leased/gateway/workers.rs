//! The workers as a gateway sees them, through their agents' reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_types::time::{Span, Timestamp};

use super::super::evacuation::Evacuations;
use super::super::messages::{Offer, Report, Snapshot};
use super::super::resources::Resources;
use super::super::task::{JobId, RunNumber, TaskId};
use super::super::timing::{
    AGENT_EXPIRY, BUSY_HEARTBEAT_INTERVAL, BUSY_SUSPECT_AFTER, IDLE_SUSPECT_AFTER,
};
use super::job::StepRequest;
use crate::session::SessionId;

/// A batch of starts that no report has taken into account yet.
#[derive(Clone, Copy, Debug)]
struct Unreported {
    number: u64,
    resources: Resources,
    tasks: u32,
}

/// A worker, by the incarnation of the agent beside it.
#[derive(Debug)]
pub struct Worker {
    /// Name of the agent.
    pub name: String,
    /// Its session, if one is open.
    pub session: Option<SessionId>,
    /// What the worker is; `None` before its agent has it under control.
    pub snapshot: Option<Snapshot>,
    /// The latest report.
    pub report: Report,
    /// The latest reading of the agent's clock.
    pub clock: Timestamp,
    /// The reading that was last echoed.
    pub echoed: Timestamp,
    /// When the agent was last heard.
    pub heard: Timestamp,
    /// When something was last sent to it.
    pub last_sent: Timestamp,
    /// Whether no reading of its clock was echoed over its session yet.
    pub awaits_echo: bool,
    /// The highest number of an end that was taken in.
    pub seen: u64,
    /// The highest number that was acknowledged.
    pub acknowledged: u64,
    /// This gateway's tasks there.
    pub tasks: BTreeMap<TaskId, RunNumber>,
    /// Those of them that nobody waits for any more.
    unwanted: BTreeSet<TaskId>,
    /// Whether its life has crashed and no other is under control yet.
    pub has_crashed: bool,
    /// The task that is to run alone there.
    pub alone: Option<TaskId>,
    /// Room that its agent holds for this gateway, not answered yet.
    pub offers: Vec<Offer>,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
    batches: u64,
    unreported: VecDeque<Unreported>,
}

impl Worker {
    /// A worker whose agent has just been met.
    pub fn new(now: Timestamp, name: String) -> Self {
        Self {
            name,
            session: None,
            snapshot: None,
            report: Report {
                processed: 0,
                free: Resources::default(),
                limit: 0,
                run_time_percent: 100,
            },
            clock: Timestamp::default(),
            echoed: Timestamp::default(),
            heard: now,
            last_sent: now,
            awaits_echo: true,
            seen: 0,
            acknowledged: 0,
            tasks: BTreeMap::new(),
            unwanted: BTreeSet::new(),
            has_crashed: false,
            alone: None,
            offers: Vec::new(),
            is_evacuated: false,
            batches: 0,
            unreported: VecDeque::new(),
        }
    }

    /// A new session is open.
    pub fn open(&mut self, now: Timestamp, session: SessionId) {
        self.session = Some(session);
        self.snapshot = None;
        self.report.limit = 0;
        self.heard = now;
        self.last_sent = now;
        self.awaits_echo = true;
        self.batches = 0;
        self.offers.clear();
        self.unreported.clear();
    }

    /// Nobody waits for a job any more: its tasks here, which are to be stopped.
    pub fn give_up(&mut self, job: JobId) -> Vec<TaskId> {
        let own = self.tasks.keys().filter(|task| task.job == job);
        let tasks: Vec<TaskId> = own.copied().collect();
        self.unwanted.extend(&tasks);
        tasks
    }

    /// A task has been placed there.
    pub fn place(&mut self, task: TaskId, run: RunNumber) {
        self.unwanted.remove(&task);
        self.tasks.insert(task, run);
    }

    /// A task is there no more; its run, if it was.
    pub fn end(&mut self, task: TaskId) -> Option<RunNumber> {
        self.unwanted.remove(&task);
        self.tasks.remove(&task)
    }

    /// The tasks that are there no more, where the agent holds but `held`.
    pub fn missing(&self, held: &[(TaskId, RunNumber)]) -> Vec<TaskId> {
        let own = self.tasks.iter();
        let missing = own.filter(|(task, run)| !held.contains(&(**task, **run)));
        missing.map(|(task, _)| *task).collect()
    }

    /// What the agent holds and nobody waits for: the stop found no session, or was lost with
    /// it.
    pub fn left_over(&self, held: &[(TaskId, RunNumber)]) -> Vec<TaskId> {
        let is_wanted = |(task, run): &&(TaskId, RunNumber)| {
            self.tasks.get(task) == Some(run) && !self.unwanted.contains(task)
        };
        let left_over = held.iter().filter(|held| !is_wanted(held));
        left_over.map(|(task, _)| *task).collect()
    }

    /// Takes a report in.
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

    /// Number of the next batch, which has `tasks` tasks that take `room` together of
    /// what was reported as free.
    pub fn next_batch(&mut self, resources: Resources, tasks: u32) -> u64 {
        self.batches += 1;
        self.unreported.push_back(Unreported {
            number: self.batches,
            resources,
            tasks,
        });
        self.batches
    }

    /// Room that is free, as far as this gateway knows.
    pub fn free_room(&self) -> Resources {
        self.unreported
            .iter()
            .fold(self.report.free, |free, batch| {
                free.saturating_sub(batch.resources)
            })
    }

    /// Tasks that it may still be given.
    pub fn limit(&self) -> u32 {
        self.unreported
            .iter()
            .fold(self.report.limit, |limit, batch| {
                limit.saturating_sub(batch.tasks)
            })
    }

    /// Takes in which zones are evacuated.
    pub fn note_evacuations(&mut self, evacuations: &Evacuations) {
        let snapshot = self.snapshot.as_ref();
        self.is_evacuated = snapshot.is_some_and(|known| evacuations.covers(&known.zone));
    }

    /// Whether it may be given tasks of `service` now.
    pub fn is_usable(&self, now: Timestamp, service: &str) -> bool {
        let silence = now.since(self.heard);
        let bound = if self.tasks.is_empty() {
            IDLE_SUSPECT_AFTER
        } else {
            BUSY_SUSPECT_AFTER
        };
        self.session.is_some()
            && !self.is_evacuated
            && silence <= bound
            && self.report.limit > 0
            && self
                .snapshot
                .as_ref()
                .is_some_and(|snapshot| snapshot.service == service)
    }

    /// Whether a task that is to run alone is there.
    pub fn has_alone(&self) -> bool {
        self.alone
            .is_some_and(|task| self.tasks.contains_key(&task))
    }

    /// How much of its room is free, in thousandths.
    pub fn free_permille(&self) -> u64 {
        let capacity = self.snapshot.as_ref().map(|known| known.capacity);
        let capacity = capacity.unwrap_or_default().cpu_millis.max(1);
        u64::from(self.free_room().cpu_millis) * 1_000 / u64::from(capacity)
    }

    /// Whether it has the label that a step asks for, if any.
    pub fn fulfils(&self, request: &StepRequest) -> bool {
        let label = request.label.as_ref();
        label.is_none_or(|label| self.has_label(label))
    }

    /// Whether all its room is free.
    pub fn is_idle(&self) -> bool {
        let capacity = self.snapshot.as_ref().map(|snapshot| snapshot.capacity);
        capacity == Some(self.free_room())
    }

    /// Whether its agent is there, whatever its worker does.
    pub fn is_present(&self, now: Timestamp) -> bool {
        self.session.is_some() && now.since(self.heard) <= IDLE_SUSPECT_AFTER
    }

    /// When its runs are over for certain, if nothing is heard of its agent.
    pub fn lapses_at(&self) -> Timestamp {
        self.heard.after(Span(AGENT_EXPIRY.0 + 1))
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|snapshot| snapshot.labels.iter().any(|own| own == label))
    }

    /// Notes that a message with all that is owed is sent at `now`.
    pub fn note_sent(&mut self, now: Timestamp) {
        self.awaits_echo &= self.clock <= self.echoed;
        self.last_sent = now;
        self.echoed = self.clock;
        self.acknowledged = self.seen;
    }

    /// When a heartbeat is due: an end is to be acknowledged, or a reading echoed. The first
    /// reading over a session is echoed at once: the agent's runs live on for this gateway by
    /// its readings alone, and a break of the session has let the last one grow old.
    pub fn beat_due(&self) -> Option<Timestamp> {
        self.session?;
        let owes_answer = self.clock > self.echoed || self.seen > self.acknowledged;
        let pause = if self.awaits_echo {
            Span::default()
        } else {
            BUSY_HEARTBEAT_INTERVAL
        };
        owes_answer.then(|| self.last_sent.after(pause))
    }
}
