//! Detection of runs that stall or are much slower than estimated.

use laurelstile_types::time::{Span, Timestamp};

use super::super::task::TaskId;
use super::run_table::{Run, RunState, StopReason};
use super::worker::WorkerClock;
use super::{AgentEffect, LeasedAgent};

/// Minimum time without progress after which a run counts as stalled.
const MIN_STALL_TIMEOUT: Span = Span::from_millis(90);
/// Maximum time without progress before a run counts as stalled, except where the estimate is so
/// long that progress is visible only in larger steps.
const MAX_STALL_TIMEOUT: Span = Span::from_millis(250);
/// The estimate divided by this is the longest expected time between two visible steps of
/// progress, including a margin.
const PROGRESS_STEP_DIVISOR: u64 = 25;
/// A run that is projected to take more than this many times its estimate is too slow.
const SLOW_FACTOR: u64 = 4;
/// Progress from which on a slow run is left to finish.
const NEARLY_DONE_PERCENT: u32 = 60;
/// Projected remaining time up to which a slow run is left to finish, since a restart elsewhere
/// takes time too.
const MIN_REMAINING: Span = Span::from_millis(90);

impl LeasedAgent {
    /// Stops a run that has stalled or is much too slow. Times are taken on the worker's clock,
    /// so that a delay in the agent is not attributed to the worker.
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
        let projected = Span(elapsed.0.saturating_mul(100) / u64::from(run.percent));
        let is_slow = projected.0 > run.estimate.0.saturating_mul(SLOW_FACTOR)
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
