//! A simulated worker.

use std::collections::BTreeMap;

use laurelstile_core::leased::agent::worker::{
    FenceToken, Rejection, RunLists, WorkerClock, WorkerEnd, WorkerEndKind,
};
use laurelstile_core::leased::agent::{CommandAnswer, CommandKind};
use laurelstile_core::leased::task::{RunId, RunNumber, TaskId};
use laurelstile_core::leased::worker_incarnation::{StartTime, WorkerIncarnation};
use laurelstile_history::leased::{Life, Promptness, RunEnd, Seen, StartOrder, TaskName};

/// Longest lease, on the worker's clock, in milliseconds.
const LONGEST_LEASE: u64 = 1_000;
/// How long a stop takes unless told otherwise, in microseconds.
const STOP_TIME: u64 = 30_000;

/// The clock of a worker that starts again under its id reads anything below this, in
/// milliseconds, and another time in each life.
const LATEST_CLOCK: u64 = 10_000_000;
const CLOCK_STRIDE: u64 = 7_368_787;

/// Spreads lives over kinds.
const KIND_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Unix time at which a run begins, in milliseconds.
pub const UNIX_MILLIS: u64 = 1_700_000_000_000;

/// How long after its start a run takes its worker down that does, in microseconds.
pub const CRASH_AFTER: u64 = 10_000;

/// How a worker treats what it is told to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    Well,
    /// Everything fails soon.
    Failing,
    /// Everything stands still.
    Hanging,
    /// Everything takes eight times as long.
    Slow,
}

/// What a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// How long it takes, in microseconds.
    pub duration: u64,
    /// Whether it takes its worker down, after [`CRASH_AFTER`].
    pub crashes: bool,
    /// Whether its order is carried out long after it was sent.
    pub is_late: bool,
}

#[derive(Clone, Debug)]
struct SimRun {
    number: RunNumber,
    crashes_at: Option<u64>,
    started: u64,
    duration: u64,
    ends_at: Option<(u64, WorkerEndKind)>,
    stops_at: Option<u64>,
}

/// What changed at a worker that callers of it want recorded.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// A run began, by an order that was carried out so late.
    Started(RunId, Promptness),
    /// A run ended.
    Ended(TaskId, RunEnd),
}

impl Change {
    /// What is seen of it, at a worker of that life and room; a start was ordered so.
    pub fn seen(self, life: Life, capacity: u32, order: Option<StartOrder>) -> Seen {
        match self {
            Self::Started(run, promptness) => Seen::Started {
                life,
                task: name_of(run.task),
                capacity,
                promptness,
                order,
            },
            Self::Ended(task, how) => Seen::Ended {
                life,
                task: name_of(task),
                how,
            },
        }
    }
}

/// The name of a task in histories.
pub fn name_of(task: TaskId) -> TaskName {
    TaskName {
        job: task.job.0,
        step: task.step,
        index: task.index,
    }
}

/// The label of the workers of a kind.
pub fn name_of_kind(kind: u64) -> String {
    format!("kind-{kind}")
}

/// A worker and its present life.
#[derive(Clone, Debug)]
pub struct SimWorker {
    /// The life; 0 while it is down.
    pub life: Life,
    /// The id under which it registers.
    pub id: String,
    /// Whether it starts again under the id that it had.
    pub keeps_id: bool,
    /// Whether it tells when its process started.
    pub tells_birth: bool,
    /// Its room, in thousandths of a core.
    pub capacity: u32,
    /// Its room when nothing has shrunk it.
    pub full_capacity: u32,
    /// Whether it says that it drains.
    pub draining: bool,
    /// How it treats what it runs.
    pub mood: Mood,
    /// Number of kinds of workers, one of which each life is of; 0 if there are none.
    pub kinds: u64,
    /// Whether leases run out (a switch of the proofs).
    pub has_leases: bool,
    /// How long a stop takes, in microseconds.
    pub stop_time: u64,
    /// Rate of its clock, in thousandths.
    pub clock_permille: u64,
    offset: u64,
    /// When its process started, in microseconds, if it tells; its clock and its counts run from
    /// there.
    counts_from: u64,
    token: FenceToken,
    /// The token that the life before had seen last, under the same id.
    token_before: FenceToken,
    lease: WorkerClock,
    runs: BTreeMap<TaskId, SimRun>,
    highest: BTreeMap<TaskId, RunNumber>,
    ends: Vec<WorkerEnd>,
    last_number: u64,
}

impl SimWorker {
    /// A worker that is down.
    pub fn new(capacity: u32, clock_permille: u64, offset: u64) -> Self {
        Self {
            life: 0,
            id: String::new(),
            keeps_id: false,
            tells_birth: false,
            capacity,
            full_capacity: capacity,
            draining: false,
            mood: Mood::Well,
            kinds: 0,
            has_leases: true,
            stop_time: STOP_TIME,
            clock_permille,
            offset,
            counts_from: 0,
            token: FenceToken::default(),
            token_before: FenceToken::default(),
            lease: WorkerClock::default(),
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
        }
    }

    /// Begins a new life, which knows nothing of the one before.
    pub fn begin(&mut self, now: u64, life: Life) {
        self.life = life;
        if !self.keeps_id || self.id.is_empty() {
            self.id = life.to_string();
        }
        if self.keeps_id {
            self.token_before = self.token_before.max(self.token);
            self.counts_from = now;
            self.offset = life.wrapping_mul(CLOCK_STRIDE) % LATEST_CLOCK;
        }
        self.draining = false;
        self.token = FenceToken::default();
        self.lease = WorkerClock::default();
        self.highest.clear();
        self.ends.clear();
        self.last_number = 0;
    }

    /// Labels of the present life: the name of its kind, if there are kinds.
    pub fn labels(&self) -> Vec<String> {
        let mixed = self.life.wrapping_mul(KIND_MULTIPLIER) >> 32;
        let kind = mixed.checked_rem(self.kinds);
        kind.map(name_of_kind).into_iter().collect()
    }

    /// Ends the life and all that runs.
    pub fn crash(&mut self) -> Vec<Change> {
        self.life = 0;
        let runs = std::mem::take(&mut self.runs);
        runs.into_keys()
            .map(|task| Change::Ended(task, RunEnd::Broken))
            .collect()
    }

    /// Its clock.
    pub fn clock(&self, now: u64) -> WorkerClock {
        WorkerClock(self.offset + (now - self.counts_from) * self.clock_permille / 1_000_000)
    }

    /// The name of its present life.
    pub fn worker_incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation {
            id: self.id.as_str().into(),
            started_at: self.tells_birth.then(|| self.started_at()),
        }
    }

    /// When its process started.
    pub fn started_at(&self) -> StartTime {
        StartTime(UNIX_MILLIS + self.counts_from / 1_000)
    }

    /// Number of a heartbeat that it sends now.
    pub fn sequence(&self, now: u64) -> u64 {
        now - self.counts_from
    }

    /// The task that takes the worker down now, if one does.
    pub fn crashing(&self, now: u64) -> Option<TaskName> {
        let is_due = |run: &SimRun| run.crashes_at.is_some_and(|at| at <= now);
        let mut due = self.runs.iter().filter(|(_, run)| is_due(run));
        due.next().map(|(task, _)| name_of(*task))
    }

    /// Carries out a start or stop; a run does what `plan` says.
    pub fn order(
        &mut self,
        now: u64,
        token: FenceToken,
        kind: &CommandKind,
        plan: RunPlan,
    ) -> (CommandAnswer, Vec<Change>) {
        let mut changes = Vec::new();
        let rejection = if token < self.token {
            Some(Rejection::Fenced)
        } else {
            self.token = token;
            match kind {
                CommandKind::Start {
                    run, lease_until, ..
                } => self.start(now, *run, *lease_until, plan, &mut changes),
                CommandKind::Stop { run } => {
                    self.stop(now, *run);
                    None
                }
                CommandKind::Watch { .. } => None,
            }
        };
        let clock = Some(self.clock(now));
        (CommandAnswer { clock, rejection }, changes)
    }

    fn start(
        &mut self,
        now: u64,
        id: RunId,
        until: WorkerClock,
        plan: RunPlan,
        changes: &mut Vec<Change>,
    ) -> Option<Rejection> {
        self.renew(now, until);
        if until <= self.clock(now) {
            return Some(Rejection::LeaseExpired);
        }
        if let Some(run) = self.runs.get(&id.task) {
            return (run.number != id.run).then_some(Rejection::OldRun);
        }
        if self
            .highest
            .get(&id.task)
            .is_some_and(|highest| id.run <= *highest)
        {
            return Some(Rejection::OldRun);
        }
        let duration = plan.duration;
        let (duration, end) = match self.mood {
            Mood::Well => (duration, Some(WorkerEndKind::Done)),
            Mood::Failing => (duration / 4, Some(WorkerEndKind::Failed)),
            Mood::Slow => (duration * 8, Some(WorkerEndKind::Done)),
            Mood::Hanging => (duration, None),
        };
        let run = SimRun {
            number: id.run,
            started: now,
            duration,
            crashes_at: plan.crashes.then_some(now + CRASH_AFTER),
            ends_at: end.map(|how| (now + duration, how)),
            stops_at: None,
        };
        self.runs.insert(id.task, run);
        changes.push(Change::Started(id, self.promptness(plan)));
        None
    }

    /// How late an order is carried out that has just come with the present token.
    fn promptness(&self, plan: RunPlan) -> Promptness {
        if !plan.is_late {
            Promptness::Prompt
        } else if self.token > self.token_before {
            Promptness::Late
        } else {
            Promptness::LateAndUnreached
        }
    }

    fn stop(&mut self, now: u64, id: RunId) {
        let stops_at = now + self.stop_time;
        let highest = self.highest.entry(id.task).or_default();
        *highest = (*highest).max(id.run);
        if let Some(run) = self.runs.get_mut(&id.task)
            && run.number == id.run
        {
            run.stops_at.get_or_insert(stops_at);
        }
    }

    fn renew(&mut self, now: u64, until: WorkerClock) {
        let longest = WorkerClock(self.clock(now).0 + LONGEST_LEASE);
        self.lease = self.lease.max(until.min(longest));
    }

    /// Takes the tokens that it has seen for higher by that much, if they are below `below`: as if
    /// the wall clock of their agents had been ahead.
    pub fn step_token(&mut self, below: FenceToken, by: u64) {
        if self.token < below {
            self.token = FenceToken(self.token.0 + by);
        }
    }

    /// Takes in the renewal and the acknowledgement of a watch.
    ///
    /// # Errors
    /// If its token is too low.
    pub fn watch(
        &mut self,
        now: u64,
        token: FenceToken,
        last_seen: u64,
        lease: Option<WorkerClock>,
    ) -> Result<(), Rejection> {
        if token < self.token {
            return Err(Rejection::Fenced);
        }
        self.token = token;
        if let Some(lease) = lease {
            self.renew(now, lease);
        }
        self.ends.retain(|end| end.number > last_seen);
        Ok(())
    }

    /// Its lists.
    pub fn lists(&self, now: u64) -> RunLists {
        let running = self.runs.iter().map(|(task, run)| {
            let percent = match run.ends_at {
                Some(_) => (now - run.started) * 100 / run.duration.max(1),
                None => 0,
            };
            let id = RunId {
                task: *task,
                run: run.number,
            };
            (id, u32::try_from(percent.min(99)).unwrap_or(99))
        });
        RunLists {
            running: running.collect(),
            ended: self.ends.clone(),
            unreadable: 0,
            checkpoints: Vec::new(),
        }
    }

    /// Ends what is due: done, failed, stopped, lapsed.
    pub fn settle(&mut self, now: u64) -> Vec<Change> {
        let is_lapsed = self.has_leases && self.clock(now) >= self.lease;
        let mut over = Vec::new();
        for (task, run) in &self.runs {
            let end = run.ends_at.filter(|(at, _)| *at <= now);
            let is_stopped = run.stops_at.is_some_and(|at| at <= now);
            let how = match end {
                Some((_, how)) => how,
                None if is_stopped => WorkerEndKind::Stopped,
                None if is_lapsed => WorkerEndKind::Expired,
                None => continue,
            };
            over.push((*task, run.number, how));
        }
        over.into_iter()
            .map(|(task, number, how)| self.end(task, number, how))
            .collect()
    }

    /// When [`Self::settle`] next ends a run if nothing else happens before; `None` if nothing
    /// runs.
    pub fn next_end(&self) -> Option<u64> {
        let lease_left = self.lease.0.saturating_sub(self.offset) * 1_000_000;
        let expires_at = self.counts_from + lease_left.div_ceil(self.clock_permille);
        let expires_at = self.has_leases.then_some(expires_at);
        let ends = self.runs.values().flat_map(|run| {
            let ends_at = run.ends_at.map(|(at, _)| at);
            [ends_at, run.stops_at, expires_at]
        });
        ends.flatten().min()
    }

    /// All runs stop making progress, and do not end by themselves.
    pub fn stand_still(&mut self) {
        for run in self.runs.values_mut() {
            run.ends_at = None;
        }
    }

    fn end(&mut self, task: TaskId, number: RunNumber, how: WorkerEndKind) -> Change {
        self.runs.remove(&task);
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(number);
        self.last_number += 1;
        self.ends.push(WorkerEnd {
            number: self.last_number,
            run: RunId { task, run: number },
            how,
        });
        let seen = match how {
            WorkerEndKind::Done => RunEnd::Done,
            WorkerEndKind::Failed => RunEnd::Failed,
            WorkerEndKind::Stopped | WorkerEndKind::Expired => RunEnd::Broken,
        };
        Change::Ended(task, seen)
    }

    /// Whether anything runs.
    pub fn is_busy(&self) -> bool {
        !self.runs.is_empty()
    }
}
