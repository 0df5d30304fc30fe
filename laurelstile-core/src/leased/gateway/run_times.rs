//! How long tasks take: what callers guess, corrected by what was seen.
//!
//! A guess that is off by a factor makes a gateway refuse too late, order wrongly and
//! call good workers slow. For each queue the gateway fits the logarithm of the run
//! time of a step to the logarithm of its guess, over the steps that were done lately.
//! A queue of which little was seen is believed its guesses.

use std::collections::BTreeMap;

use laurelstile_types::time::Span;

/// Steps that are remembered, about: each counts less with every later one.
const MEMORY: f64 = 100.0;
/// So many steps seen weigh as much as the guess itself.
const TRUST_IN_GUESSES: f64 = 10.0;
/// Variance of the logarithm of the guesses that goes with that trust: a factor of
/// about 1.4 either way.
const VARIANCE_OF_GUESSES: f64 = 0.1;
/// A run time is taken for at most so many times its guess, or as small a part of it.
const MOST_OFF: f64 = 8.0;

/// Run times of all queues.
#[derive(Debug, Default)]
pub struct RunTimes {
    queues: BTreeMap<String, Fit>,
}

/// A line through the logarithms of guesses and run times, fitted by least squares.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    count: f64,
    mean_guess: f64,
    mean_run: f64,
    variance: f64,
    covariance: f64,
}

impl RunTimes {
    /// A step of a queue whose tasks were guessed to take `guess` was done; the
    /// slowest of them took `longest`.
    pub fn note(&mut self, queue: &str, guess: Span, longest: Span) {
        if guess.0 == 0 || longest.0 == 0 {
            return;
        }
        let guess = logarithm(guess);
        let off = logarithm(longest) - guess;
        let fit = self.queues.entry(queue.to_owned()).or_default();
        fit.note(guess, guess + off.clamp(-MOST_OFF.ln(), MOST_OFF.ln()));
    }

    /// How long the slowest task of a step will take, guessed to take `guess`.
    pub fn expected(&self, queue: &str, guess: Span) -> Span {
        match self.queues.get(queue) {
            Some(fit) if guess.0 > 0 => span(fit.expected(logarithm(guess))),
            _ => guess,
        }
    }

    /// Forgets the queues that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_kept(queue));
    }
}

impl Fit {
    fn note(&mut self, guess: f64, run: f64) {
        self.count = (self.count + 1.0).min(MEMORY);
        let weight = 1.0 / self.count;
        let guess_off = guess - self.mean_guess;
        let run_off = run - self.mean_run;
        self.mean_guess += weight * guess_off;
        self.mean_run += weight * run_off;
        self.variance = (1.0 - weight) * (self.variance + weight * guess_off * guess_off);
        self.covariance = (1.0 - weight) * (self.covariance + weight * guess_off * run_off);
    }

    fn expected(&self, guess: f64) -> f64 {
        let prior = TRUST_IN_GUESSES * VARIANCE_OF_GUESSES;
        let slope = (self.count * self.covariance + prior) / (self.count * self.variance + prior);
        let fitted = self.mean_run + slope * (guess - self.mean_guess);
        let trust = self.count / (self.count + TRUST_IN_GUESSES);
        let expected = trust * fitted + (1.0 - trust) * guess;
        expected.clamp(guess - MOST_OFF.ln(), guess + MOST_OFF.ln())
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
