//! Per-submission records of an agent: started tasks, outputs retained until
//! they are released, and fences against superseded delegations.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::configuration::MAX_DEADLINE_MILLIS;
use laurelstile_types::id::{DelegationNumber, DispatchId, Incarnation, SubmissionId, TaskIndex};
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::agent::{DispatchStatus, Fence, TaskOutcome};

/// How long a fence is kept. Must exceed every job deadline, so that no start
/// under a superseded delegation can arrive after the fence is gone.
pub const FENCE_LIFETIME: Span = Span::from_millis(MAX_DEADLINE_MILLIS + 120_000);
/// How long after its job's deadline a record without a fence is kept. By then
/// no gateway starts or recovers a task of the job any more.
pub const RECORD_RETENTION: Span = Span::from_secs(60);

/// Maximum total size of retained outputs, in bytes.
pub const MAX_RETAINED_OUTPUT_BYTES: usize = 64 * 1024 * 1024;

/// Result of checking a dispatch against the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCheck {
    /// The task has not been started.
    New,
    /// The delegation is superseded, or the submission is closed.
    Fenced,
    /// The task was started before.
    Duplicate,
}

#[derive(Debug)]
enum TaskState {
    Running { since: Timestamp },
    Finished { run: Span, outcome: TaskOutcome },
}

#[derive(Debug)]
struct Task {
    delegation: DelegationNumber,
    /// Gateway that receives the result.
    owner: Incarnation,
    state: TaskState,
}

#[derive(Debug)]
struct Record {
    /// Minimum delegation number that may start tasks; 0 if never fenced.
    fence: DelegationNumber,
    /// Whether the submission is fenced and released and its tasks have ended;
    /// none of them may start any more.
    closed: bool,
    /// Whether to remove the record once none of its tasks is running.
    released: bool,
    /// Latest job deadline given by a start.
    deadline: Timestamp,
    expires: Timestamp,
    tasks: BTreeMap<TaskIndex, Task>,
}

/// All records of an agent.
#[derive(Debug, Default)]
pub struct Records {
    records: BTreeMap<SubmissionId, Record>,
    running: BTreeMap<Incarnation, u32>,
    retained_bytes: usize,
}

impl Records {
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn running(&self) -> u32 {
        self.running.values().sum()
    }

    /// Number of running tasks whose results go to `gateway`.
    pub fn running_for(&self, gateway: Incarnation) -> u32 {
        self.running.get(&gateway).copied().unwrap_or(0)
    }

    pub fn has_running_for(&self, gateway: Incarnation) -> bool {
        self.running_for(gateway) > 0
    }

    /// Whether a task is running, or a gateway may still request an output.
    pub fn has_unreleased_work(&self, now: Timestamp) -> bool {
        self.records.values().any(|record| {
            let is_retained = !record.tasks.is_empty() && now < record.deadline;
            is_retained || record.running() > 0
        })
    }

    /// Checks whether the records allow `dispatch` to start.
    pub fn check_start(&self, dispatch: DispatchId) -> StartCheck {
        let Some(record) = self.records.get(&dispatch.submission) else {
            return StartCheck::New;
        };
        if record.closed || dispatch.delegation < record.fence {
            return StartCheck::Fenced;
        }
        if record.tasks.contains_key(&dispatch.task) {
            return StartCheck::Duplicate;
        }
        StartCheck::New
    }

    /// Records that `dispatch` was started for `gateway`.
    pub fn start(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        dispatch: DispatchId,
        deadline: Timestamp,
    ) {
        let record = self
            .records
            .entry(dispatch.submission)
            .or_insert_with(|| Record::new(now));
        let task = Task {
            delegation: dispatch.delegation,
            owner: gateway,
            state: TaskState::Running { since: now },
        };
        record.tasks.insert(dispatch.task, task);
        record.deadline = record.deadline.max(deadline);
        record.expires = record.expires.max(deadline.after(RECORD_RETENTION));
        *self.running.entry(gateway).or_default() += 1;
    }

    /// The gateway that receives the result of `dispatch`; `None` if it is not
    /// running.
    pub fn owner_of_running(&self, dispatch: DispatchId) -> Option<Incarnation> {
        let record = self.records.get(&dispatch.submission)?;
        let task = record.tasks.get(&dispatch.task)?;
        let running = task.is_running() && task.delegation == dispatch.delegation;
        running.then_some(task.owner)
    }

    /// Records the outcome of a running task and returns its run time. The
    /// output is discarded if retained outputs would exceed their limit.
    pub fn finish(&mut self, now: Timestamp, dispatch: DispatchId, outcome: TaskOutcome) -> Span {
        let Some(record) = self.records.get_mut(&dispatch.submission) else {
            return Span::default();
        };
        let Some(task) = record.tasks.get_mut(&dispatch.task) else {
            return Span::default();
        };
        let owner = task.owner;
        let TaskState::Running { since } = task.state else {
            return Span::default();
        };
        let run = now.since(since);
        let size = output_size(&outcome);
        let fits = self.retained_bytes + size <= MAX_RETAINED_OUTPUT_BYTES;
        let retained = if fits {
            outcome
        } else {
            TaskOutcome::OutputLost
        };
        self.retained_bytes += output_size(&retained);
        task.state = TaskState::Finished {
            run,
            outcome: retained,
        };
        decrement_running(&mut self.running, owner);
        self.remove_released(dispatch.submission);
        run
    }

    /// Removes a task that turned out not to have started.
    pub fn remove_task(&mut self, dispatch: DispatchId) {
        let Some(record) = self.records.get_mut(&dispatch.submission) else {
            return;
        };
        if let Some(task) = record.tasks.remove(&dispatch.task) {
            decrement_running(&mut self.running, task.owner);
        }
    }

    /// Status of `dispatch`; `None` if there is no record of its start.
    pub fn status_of(&self, dispatch: DispatchId) -> Option<DispatchStatus> {
        let record = self.records.get(&dispatch.submission)?;
        let task = record.tasks.get(&dispatch.task)?;
        (task.delegation == dispatch.delegation).then(|| task.status())
    }

    /// Status of every started task of `submission`.
    pub fn statuses_of(&self, submission: SubmissionId) -> Vec<(TaskIndex, DispatchStatus)> {
        self.records
            .get(&submission)
            .map_or_else(Vec::new, |record| {
                record
                    .tasks
                    .iter()
                    .map(|(index, task)| (*index, task.status()))
                    .collect()
            })
    }

    /// Refuses older delegations from now on and makes `gateway` the owner of
    /// all started tasks. Returns the previous owners of running tasks.
    pub fn fence(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        fence: Fence,
    ) -> BTreeSet<Incarnation> {
        let record = self
            .records
            .entry(fence.submission)
            .or_insert_with(|| Record::new(now));
        record.fence = record.fence.max(fence.delegation);
        record.expires = now.after(FENCE_LIFETIME);
        let mut old_owners = BTreeSet::new();
        for task in record.tasks.values_mut() {
            let old_owner = std::mem::replace(&mut task.owner, gateway);
            if old_owner != gateway && task.is_running() {
                transfer_running(&mut self.running, old_owner, gateway);
                old_owners.insert(old_owner);
            }
        }
        old_owners
    }

    /// Marks the running tasks of `submission` owned by `gateway` as cancelled
    /// and returns their dispatches.
    pub fn cancel(&mut self, submission: SubmissionId, gateway: Incarnation) -> Vec<DispatchId> {
        let Some(record) = self.records.get_mut(&submission) else {
            return Vec::new();
        };
        let mut cancelled = Vec::new();
        for (index, task) in &mut record.tasks {
            if !task.is_running() || task.owner != gateway {
                continue;
            }
            task.state = TaskState::Finished {
                run: Span::default(),
                outcome: TaskOutcome::Cancelled,
            };
            decrement_running(&mut self.running, gateway);
            cancelled.push(DispatchId {
                submission,
                task: *index,
                delegation: task.delegation,
            });
        }
        self.remove_released(submission);
        cancelled
    }

    /// Removes the record of an answered submission as soon as none of its
    /// tasks is running. A fenced record is closed instead and kept until it
    /// expires, since a superseded scheduler may still send starts.
    pub fn release(&mut self, submission: SubmissionId) {
        if let Some(record) = self.records.get_mut(&submission) {
            record.released = true;
        }
        self.remove_released(submission);
    }

    fn remove_released(&mut self, submission: SubmissionId) {
        let Some(record) = self.records.get_mut(&submission) else {
            return;
        };
        if !record.released || record.running() > 0 {
            return;
        }
        self.retained_bytes -= record.retained_bytes();
        if record.fence > 0 {
            record.closed = true;
            record.tasks.clear();
        } else {
            self.records.remove(&submission);
        }
    }

    /// Removes expired records that have no running tasks.
    pub fn expire(&mut self, now: Timestamp) {
        let mut freed = 0;
        self.records.retain(|_, record| {
            let keep = record.expires > now || record.running() > 0;
            if !keep {
                freed += record.retained_bytes();
            }
            keep
        });
        self.retained_bytes -= freed;
    }
}

impl Record {
    fn new(now: Timestamp) -> Self {
        Self {
            fence: 0,
            closed: false,
            released: false,
            deadline: now,
            expires: now,
            tasks: BTreeMap::new(),
        }
    }

    fn running(&self) -> u32 {
        let running = self.tasks.values().filter(|task| task.is_running()).count();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    fn retained_bytes(&self) -> usize {
        self.tasks
            .values()
            .map(|task| match &task.state {
                TaskState::Running { .. } => 0,
                TaskState::Finished { outcome, .. } => output_size(outcome),
            })
            .sum()
    }
}

impl Task {
    fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running { .. })
    }

    fn status(&self) -> DispatchStatus {
        match &self.state {
            TaskState::Running { .. } => DispatchStatus::Running,
            TaskState::Finished { run, outcome } => DispatchStatus::Finished {
                run_micros: run.0,
                outcome: outcome.clone(),
            },
        }
    }
}

fn output_size(outcome: &TaskOutcome) -> usize {
    match outcome {
        TaskOutcome::Output(output) => output.size(),
        _ => 0,
    }
}

fn decrement_running(running: &mut BTreeMap<Incarnation, u32>, owner: Incarnation) {
    if let Some(count) = running.get_mut(&owner) {
        *count -= 1;
        if *count == 0 {
            running.remove(&owner);
        }
    }
}

fn transfer_running(running: &mut BTreeMap<Incarnation, u32>, from: Incarnation, to: Incarnation) {
    decrement_running(running, from);
    *running.entry(to).or_default() += 1;
}
