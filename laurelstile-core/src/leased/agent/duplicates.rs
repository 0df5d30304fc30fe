//! Requests to start a task of which the worker still has an earlier run.
//!
//! The caller of a job may submit it to another gateway before the runs that the first gateway
//! started have ended. The earlier run is stopped, and the request is answered once it has ended: the
//! gateway that is answered places the task again, perhaps on another worker.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;

use super::super::messages::{EndKind, NotStartedReason};
use super::super::task::{RunId, RunNumber, TaskId};
use super::run_table::StopReason;
use super::{AgentEffect, LeasedAgent};

/// A requested run that is answered once the earlier run of its task has ended. Kept also when its
/// gateway is forgotten: that may connect again, and would take a run that is not listed for ended.
#[derive(Clone, Copy, Debug)]
pub struct DuplicateRequest {
    gateway: Incarnation,
    run: RunId,
}

impl LeasedAgent {
    /// Stops the run that the worker has of the requested task.
    pub(super) fn add_duplicate(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        run: RunId,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.duplicates.push(DuplicateRequest { gateway, run });
        self.stop_run(now, run.task, StopReason::OwnerSilent, effects);
    }

    /// Answers the requests for a task whose earlier run has ended.
    pub(super) fn answer_duplicates(
        &mut self,
        task: TaskId,
        how: EndKind,
        effects: &mut Vec<AgentEffect>,
    ) {
        let how = match how {
            EndKind::Done => EndKind::Done,
            _ => EndKind::NotStarted(NotStartedReason::Duplicate),
        };
        let is_answered = |request: &DuplicateRequest| request.run.task == task;
        self.end_duplicates(is_answered, how, effects);
    }

    /// Withdraws a gateway's request for a task.
    pub(super) fn withdraw_duplicate(
        &mut self,
        gateway: Incarnation,
        task: TaskId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_withdrawn =
            |request: &DuplicateRequest| request.gateway == gateway && request.run.task == task;
        let how = EndKind::NotStarted(NotStartedReason::Withdrawn);
        self.end_duplicates(is_withdrawn, how, effects);
    }

    /// The runs that a gateway has requested and that are not answered.
    pub(super) fn duplicates_of(
        &self,
        gateway: Incarnation,
    ) -> impl Iterator<Item = (TaskId, RunNumber)> {
        let own = self.duplicates.iter();
        let own = own.filter(move |request| request.gateway == gateway);
        own.map(|request| (request.run.task, request.run.run))
    }

    fn end_duplicates(
        &mut self,
        is_ended: impl Fn(&DuplicateRequest) -> bool,
        how: EndKind,
        effects: &mut Vec<AgentEffect>,
    ) {
        let ended: Vec<DuplicateRequest> = self
            .duplicates
            .extract_if(.., |request| is_ended(request))
            .collect();
        for request in ended {
            self.end_unstarted(request.gateway, request.run, how, effects);
        }
    }
}
