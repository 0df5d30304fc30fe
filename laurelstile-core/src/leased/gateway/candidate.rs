//! A candidate placement of tasks on a worker.

use std::cmp::Reverse;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

/// A worker that can take tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Incarnation,
    /// Whether the worker is far from the step's data; always `false` without the `locality` policy.
    pub(super) is_remote: bool,
    /// Expected run time there.
    pub(super) run_time: Span,
    /// Whether the expected run time there is within the job's objective.
    pub(super) is_fast: bool,
    /// Number of tasks that fit, at most the number wanted.
    pub(super) tasks: u32,
    /// Expected run time plus penalties, in microseconds; lower is better.
    pub(super) cost: u64,
    /// The offer whose reserved resources are used; `None` if reported free resources are
    /// used.
    pub(super) offer: Option<u64>,
    /// Index of the task to place separately, or `None` for a batch of tasks that need not be
    /// separated.
    pub(super) separated: Option<u32>,
    /// Whether the worker must run no other task at the same time.
    pub(super) is_exclusive: bool,
}

impl Candidate {
    /// A worker whose agent made offer number `offer`, which fits `tasks` tasks.
    pub(super) fn offered(agent: Incarnation, tasks: u32, offer: u64) -> Self {
        Self {
            agent,
            is_remote: false,
            run_time: Span::default(),
            is_fast: true,
            tasks,
            cost: 0,
            offer: Some(offer),
            separated: None,
            is_exclusive: false,
        }
    }

    /// A worker on which task `index` runs without any other task.
    pub(super) fn exclusive(agent: Incarnation, index: u32) -> Self {
        Self {
            agent,
            is_remote: false,
            run_time: Span::default(),
            is_fast: true,
            tasks: 1,
            cost: 0,
            offer: None,
            separated: Some(index),
            is_exclusive: true,
        }
    }

    /// Key of the order of preference; the greatest is the best.
    pub(super) fn preference(&self) -> (bool, u32, Reverse<u64>) {
        (self.is_fast, self.tasks, Reverse(self.cost))
    }

    /// Replaces `best` by this candidate unless it is worse.
    pub(super) fn replace_worse(self, best: &mut Option<Self>) {
        if best.is_none_or(|best| self.preference() >= best.preference()) {
            *best = Some(self);
        }
    }

    /// Restricts the candidate to one task, the separately placed task `index`.
    pub(super) fn with_separated(self, index: u32) -> Self {
        Self {
            tasks: 1,
            separated: Some(index),
            ..self
        }
    }
}
