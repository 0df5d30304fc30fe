//! Health of a worker, estimated from the results and the progress of its runs.
//!
//! A worker that fails or hangs every task always has free resources and would attract all work.
//! After several failures in a row, or after a stalled task, it is put on probation: no tasks
//! for a while, then one at a time until one completes. A slow worker is not put on probation,
//! since under load it still contributes throughput.
//!
//! Estimates are rough, so a single task may be slow through no fault of the worker. A slow task
//! does not count against a worker that completes tasks started later at a normal pace.

use std::collections::VecDeque;

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::NO_TASK_LIMIT;
use super::super::task::JobId;

/// Consecutive failures that put a worker on probation.
const PROBATION_FAILURES: u32 = 3;
/// Consecutive failures from which on a failure is attributed to the worker, not to the task.
const SUSPECT_FAILURES: u32 = 2;
/// First pause of a probation. It doubles each time that the task after a pause fails.
const INITIAL_PROBATION: Span = Span::from_millis(400);
const MAX_PROBATION: Span = Span::from_millis(1_600);
/// Weight of a new sample in the moving average of the pace.
const PACE_SAMPLE_WEIGHT: f64 = 0.08;
/// Ratio of actual to estimated run time above which a worker counts as slow.
const SLOW_PACE_THRESHOLD: f64 = 2.0;
/// Each such period without a sample halves the excess of a slow worker's pace over 1, so that
/// the worker gets tasks again.
const PACE_HALF_LIFE: Span = Span::from_millis(1_000);
/// Range to which a pace sample is clamped.
const PACE_BOUNDS: (f64, f64) = (0.2, 20.0);
/// How long a run that completed at a normal pace is evidence that its worker is not slow.
const NORMAL_RUN_TTL: Span = Span::from_millis(150);
const MAX_NORMAL_RUNS: usize = 8;

/// A completed run.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRun {
    pub job: JobId,
    /// When its start was sent.
    pub sent: Timestamp,
    /// Run time on the worker's clock.
    pub elapsed: Span,
    /// Estimated run time.
    pub estimate: Span,
}

/// A run that completed at a normal pace.
#[derive(Clone, Copy, Debug)]
struct NormalRun {
    job: JobId,
    sent: Timestamp,
    ended: Timestamp,
}

#[derive(Debug)]
pub struct Health {
    /// Consecutive failures and stalls.
    failures: u32,
    probation: Option<Probation>,
    /// Moving average of the ratio of actual to estimated run time.
    pace: f64,
    /// When `pace` was last updated.
    sampled: Timestamp,
    normal_runs: VecDeque<NormalRun>,
}

#[derive(Clone, Copy, Debug)]
struct Probation {
    pause: Span,
    until: Timestamp,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            probation: None,
            pace: 1.0,
            sampled: Timestamp::default(),
            normal_runs: VecDeque::new(),
        }
    }
}

impl Health {
    pub fn on_done(&mut self, now: Timestamp, run: &FinishedRun) {
        self.failures = 0;
        self.probation = None;
        if run.estimate.0 == 0 {
            return;
        }
        let sample = ratio(run.elapsed, run.estimate).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        if sample <= SLOW_PACE_THRESHOLD {
            self.record_normal_run(now, run);
        }
        // A slow worker that has become faster is recognized after a few samples.
        let weight = if self.pace > SLOW_PACE_THRESHOLD && sample < self.pace {
            0.5
        } else {
            PACE_SAMPLE_WEIGHT
        };
        self.pace += weight * (sample - self.pace);
        self.sampled = now;
    }

    fn record_normal_run(&mut self, now: Timestamp, run: &FinishedRun) {
        if self.normal_runs.len() == MAX_NORMAL_RUNS {
            self.normal_runs.pop_front();
        }
        self.normal_runs.push_back(NormalRun {
            job: run.job,
            sent: run.sent,
            ended: now,
        });
    }

    /// Whether a task of another job, started no earlier than `sent`, completed at a normal pace
    /// recently. If so, a slow task of `job` is not the worker's fault.
    pub fn has_normal_pace_since(&self, now: Timestamp, job: JobId, sent: Timestamp) -> bool {
        self.normal_runs
            .iter()
            .any(|run| run.job != job && run.sent >= sent && now.since(run.ended) <= NORMAL_RUN_TTL)
    }

    pub fn on_failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures >= PROBATION_FAILURES || self.probation.is_some() {
            self.start_probation(now);
        }
    }

    pub fn on_stalled(&mut self, now: Timestamp) {
        self.failures += 1;
        self.start_probation(now);
    }

    /// Records a task that is projected to take `projected` instead of `estimate`, when nothing
    /// suggests that the task itself is at fault.
    pub fn on_slow(&mut self, now: Timestamp, projected: Span, estimate: Span) {
        let sample = ratio(projected, estimate).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace = self.pace.max(sample);
        self.sampled = now;
    }

    /// Whether a failure is more likely the worker's fault than the task's.
    pub fn is_suspect(&self) -> bool {
        self.failures >= SUSPECT_FAILURES || self.probation.is_some()
    }

    /// Number of further tasks that the worker may get now; `active` is how many it has.
    pub fn limit(&self, now: Timestamp, active: usize) -> u32 {
        match self.probation {
            None => NO_TASK_LIMIT,
            Some(probation) if now < probation.until => 0,
            Some(_) => u32::from(active == 0),
        }
    }

    /// When the limit next changes without further events.
    pub fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        self.probation
            .map(|probation| probation.until)
            .filter(|until| *until > now)
    }

    /// Ratio of actual to estimated run time, in percent.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded and positive"
    )]
    pub fn run_time_percent(&self, now: Timestamp) -> u32 {
        let mut pace = self.pace;
        if pace > SLOW_PACE_THRESHOLD {
            let periods = now.since(self.sampled).0 / PACE_HALF_LIFE.0;
            for _ in 0..periods.min(8) {
                pace = 1.0 + (pace - 1.0) / 2.0;
            }
        }
        (pace * 100.0) as u32
    }

    fn start_probation(&mut self, now: Timestamp) {
        let pause = match self.probation {
            // Further failures during the pause do not extend it.
            Some(probation) if now < probation.until => return,
            Some(probation) => Span((probation.pause.0 * 2).min(MAX_PROBATION.0)),
            None => INITIAL_PROBATION,
        };
        self.probation = Some(Probation {
            pause,
            until: now.after(pause),
        });
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
fn ratio(elapsed: Span, estimate: Span) -> f64 {
    elapsed.0 as f64 / estimate.0.max(1) as f64
}
