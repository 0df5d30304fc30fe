//! Departure of a worker that states how long it stays: runs that cannot end before it leaves are
//! stopped at once and given back to their gateways, which start them elsewhere.

use laurelstile_types::time::{Span, Timestamp};

use super::super::task::TaskId;
use super::run_table::{Run, RunState, StopReason};
use super::worker::WorkerClock;
use super::worker_state::WorkerState;
use super::{AgentDecision, AgentEffect, DeparturesPolicy, LeasedAgent};

/// Progress from which on the end of a run is projected from it. Progress is in whole percent, so
/// a projection from less is over 10% off.
const MIN_PROJECTED_PERCENT: u32 = 10;
/// Least change of a stated departure for which a worker counts as leaving anew. Heartbeats state it
/// in whole milliseconds of two clocks, so that it varies by a few.
const MIN_CHANGE: Span = Span::from_millis(100);

/// The departure of the current incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// Earliest time at which the worker leaves, as stated in any of its heartbeats.
    at: WorkerClock,
    /// The value of `at` that was logged last.
    logged: WorkerClock,
    /// Whether the runs have not been examined since `at` was logged.
    is_new: bool,
}

impl Departure {
    /// Whether runs that cannot end in time are to be moved at `clock`. The runs that are left on a
    /// worker that stays longer than it said may end.
    fn is_due(&self, clock: WorkerClock, policy: DeparturesPolicy) -> bool {
        let is_ahead = self.is_new || clock < self.at;
        is_ahead && self.at.since(clock) >= policy.min_notice
    }
}

impl LeasedAgent {
    /// Records when the worker leaves, as stated in a heartbeat of the current incarnation. A later
    /// time than stated before is ignored: it may come from a delayed heartbeat.
    pub(super) fn on_departure_stated(
        &mut self,
        now: Timestamp,
        departs_at: Option<WorkerClock>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(at) = departs_at.filter(|_| self.options.departures.is_some()) else {
            return;
        };
        let runs = self.runs.active();
        let Some(worker) = &mut self.worker else {
            return;
        };
        let known = worker.departure;
        if known.is_some_and(|known| known.at <= at) {
            return;
        }
        let is_logged = known.is_none_or(|known| known.logged.since(at) >= MIN_CHANGE);
        worker.departure = Some(Departure {
            at,
            logged: known
                .filter(|_| !is_logged)
                .map_or(at, |known| known.logged),
            is_new: is_logged || known.is_some_and(|known| known.is_new),
        });
        if is_logged {
            effects.push(AgentEffect::Decided(AgentDecision::Departing {
                incarnation: worker.incarnation.clone(),
                remaining: at.since(worker.clock.at(now)),
                runs,
            }));
        }
    }

    /// Stops the runs that are not expected to end before the worker leaves. After a suspension of
    /// the agent it waits for new run lists: the progress in the earlier ones is out of date.
    pub(super) fn move_departing_runs(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let clock = self.worker_clock(now);
        let Some((policy, departure)) = self.current_departure() else {
            return;
        };
        if !departure.is_due(clock, policy) {
            return;
        }
        let pace = u64::from(self.health.run_time_percent(now));
        let (moved, kept): (Vec<TaskId>, Vec<TaskId>) = self
            .runs
            .tasks_where(|run| matches!(run.state, RunState::Starting | RunState::Running { .. }))
            .into_iter()
            .partition(|task| {
                let run = self.runs.get(*task);
                run.is_some_and(|run| expected_end(run, now, clock, pace) > departure.at)
            });
        if let Some(departure) = self.worker.as_mut().and_then(|w| w.departure.as_mut()) {
            departure.is_new = false;
        }
        if moved.is_empty() {
            return;
        }
        if let Some(worker) = &self.worker {
            effects.push(AgentEffect::Decided(AgentDecision::RunsMoved {
                incarnation: worker.incarnation.clone(),
                remaining: departure.at.since(clock),
                moved: moved.len(),
                kept: kept.len(),
            }));
        }
        for task in moved {
            self.stop_run(now, task, StopReason::WorkerLeaves, effects);
        }
    }

    /// The departure of a worker whose run lists are up to date, and the policy for it.
    fn current_departure(&self) -> Option<(DeparturesPolicy, Departure)> {
        let has_lists = |worker: &&WorkerState| {
            let is_recent = worker.listed_at >= Some(self.running_since);
            worker.has_synced && is_recent
        };
        let worker = self.worker.as_ref().filter(has_lists)?;
        Some((self.options.departures?, worker.departure?))
    }
}

/// When a run is expected to end, on the worker's clock: by its progress, else by its estimate and
/// the worker's `pace`, in percent of the estimates. If that time has passed, the run is slower than
/// either says, and its end is projected from its elapsed time. What is left of a run that continues an
/// earlier one takes its part of the estimate. A run whose start was not answered may have started when
/// that was sent.
fn expected_end(run: &Run, now: Timestamp, clock: WorkerClock, pace: u64) -> WorkerClock {
    let by_estimate = Span(run.estimate.0.saturating_mul(pace) / 100);
    if run.state == RunState::Starting {
        let left = by_estimate.0.saturating_sub(now.since(run.sent).0);
        return clock.after(Span(left));
    }
    if run.is_resumed && run.percent >= MIN_PROJECTED_PERCENT {
        // Its elapsed time produced only part of its progress.
        let left = Span(
            by_estimate
                .0
                .saturating_mul(u64::from(100 - run.percent.min(100)))
                / 100,
        );
        let expected = run.progressed.after(left);
        return if expected < clock {
            clock.after(left)
        } else {
            expected
        };
    }
    let expected = if run.percent < MIN_PROJECTED_PERCENT {
        run.started.after(by_estimate)
    } else {
        projected_end(run, run.progressed)
    };
    if expected < clock {
        projected_end(run, clock)
    } else {
        expected
    }
}

/// When a run ends if it goes on as fast as from its start to `until`. Progress of less than 1% counts
/// as 1%.
fn projected_end(run: &Run, until: WorkerClock) -> WorkerClock {
    let elapsed = until.since(run.started);
    let projected = elapsed.0.saturating_mul(100) / u64::from(run.percent.max(1));
    run.started.after(Span(projected))
}
