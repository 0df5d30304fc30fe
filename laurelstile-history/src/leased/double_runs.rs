//! Finds tasks that ran on two workers at once, and who ordered each run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Life, Promptness, Record, Seen, StartOrder, TaskName};

/// One of the runs of a task that overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct OverlappingRun {
    /// Life of the worker.
    pub life: Life,
    /// When it started, in microseconds.
    pub started: u64,
    /// How late its order was carried out.
    pub promptness: Promptness,
    /// The gateway's order, if it is known.
    pub order: Option<StartOrder>,
}

/// A task that runs on more than one worker, seen when the last of the runs starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DoubleRun {
    /// When the last of the runs started, in microseconds.
    pub at: u64,
    /// The task.
    pub task: TaskName,
    /// The runs, by the time of their start.
    pub runs: Vec<OverlappingRun>,
    /// How often the job had been submitted until then.
    pub submissions: u32,
}

impl DoubleRun {
    /// Whether one of the runs was started by an order that was carried out late.
    pub fn has_late_start(&self) -> bool {
        self.runs.iter().any(|run| !run.promptness.is_prompt())
    }

    /// Whether the judge excuses it: an order started one of the runs that outlived the life
    /// to which it was sent.
    pub fn is_excused(&self) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|run| run.promptness == Promptness::LateAndUnreached)
    }

    /// Whether one process of a gateway ordered all of the runs.
    pub fn has_one_gateway(&self) -> bool {
        let mut gateways = self
            .runs
            .iter()
            .map(|run| run.order.map(|order| order.gateway_incarnation));
        let first = gateways.next().flatten();
        first.is_some() && gateways.all(|gateway| gateway == first)
    }
}

/// Every start of a task that still runs on another worker, including those that the judge
/// excuses.
pub fn double_runs(records: &[Record]) -> Vec<DoubleRun> {
    let mut submissions: BTreeMap<u64, u32> = BTreeMap::new();
    let mut running: BTreeMap<TaskName, Vec<OverlappingRun>> = BTreeMap::new();
    let mut found = Vec::new();
    for record in records {
        match &record.seen {
            Seen::Submitted { job, .. } => *submissions.entry(*job).or_default() += 1,
            Seen::Started {
                life,
                task,
                promptness,
                order,
                ..
            } => {
                let runs = running.entry(*task).or_default();
                runs.push(OverlappingRun {
                    life: *life,
                    started: record.at,
                    promptness: *promptness,
                    order: *order,
                });
                if runs.len() > 1 {
                    found.push(DoubleRun {
                        at: record.at,
                        task: *task,
                        runs: runs.clone(),
                        submissions: submissions.get(&task.job).copied().unwrap_or(0),
                    });
                }
            }
            Seen::Ended { life, task, .. } => {
                if let Some(runs) = running.get_mut(task) {
                    runs.retain(|run| run.life != *life);
                }
            }
            _ => {}
        }
    }
    found
}
