//! Saved progress of runs: the worker lists it, and the end of a run that is to continue elsewhere
//! carries it to the gateway.

use super::LeasedAgent;
use super::run_table::{Run, RunState, StopReason};
use crate::leased::checkpoint::Checkpoint;
use crate::leased::messages::EndKind;
use crate::leased::task::RunId;

impl LeasedAgent {
    /// Records the progress that the worker has listed. That of other runs of the same tasks is
    /// ignored.
    pub(super) fn record_checkpoints(&mut self, listed: &[(RunId, Checkpoint)]) {
        for (id, checkpoint) in listed {
            self.runs.update(id.task, |run| {
                if run.number == id.run {
                    run.checkpoint = Some(checkpoint.clone());
                }
            });
        }
    }

    /// Saved progress that the end of a run carries: that of a preempted run, and of a run that was
    /// moved off a departing worker if the agent moves them.
    pub(super) fn checkpoint_of_end(&self, run: &Run, how: EndKind) -> Option<Checkpoint> {
        let RunState::Stopping { reason, .. } = run.state else {
            return None;
        };
        let is_moved = how == EndKind::Stopped
            && reason == StopReason::WorkerLeaves
            && self.options.departures.is_some();
        let is_continued = how == EndKind::Preempted || is_moved;
        run.checkpoint.clone().filter(|_| is_continued)
    }
}
