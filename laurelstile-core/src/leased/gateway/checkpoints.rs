//! Saved progress of tasks: kept from the end of one run for the next start of the same task.

use super::LeasedGateway;
use super::job::{Step, TaskState};
use crate::leased::checkpoint::Checkpoint;
use crate::leased::messages::EndKind;
use crate::leased::task::{RunId, RunNumber};

impl Step {
    /// Saved progress of those of the tasks that have any, with their indices.
    pub(super) fn checkpoints_of(&self, tasks: &[(u32, RunNumber)]) -> Vec<(u32, Checkpoint)> {
        let indices = tasks.iter().map(|(index, _)| *index);
        let saved = indices.filter_map(|index| Some((index, self.checkpoints.get(&index)?)));
        saved
            .map(|(index, checkpoint)| (index, checkpoint.clone()))
            .collect()
    }
}

impl LeasedGateway {
    /// Keeps the saved progress that the end of a present run carries, if its step asked for that.
    /// Progress from which a task has failed, stalled or been lost is discarded: it may be the cause.
    pub(super) fn update_checkpoint(
        &mut self,
        run: RunId,
        how: EndKind,
        checkpoint: Option<&Checkpoint>,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let is_current = job
            .task_mut(run.task)
            .is_some_and(|task| task.run == run.run && task.state == TaskState::Placed);
        if !is_current {
            return;
        }
        let step = &mut job.steps[run.task.step as usize];
        match how {
            EndKind::Preempted | EndKind::Stopped => {
                let checkpoint = checkpoint.filter(|checkpoint| checkpoint.is_valid());
                if let Some(checkpoint) = checkpoint
                    && step.request.saves_progress
                {
                    step.checkpoints.insert(run.task.index, checkpoint.clone());
                }
            }
            EndKind::NotStarted(_) => {}
            _ => {
                step.checkpoints.remove(&run.task.index);
            }
        }
    }
}
