//! Run time estimates: callers' estimates, corrected by observed run times.
//!
//! Inaccurate estimates make a gateway refuse jobs too late, order them wrongly and treat good
//! workers as slow. For each queue, a line is fitted to the logarithm of the observed run time
//! of recent steps as a function of the logarithm of the caller's estimate. While few steps
//! were observed, the caller's estimate dominates.

use std::collections::BTreeMap;

use laurelstile_types::time::Span;

/// Approximate number of steps in the exponentially weighted window.
const WINDOW_STEPS: f64 = 100.0;
/// Weight of the caller's estimate, in observed steps.
const PRIOR_STEPS: f64 = 10.0;
/// Prior variance of the logarithm of the estimates; corresponds to a factor of about 1.4 in
/// either direction.
const PRIOR_VARIANCE: f64 = 0.1;
/// Maximum factor by which an estimate is corrected, in either direction.
const MAX_CORRECTION_FACTOR: f64 = 8.0;

/// Run time models of all queues.
#[derive(Debug, Default)]
pub struct RunTimes {
    queues: BTreeMap<String, Fit>,
}

/// A line fitted by least squares to the logarithms of estimates and run times.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    /// Number of observed steps, at most [`WINDOW_STEPS`].
    count: f64,
    mean_estimate: f64,
    mean_run_time: f64,
    /// Variance of the estimates.
    variance: f64,
    /// Covariance of estimates and run times.
    covariance: f64,
}

impl RunTimes {
    /// Records a completed step whose tasks were estimated to take `estimate` and the slowest of
    /// which took `longest`.
    pub fn record(&mut self, queue: &str, estimate: Span, longest: Span) {
        if estimate.0 == 0 || longest.0 == 0 {
            return;
        }
        let estimate = logarithm(estimate);
        let correction = logarithm(longest) - estimate;
        let fit = self.queues.entry(queue.to_owned()).or_default();
        fit.record(
            estimate,
            estimate + correction.clamp(-MAX_CORRECTION_FACTOR.ln(), MAX_CORRECTION_FACTOR.ln()),
        );
    }

    /// Expected run time of the slowest task of a step whose caller's estimate is `estimate`.
    pub fn expected(&self, queue: &str, estimate: Span) -> Span {
        match self.queues.get(queue) {
            Some(fit) if estimate.0 > 0 => span(fit.expected(logarithm(estimate))),
            _ => estimate,
        }
    }

    /// Removes the queues for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_kept(queue));
    }
}

impl Fit {
    fn record(&mut self, estimate: f64, run_time: f64) {
        self.count = (self.count + 1.0).min(WINDOW_STEPS);
        let weight = 1.0 / self.count;
        let estimate_offset = estimate - self.mean_estimate;
        let run_time_offset = run_time - self.mean_run_time;
        self.mean_estimate += weight * estimate_offset;
        self.mean_run_time += weight * run_time_offset;
        self.variance =
            (1.0 - weight) * (self.variance + weight * estimate_offset * estimate_offset);
        self.covariance =
            (1.0 - weight) * (self.covariance + weight * estimate_offset * run_time_offset);
    }

    fn expected(&self, estimate: f64) -> f64 {
        let prior = PRIOR_STEPS * PRIOR_VARIANCE;
        let slope = (self.count * self.covariance + prior) / (self.count * self.variance + prior);
        let fitted = self.mean_run_time + slope * (estimate - self.mean_estimate);
        let fit_weight = self.count / (self.count + PRIOR_STEPS);
        let expected = fit_weight * fitted + (1.0 - fit_weight) * estimate;
        expected.clamp(
            estimate - MAX_CORRECTION_FACTOR.ln(),
            estimate + MAX_CORRECTION_FACTOR.ln(),
        )
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
fn logarithm(span: Span) -> f64 {
    (span.0 as f64).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive, and within a factor of a span"
)]
fn span(logarithm: f64) -> Span {
    Span(logarithm.exp() as u64)
}
