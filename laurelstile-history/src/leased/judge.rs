//! Judges a history of leased workers.

use std::collections::{BTreeMap, BTreeSet};

use super::{Life, Promptness, Record, Rule, RunEnd, Seen, TaskName, Told, Violation};

/// Times that the judge allows.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the acknowledgement of a drain to the last start, in microseconds.
    pub drain_micros: u64,
    /// From the acknowledgement of a zone's evacuation to the last start there, in
    /// microseconds.
    pub evacuate_micros: u64,
    /// How long room that a worker no longer has may be used, in microseconds: until its
    /// next heartbeat, and some.
    pub shrink_micros: u64,
    /// From the acknowledgement of a cancel to the last start of the job, and the last moment
    /// at which it runs, in microseconds.
    pub cancel_micros: u64,
    /// How long a run may last beyond that which was started late: counted from its start,
    /// in microseconds.
    pub late_start_micros: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_micros: 2_000_000,
            evacuate_micros: 1_500_000,
            shrink_micros: 4_500_000,
            cancel_micros: 3_100_000,
            late_start_micros: 3_100_000,
        }
    }
}

/// Workers that must have crashed under a task that takes them down before its starts are
/// counted.
const CRASHES: u32 = 3;
/// Starts after that which are too many.
const STARTS_AFTER_CRASHES: u32 = 3;
/// Workers that must have crashed under a task before its job may be shown as failed for it.
const CRASHES_THAT_FAIL: u32 = 2;

/// A task under which workers have crashed.
#[derive(Debug, Default)]
struct Crashes {
    workers: u32,
    /// Whether it has taken one of them down.
    is_poison: bool,
    /// Starts since [`CRASHES`] workers were down.
    starts: u32,
}

#[derive(Debug)]
struct JobSeen {
    tasks: Vec<u32>,
    room: u32,
    max_attempts: u32,
    calls: u32,
    refusals: u32,
    first_start: Option<u64>,
    cancelled: Option<u64>,
}

#[derive(Debug, Default)]
struct Judge {
    jobs: BTreeMap<u64, JobSeen>,
    running: BTreeMap<TaskName, BTreeMap<Life, u64>>,
    /// The rooms that lives had before, and until when.
    rooms_before: BTreeMap<Life, Vec<(u64, u32)>>,
    last: u64,
    taken: BTreeMap<Life, u32>,
    done: BTreeSet<TaskName>,
    failures: BTreeMap<TaskName, u32>,
    crashes: BTreeMap<TaskName, Crashes>,
    drained: BTreeMap<Life, u64>,
    zones: BTreeMap<Life, String>,
    /// The labels that jobs require, and those that lives of workers have.
    required: BTreeMap<u64, String>,
    labels: BTreeMap<Life, Vec<String>>,
    evacuated: BTreeMap<String, u64>,
    versions: BTreeMap<u64, u64>,
    violations: Vec<Violation>,
}

/// The rules that a history breaks.
pub fn judge(records: &[Record], bounds: Bounds) -> Vec<Violation> {
    let mut judge = Judge::default();
    for record in records {
        judge.take(record, bounds);
    }
    judge.close(bounds);
    judge.violations
}

impl Judge {
    fn take(&mut self, record: &Record, bounds: Bounds) {
        let at = record.at;
        self.last = at;
        match &record.seen {
            Seen::Submitted {
                job,
                tasks,
                room,
                max_attempts,
                ..
            } => self.on_submitted(*job, tasks, *room, *max_attempts),
            Seen::Answered {
                job,
                told,
                in_planned_stop,
            } => self.on_answered(at, *job, *told, *in_planned_stop),
            Seen::Began { life, zone } => {
                self.zones.insert(*life, zone.clone());
            }
            Seen::Requires { job, label } => {
                self.required.insert(*job, label.clone());
            }
            Seen::Labelled { life, labels } => {
                self.labels.insert(*life, labels.clone());
            }
            Seen::Evacuated { zone } => {
                self.evacuated.entry(zone.clone()).or_insert(at);
            }
            Seen::TakenBack { zone } => {
                self.evacuated.remove(zone);
            }
            Seen::Started {
                life,
                task,
                capacity,
                promptness,
                ..
            } => {
                self.on_started(at, *life, *task, *capacity, bounds);
                if promptness.is_prompt() {
                    self.check_bounds(at, *life, *task, bounds);
                }
                if *promptness != Promptness::LateAndUnreached {
                    self.check_one_run(at, *life, *task);
                }
            }
            Seen::Ended { life, task, how } => self.on_ended(at, *life, *task, *how, bounds),
            Seen::StopReceived { .. } | Seen::Acknowledged { .. } => {}
            Seen::Capacity { life, before } => {
                let rooms = self.rooms_before.entry(*life).or_default();
                rooms.push((at, *before));
            }
            Seen::Cancelled { job } => {
                if let Some(seen) = self.jobs.get_mut(job) {
                    seen.cancelled.get_or_insert(at);
                }
            }
            Seen::Crashed { life, by } => self.on_crashed(*life, *by),
            Seen::DrainAcknowledged { life } => {
                self.drained.entry(*life).or_insert(at);
            }
            Seen::InForce { gateway, version } => self.on_in_force(at, *gateway, *version),
        }
    }

    fn on_submitted(&mut self, job: u64, tasks: &[u32], room: u32, max_attempts: u32) {
        let seen = self.jobs.entry(job).or_insert_with(|| JobSeen {
            tasks: tasks.to_vec(),
            room,
            max_attempts,
            calls: 0,
            refusals: 0,
            first_start: None,
            cancelled: None,
        });
        seen.calls += 1;
    }

    fn on_answered(&mut self, at: u64, job: u64, told: Told, in_planned_stop: bool) {
        let Some(seen) = self.jobs.get_mut(&job) else {
            return;
        };
        match told {
            Told::Refused => seen.refusals += 1,
            Told::Completed => {
                let missing = names(job, &seen.tasks).find(|task| !self.done.contains(task));
                if let Some(task) = missing {
                    let message = format!("job {job:x} is shown as done, but not {task:?}");
                    self.break_rule(Rule::WholeAnswer, at, message);
                }
            }
            Told::Failed => {
                let most = seen.max_attempts;
                let has_crashed = |task: &TaskName| {
                    let crashes = self.crashes.get(task);
                    crashes.is_some_and(|crashes| crashes.workers >= CRASHES_THAT_FAIL)
                };
                let has_cause = names(job, &seen.tasks).any(|task| {
                    let failures = self.failures.get(&task).copied().unwrap_or(0);
                    failures >= most || has_crashed(&task)
                });
                if !has_cause {
                    let message = format!("job {job:x} is shown as failed without cause");
                    self.break_rule(Rule::FailedForCause, at, message);
                }
            }
            Told::Nothing if in_planned_stop => {
                let message = format!("job {job:x} was cut off by a planned stop");
                self.break_rule(Rule::StopCutsNothing, at, message);
            }
            Told::GivenUp | Told::Nothing => {}
        }
    }

    fn on_started(&mut self, at: u64, life: Life, task: TaskName, capacity: u32, bounds: Bounds) {
        let room = match self.jobs.get_mut(&task.job) {
            Some(job) => {
                job.first_start.get_or_insert(at);
                job.room
            }
            None => {
                self.break_rule(Rule::Asked, at, format!("{task:?} was never handed in"));
                0
            }
        };
        let capacity = capacity.max(self.room_of_late(at, life, bounds));
        let taken = self.taken.entry(life).or_default();
        *taken += room;
        if *taken > capacity {
            let message = format!("{task:?} takes worker {life} to {taken} of {capacity}");
            self.break_rule(Rule::Room, at, message);
        }
        self.check_label(at, life, task);
        self.check_crashes(at, task);
    }

    fn check_label(&mut self, at: u64, life: Life, task: TaskName) {
        let Some(label) = self.required.get(&task.job) else {
            return;
        };
        let labels = self.labels.get(&life);
        if labels.is_some_and(|labels| labels.contains(label)) {
            return;
        }
        let message = format!("{task:?} requires {label}, and worker {life} has {labels:?}");
        self.break_rule(Rule::Label, at, message);
    }

    fn check_one_run(&mut self, at: u64, life: Life, task: TaskName) {
        let running = self.running.entry(task).or_default();
        running.insert(life, at);
        if running.len() > 1 {
            let lives: Vec<&Life> = running.keys().collect();
            let message = format!("{task:?} runs on workers {lives:?}");
            self.break_rule(Rule::OneRun, at, message);
        }
    }

    /// What no order may start after its time.
    fn check_bounds(&mut self, at: u64, life: Life, task: TaskName, bounds: Bounds) {
        let drained = self.drained.get(&life).copied();
        if drained.is_some_and(|drained| at > drained + bounds.drain_micros) {
            let message = format!("{task:?} started on worker {life}, which drains");
            self.break_rule(Rule::Drain, at, message);
        }
        self.check_evacuation(at, life, task, bounds);
        let cancelled = self.jobs.get(&task.job).and_then(|job| job.cancelled);
        if cancelled.is_some_and(|since| at > since + bounds.cancel_micros) {
            let message = format!("{task:?} started after its job was cancelled");
            self.break_rule(Rule::Cancelled, at, message);
        }
    }

    /// The most room that a worker has had so lately that it may still be used.
    fn room_of_late(&self, at: u64, life: Life, bounds: Bounds) -> u32 {
        let rooms = self.rooms_before.get(&life).into_iter().flatten();
        let recent = rooms.filter(|(until, _)| at <= until + bounds.shrink_micros);
        recent.map(|(_, room)| *room).max().unwrap_or(0)
    }

    /// A run that began at `began` and is over, or is seen for the last time, at `at`.
    fn check_cancelled(&mut self, at: u64, task: TaskName, began: u64, bounds: Bounds) {
        let Some(since) = self.jobs.get(&task.job).and_then(|job| job.cancelled) else {
            return;
        };
        let bound = (since + bounds.cancel_micros).max(began + bounds.late_start_micros);
        if at > bound {
            let message = format!("{task:?} ran on after its job was cancelled");
            self.break_rule(Rule::Cancelled, at, message);
        }
    }

    fn on_crashed(&mut self, life: Life, by: Option<TaskName>) {
        let was_there = |(_, lives): &(&TaskName, &BTreeMap<Life, u64>)| lives.contains_key(&life);
        for (task, _) in self.running.iter().filter(was_there) {
            self.crashes.entry(*task).or_default().workers += 1;
        }
        if let Some(task) = by {
            self.crashes.entry(task).or_default().is_poison = true;
        }
    }

    fn check_crashes(&mut self, at: u64, task: TaskName) {
        let Some(crashes) = self.crashes.get_mut(&task) else {
            return;
        };
        if !crashes.is_poison || crashes.workers < CRASHES {
            return;
        }
        crashes.starts += 1;
        if crashes.starts == STARTS_AFTER_CRASHES {
            let message = format!(
                "{task:?} started {STARTS_AFTER_CRASHES} times more after {CRASHES} workers had crashed under it"
            );
            self.break_rule(Rule::CrashBudget, at, message);
        }
    }

    fn check_evacuation(&mut self, at: u64, life: Life, task: TaskName, bounds: Bounds) {
        let Some(zone) = self.zones.get(&life) else {
            return;
        };
        let evacuated = self.evacuated.get(zone).copied();
        if evacuated.is_some_and(|since| at > since + bounds.evacuate_micros) {
            let message =
                format!("{task:?} started on worker {life} of {zone}, which is evacuated");
            self.break_rule(Rule::Evacuation, at, message);
        }
    }

    fn on_ended(&mut self, at: u64, life: Life, task: TaskName, how: RunEnd, bounds: Bounds) {
        let room = self.jobs.get(&task.job).map_or(0, |job| job.room);
        if let Some(taken) = self.taken.get_mut(&life) {
            *taken = taken.saturating_sub(room);
        }
        let running = self.running.get_mut(&task);
        if let Some(began) = running.and_then(|running| running.remove(&life)) {
            self.check_cancelled(at, task, began, bounds);
        }
        match how {
            RunEnd::Done => {
                self.done.insert(task);
            }
            RunEnd::Failed => *self.failures.entry(task).or_default() += 1,
            RunEnd::Broken => {}
        }
    }

    fn on_in_force(&mut self, at: u64, gateway: u64, version: u64) {
        let known = self.versions.entry(gateway).or_default();
        if version < *known {
            let message = format!("gateway {gateway:x} went from {known} to {version}");
            self.break_rule(Rule::NeverReverts, at, message);
            return;
        }
        *known = version;
    }

    fn close(&mut self, bounds: Bounds) {
        let running = std::mem::take(&mut self.running);
        for (task, lives) in running {
            for began in lives.into_values() {
                self.check_cancelled(self.last, task, began, bounds);
            }
        }
        let untrue: Vec<(u64, u64)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.refusals == job.calls)
            .filter_map(|(id, job)| Some((*id, job.first_start?)))
            .collect();
        for (job, at) in untrue {
            let message = format!("job {job:x} was refused at every call, and started");
            self.break_rule(Rule::RefusedIsTrue, at, message);
        }
    }

    fn break_rule(&mut self, rule: Rule, at: u64, message: String) {
        self.violations.push(Violation { rule, at, message });
    }
}

fn names(job: u64, tasks: &[u32]) -> impl Iterator<Item = TaskName> {
    tasks
        .iter()
        .zip(0_u32..)
        .flat_map(move |(count, step)| (0..*count).map(move |index| TaskName { job, step, index }))
}
