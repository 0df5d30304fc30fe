//! The jobs of a load run.

use std::time::Duration;

use rand::distr::{Distribution, Uniform};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::preset::Preset;
use super::{TENANT, THOUSAND};
use crate::caller::Job;

const SHORTEST_MILLIS: f64 = 50.0;
const LONGEST_MILLIS: f64 = 1_000.0;

/// Draws jobs.
pub(super) struct Workload {
    pub(super) random: Pcg64,
    pub(super) millis: Uniform<f64>,
    pub(super) scale: f64,
    pub(super) max_tasks: usize,
    pub(super) slots: f64,
    pub(super) next: u64,
    pub(super) timed: bool,
}

impl Workload {
    pub(super) fn new(preset: &Preset, scale: f64, seed: u64) -> Self {
        let millis = Uniform::new(SHORTEST_MILLIS, LONGEST_MILLIS)
            .unwrap_or_else(|_| unreachable!("the range is not empty"));
        let backends = u32::try_from(preset.backends).unwrap_or(u32::MAX);
        Self {
            random: Pcg64::seed_from_u64(seed),
            millis,
            scale,
            max_tasks: preset.max_tasks,
            slots: f64::from(preset.slots * backends),
            next: 0,
            timed: preset.timed,
        }
    }

    pub(super) fn draw(&mut self) -> Job {
        let tasks = if self.timed {
            self.random.random_range(1..=self.max_tasks)
        } else {
            self.max_tasks
        };
        let runs = (0..tasks).map(|_| self.draw_run()).collect();
        self.job(runs)
    }

    pub(super) fn draw_run(&mut self) -> Duration {
        if !self.timed {
            return Duration::ZERO;
        }
        let millis = self.millis.sample(&mut self.random) * self.scale;
        Duration::from_secs_f64(millis / THOUSAND)
    }

    pub(super) fn job(&mut self, runs: Vec<Duration>) -> Job {
        self.next += 1;
        Job {
            request: format!("request-{}", self.next),
            tenant: TENANT.to_owned(),
            runs,
            key: None,
            fail: false,
        }
    }

    /// Mean time between two jobs at a load.
    pub(super) fn draw_gap(&mut self, load: f64) -> Duration {
        let mean_run = (SHORTEST_MILLIS + LONGEST_MILLIS) / 2.0 / THOUSAND * self.scale;
        let max_tasks = f64::from(u32::try_from(self.max_tasks).unwrap_or(u32::MAX));
        let mean_work = mean_run * (1.0 + max_tasks) / 2.0;
        let mean_gap = mean_work / (self.slots * load);
        let unit: f64 = self.random.random();
        Duration::from_secs_f64(-unit.max(1e-9).ln() * mean_gap)
    }

    /// What an idle, perfect system would take.
    pub(super) fn ideal(&self, job: &Job) -> Duration {
        let longest = job.runs.iter().copied().max().unwrap_or_default();
        let total: Duration = job.runs.iter().sum();
        longest.max(total.div_f64(self.slots))
    }
}
