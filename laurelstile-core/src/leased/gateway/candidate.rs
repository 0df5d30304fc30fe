//! A choice of where tasks go.

use laurelstile_types::id::Incarnation;

/// A worker that could take tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) agent: Incarnation,
    /// Whether it is fast enough for the job's objective.
    pub(super) is_fast: bool,
    /// Tasks that it has room for, no more than are wanted.
    pub(super) tasks: u32,
    pub(super) cost: u64,
    /// The offer whose room is used, if it is not room that was reported as free.
    pub(super) offer: Option<u64>,
    /// The task that goes by itself, if it is one of those.
    pub(super) apart: Option<u32>,
    /// Whether the worker is to run nothing beside it.
    pub(super) is_exclusive: bool,
}

impl Candidate {
    /// The worker whose agent made an offer that has room for `tasks` tasks.
    pub(super) fn offered(agent: Incarnation, tasks: u32, offer: u64) -> Self {
        Self {
            agent,
            is_fast: true,
            tasks,
            cost: 0,
            offer: Some(offer),
            apart: None,
            is_exclusive: false,
        }
    }

    /// The worker on which task `index` runs alone.
    pub(super) fn alone(agent: Incarnation, index: u32) -> Self {
        Self {
            agent,
            is_fast: true,
            tasks: 1,
            cost: 0,
            offer: None,
            apart: Some(index),
            is_exclusive: true,
        }
    }

    /// The same worker, for task `index` by itself.
    pub(super) fn apart(self, index: u32) -> Self {
        Self {
            tasks: 1,
            apart: Some(index),
            ..self
        }
    }
}
