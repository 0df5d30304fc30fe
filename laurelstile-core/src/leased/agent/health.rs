//! How well a worker does, judged by its ends and its progress.
//!
//! A worker that fails or hangs everything looks free and would draw all work.
//! After a few failures in a row, or tasks that stand still, it is put on
//! probation: nothing for a while, then one task at a time until one is done. A
//! slow worker is not: under load what it gets done counts.
//!
//! A task may crawl by its own fault, since estimates are rough: while others that
//! began later are done at a normal pace, the worker is not blamed.

use std::collections::VecDeque;

use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::NO_TASK_LIMIT;
use super::super::task::JobId;

/// Failures in a row that put a worker on probation.
const FAILURES: u32 = 3;
/// Failures in a row after which a failure says little of its task.
const SUSPECT_FAILURES: u32 = 2;
/// First pause without work; it doubles with each probe that fails.
const FIRST_PAUSE: Span = Span::from_millis(400);
/// Longest pause without work.
const LONGEST_PAUSE: Span = Span::from_millis(1_600);
/// Weight of a new sample of the pace.
const PACE_WEIGHT: f64 = 0.08;
/// Pace beyond which a worker is called slow.
const SLOW_PACE: f64 = 2.0;
/// A slow worker's pace is halved towards 1 after so long without a sample, so
/// that it is tried again.
const PACE_HALF_LIFE: Span = Span::from_millis(1_000);
/// Bounds of a sample of the pace.
const PACE_BOUNDS: (f64, f64) = (0.2, 20.0);
/// How long a task that was done at a normal pace proves that its worker is not slow.
const NORMAL_END_AGE: Span = Span::from_millis(150);
/// Most such tasks that are remembered.
const MOST_NORMAL_ENDS: usize = 8;

/// A task that is done.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRun {
    /// Its job.
    pub job: JobId,
    /// When its start was sent.
    pub sent: Timestamp,
    /// How long it took, by the worker's clock.
    pub elapsed: Span,
    /// How long it was guessed to take.
    pub estimate: Span,
}

/// A task that was done at a normal pace.
#[derive(Clone, Copy, Debug)]
struct NormalEnd {
    job: JobId,
    sent: Timestamp,
    ended: Timestamp,
}

/// Health of a worker.
#[derive(Debug)]
pub struct Health {
    failures: u32,
    probation: Option<Probation>,
    pace: f64,
    sampled: Timestamp,
    normal_ends: VecDeque<NormalEnd>,
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
            normal_ends: VecDeque::new(),
        }
    }
}

impl Health {
    /// A task is done.
    pub fn on_done(&mut self, now: Timestamp, run: &FinishedRun) {
        self.failures = 0;
        self.probation = None;
        if run.estimate.0 == 0 {
            return;
        }
        let sample = ratio(run.elapsed, run.estimate).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        if sample <= SLOW_PACE {
            self.note_normal_end(now, run);
        }
        let weight = if self.pace > SLOW_PACE && sample < self.pace {
            0.5
        } else {
            PACE_WEIGHT
        };
        self.pace += weight * (sample - self.pace);
        self.sampled = now;
    }

    fn note_normal_end(&mut self, now: Timestamp, run: &FinishedRun) {
        if self.normal_ends.len() == MOST_NORMAL_ENDS {
            self.normal_ends.pop_front();
        }
        self.normal_ends.push_back(NormalEnd {
            job: run.job,
            sent: run.sent,
            ended: now,
        });
    }

    /// Whether a task of another job that was started no earlier than `sent` was
    /// done at a normal pace lately: a task of `job` that crawls does so by its
    /// own fault.
    pub fn has_normal_pace_since(&self, now: Timestamp, job: JobId, sent: Timestamp) -> bool {
        self.normal_ends
            .iter()
            .any(|end| end.job != job && end.sent >= sent && now.since(end.ended) <= NORMAL_END_AGE)
    }

    /// A task failed.
    pub fn on_failed(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures >= FAILURES || self.probation.is_some() {
            self.suspend(now);
        }
    }

    /// A task stood still.
    pub fn on_stalled(&mut self, now: Timestamp) {
        self.failures += 1;
        self.suspend(now);
    }

    /// A task is so slow that it would take `projected` where `estimate` was
    /// guessed, and nothing shows that the worker is not to blame.
    pub fn on_slow(&mut self, now: Timestamp, projected: Span, estimate: Span) {
        let sample = ratio(projected, estimate).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace = self.pace.max(sample);
        self.sampled = now;
    }

    /// Whether a failure is more likely the worker's fault than its task's.
    pub fn is_suspect(&self) -> bool {
        self.failures >= SUSPECT_FAILURES || self.probation.is_some()
    }

    /// Most tasks that the worker may have in all, `active` of them now.
    pub fn limit(&self, now: Timestamp, active: usize) -> u32 {
        match self.probation {
            None => NO_TASK_LIMIT,
            Some(probation) if now < probation.until => 0,
            Some(_) => u32::from(active == 0),
        }
    }

    /// When the limit changes by time alone.
    pub fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        self.probation
            .map(|probation| probation.until)
            .filter(|until| *until > now)
    }

    /// Run time by the estimates, in percent.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded and positive"
    )]
    pub fn run_time_percent(&self, now: Timestamp) -> u32 {
        let mut pace = self.pace;
        if pace > SLOW_PACE {
            let periods = now.since(self.sampled).0 / PACE_HALF_LIFE.0;
            for _ in 0..periods.min(8) {
                pace = 1.0 + (pace - 1.0) / 2.0;
            }
        }
        (pace * 100.0) as u32
    }

    fn suspend(&mut self, now: Timestamp) {
        let pause = match self.probation {
            // Several tasks of one moment count once.
            Some(probation) if now < probation.until => return,
            Some(probation) => Span((probation.pause.0 * 2).min(LONGEST_PAUSE.0)),
            None => FIRST_PAUSE,
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
