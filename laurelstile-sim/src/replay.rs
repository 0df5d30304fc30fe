//! Replays a recorded run through the emulator: the same jobs, with the run
//! times that their tasks had, on the capacity of a configuration.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use laurelstile_history::event::{Event, Record};
use laurelstile_types::configuration::Configuration;
use serde::Serialize;

use crate::workload::SimJob;
use crate::world::{RunResult, World, WorldPlan};

/// Gateways of the emulated cell.
const GATEWAYS: usize = 3;
const DEADLINE: u64 = 300_000_000;
const LATENCY: u64 = 500;
const CALLER_LATENCY: u64 = 3_000;
/// Largest ratio that is told apart, in thousandths.
const LARGEST_RATIO: u64 = 1_000_000;
const THOUSAND: f64 = 1_000.0;

/// What a replay gave.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Jobs answered.
    pub answered: u64,
    /// Mean of response over ideal.
    pub mean: f64,
    /// Median of response over ideal.
    pub p50: f64,
    /// 99th percentile of response over ideal.
    pub p99: f64,
    /// Messages between nodes for each task start.
    pub messages_per_task: f64,
    /// Messages by kind.
    pub messages: BTreeMap<&'static str, u64>,
}

/// The jobs of a recorded run whose tasks all ran to their end.
pub fn jobs_of(records: &[Record]) -> Vec<SimJob> {
    let mut submitted: BTreeMap<&str, (u64, u32)> = BTreeMap::new();
    let mut started: BTreeMap<(&str, u32), (&str, u64)> = BTreeMap::new();
    let mut runs: BTreeMap<&str, BTreeMap<u32, u64>> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Submitted { request, tasks, .. } => {
                submitted.insert(request, (record.at_micros, *tasks));
            }
            Event::TaskStarted {
                submission,
                task,
                request,
                ..
            } => {
                started.insert((submission, *task), (request, record.at_micros));
            }
            Event::TaskEnded { submission, task } => {
                if let Some((request, from)) = started.get(&(submission.as_str(), *task)) {
                    let run = record.at_micros.saturating_sub(*from);
                    runs.entry(request).or_default().insert(*task, run);
                }
            }
            _ => {}
        }
    }
    let first = submitted.values().map(|(at, _)| *at).min().unwrap_or(0);
    submitted
        .into_iter()
        .filter_map(|(request, (at, tasks))| {
            let runs = runs.get(request)?;
            (runs.len() == tasks as usize).then(|| SimJob {
                at: at - first,
                tenant: 0,
                runs: runs.values().copied().collect(),
                key: None,
            })
        })
        .collect()
}

/// Runs jobs on the capacity of a configuration: all its back ends, with the
/// mean of their slots.
pub fn replay(configuration: &Configuration, jobs: Vec<SimJob>) -> Outcome {
    let agents = configuration.backends().count().max(1);
    let slots: u32 = configuration.backends().map(|backend| backend.slots).sum();
    let each = (slots / u32::try_from(agents).unwrap_or(u32::MAX)).max(1);
    let plan = WorldPlan {
        seed: 1,
        gateways: GATEWAYS,
        agents,
        slots: each,
        quotas: vec![slots],
        deadline: DEADLINE,
        latency: LATENCY,
        caller_latency: CALLER_LATENCY,
        sabotage: None,
    };
    let ideals: Vec<u64> = jobs.iter().map(|job| job.ideal(slots)).collect();
    let last = jobs.iter().map(|job| job.at).max().unwrap_or(0);
    let result = World::new(plan, jobs, Vec::new()).run(last + DEADLINE);
    outcome_of(&ideals, result)
}

/// The figures of a run whose jobs have these ideal times.
fn outcome_of(ideals: &[u64], result: RunResult) -> Outcome {
    let mut ratios = Histogram::<u64>::new_with_max(LARGEST_RATIO, 3)
        .unwrap_or_else(|_| unreachable!("three digits are within the histogram's range"));
    for (job, response) in &result.responses {
        let ratio = response * 1_000 / ideals[*job].max(1);
        ratios.saturating_record(ratio);
    }
    let messages: u64 = result.messages.values().sum();
    Outcome {
        answered: ratios.len(),
        mean: ratios.mean() / THOUSAND,
        p50: to_ratio(ratios.value_at_quantile(0.5)),
        p99: to_ratio(ratios.value_at_quantile(0.99)),
        messages_per_task: divide(messages, result.starts),
        messages: result.messages,
    }
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn to_ratio(permille: u64) -> f64 {
    permille as f64 / THOUSAND
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn divide(one: u64, other: u64) -> f64 {
    one as f64 / other.max(1) as f64
}
