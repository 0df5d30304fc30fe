//! Runs that stand still, or are far slower than guessed.

use laurelstile_types::time::{Span, Timestamp};

use super::super::task::TaskId;
use super::ledger::{Run, RunState, StopReason};
use super::worker::WorkerClock;
use super::{AgentEffect, LeasedAgent};

/// A task that stands still for less is not called stalled, however short its
/// estimate.
const MIN_STALL_TIMEOUT: Span = Span::from_millis(90);
/// A task that stands still for longer is called stalled unless its estimate
/// is so long that its progress shows only in larger steps.
const MAX_STALL_TIMEOUT: Span = Span::from_millis(250);
/// Share of the estimate that is one visible step of progress, with a margin.
const PROGRESS_STEP_DIVISOR: u64 = 25;
/// A task that would take this many times its estimate is called too slow.
const SLOW_FACTOR: u64 = 4;
/// A slow task is left alone from this progress on.
const NEARLY_DONE_PERCENT: u32 = 60;
/// A slow task is left alone if it is done within so long: starting it anew
/// elsewhere takes time too.
const MIN_REMAINING: Span = Span::from_millis(90);

impl LeasedAgent {
    /// Stops a run that makes no progress, or far too little, by the worker's
    /// own clock: an agent that was slow itself must not blame the worker.
    pub(super) fn check_progress(
        &mut self,
        now: Timestamp,
        clock: WorkerClock,
        task: TaskId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        if !matches!(run.state, RunState::Running { .. }) {
            return;
        }
        if clock.since(run.progressed) > stall_timeout(run) {
            if !run.has_stalled {
                self.health.on_stalled(now);
            }
            self.stop_run(now, task, StopReason::Stalled, effects);
            return;
        }
        let elapsed = clock.since(run.started);
        if run.percent == 0 || run.percent >= NEARLY_DONE_PERCENT || elapsed < run.estimate {
            return;
        }
        let projected = Span(elapsed.0 * 100 / u64::from(run.percent));
        let is_slow = projected.0 > run.estimate.0 * SLOW_FACTOR
            && projected.0.saturating_sub(elapsed.0) > MIN_REMAINING.0;
        if is_slow && !self.health.has_normal_pace_since(now, task.job, run.sent) {
            self.health.on_slow(now, projected, run.estimate);
            self.stop_run(now, task, StopReason::TooSlow { projected }, effects);
        }
    }
}

fn stall_timeout(run: &Run) -> Span {
    let short = Span(run.estimate.0 / 2);
    let bounded = short.0.clamp(MIN_STALL_TIMEOUT.0, MAX_STALL_TIMEOUT.0);
    Span(bounded.max(run.estimate.0 / PROGRESS_STEP_DIVISOR))
}
