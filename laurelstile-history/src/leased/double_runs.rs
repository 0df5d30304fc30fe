//! Finds tasks that ran on two workers at once, and who ordered each run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use super::{Life, Promptness, Record, Recorded, RunEnd, Seen, StartOrder, TaskName, Told};

/// One of the runs of a task that overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct OverlappingRun {
    /// Life of the worker.
    pub life: Life,
    /// When it started, in microseconds.
    pub started: u64,
    /// When it ended, in microseconds, and how; `None` if it has not.
    pub ended: Option<(u64, RunEnd)>,
    /// How late its order was carried out.
    pub promptness: Promptness,
    /// The gateway's order, if it is known.
    pub order: Option<StartOrder>,
    /// When the first stop reached it while it ran, in microseconds.
    pub stopped_at: Option<u64>,
    /// When its end was acknowledged, in microseconds, and the agent's fencing token.
    pub acknowledged: Option<(u64, u64)>,
}

/// A call by which a job was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallSeen {
    /// Number of the gateway, if it is known.
    pub gateway: Option<usize>,
    /// When it was made, in microseconds.
    pub at: u64,
    /// When it ended, in microseconds, and what the caller was told; `None` if it has not.
    pub answered: Option<(u64, Told)>,
}

/// Which submissions the runs of a task were ordered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Source {
    /// The same: its gateway took the earlier runs to be over.
    OneCall,
    /// Different ones.
    TwoCalls,
    /// The history does not say.
    Unknown,
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
    /// All submissions of the job, in their order.
    pub calls: Vec<CallSeen>,
    /// What the history records besides the runs.
    pub recorded: Recorded,
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

    /// Whether one process of a gateway is known to have ordered all of the runs.
    pub fn has_one_gateway(&self) -> bool {
        let mut gateways = self
            .runs
            .iter()
            .map(|run| run.order.and_then(|order| order.gateway_incarnation));
        let first = gateways.next().flatten();
        first.is_some() && gateways.all(|gateway| gateway == first)
    }

    /// Which submissions the runs were ordered for.
    pub fn source(&self) -> Source {
        let calls = self.runs.iter().map(|run| run.order?.call);
        match calls.collect::<Option<BTreeSet<usize>>>() {
            None => Source::Unknown,
            Some(calls) if calls.len() == 1 => Source::OneCall,
            Some(_) => Source::TwoCalls,
        }
    }

    /// How long the runs went on beside one another, in microseconds; `None` if none has ended.
    pub fn overlap(&self) -> Option<u64> {
        let ends = self.runs.iter().filter_map(|run| run.ended);
        let end = ends.map(|(at, _)| at).min()?;
        Some(end.saturating_sub(self.at))
    }
}

impl OverlappingRun {
    fn is_of(&self, life: Life, number: u32) -> bool {
        self.life == life && self.order.is_some_and(|order| order.run == number)
    }
}

impl fmt::Display for DoubleRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName { job, step, index } = self.task;
        write!(
            f,
            "{job:016x}.0.{step}.{index} ran twice ({:?}",
            self.source()
        )?;
        if self.is_excused() {
            write!(f, ", breaks no rule")?;
        }
        match self.overlap() {
            Some(overlap) => write!(f, ", for {} ms)", Millis(overlap))?,
            None => write!(f, ", to the end)")?,
        }
        for run in &self.runs {
            write!(f, "\n    {run}")?;
        }
        for (call, number) in self.calls.iter().zip(1..) {
            write!(f, "\n    call {number} {call}")?;
        }
        write!(f, "\n    {}", self.lost_track())
    }
}

impl fmt::Display for OverlappingRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.order {
            Some(order) => write!(
                f,
                "run {} of gateway {} (call {}) by agent {} (token {})",
                order.run,
                order.gateway,
                Known(order.call),
                order.agent,
                Known(order.token)
            )?,
            None => write!(f, "run of an unknown order")?,
        }
        let started = Millis(self.started);
        write!(f, " on life {}: {started} ms to ", self.life)?;
        match self.ended {
            Some((at, how)) => write!(f, "{} ms, {how:?}", Millis(at))?,
            None => write!(f, "the end")?,
        }
        if let Some(at) = self.stopped_at {
            write!(f, ", stop at {} ms", Millis(at))?;
        }
        if let Some((at, token)) = self.acknowledged {
            write!(f, ", acknowledged at {} ms by {token}", Millis(at))?;
        }
        if self.promptness == Promptness::Prompt {
            return Ok(());
        }
        write!(f, ", {:?}", self.promptness)
    }
}

impl fmt::Display for CallSeen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (gateway, at) = (Known(self.gateway), Millis(self.at));
        write!(f, "to gateway {gateway}: {at} ms to ")?;
        match self.answered {
            Some((at, told)) => write!(f, "{} ms, {told:?}", Millis(at)),
            None => write!(f, "the end"),
        }
    }
}

/// A time in microseconds, shown in milliseconds.
struct Millis(u64);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// A number that may be unknown.
struct Known<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for Known<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(number) => write!(f, "{number}"),
            None => write!(f, "?"),
        }
    }
}

/// A start of a task beside other runs of it, by their places among all runs of the task.
struct Overlap {
    at: u64,
    task: TaskName,
    runs: Vec<usize>,
    submissions: usize,
}

/// Every start of a task that still runs on another worker, including those that the judge
/// excuses.
pub fn double_runs(records: &[Record]) -> Vec<DoubleRun> {
    let mut calls: BTreeMap<u64, Vec<CallSeen>> = BTreeMap::new();
    let mut runs: BTreeMap<TaskName, Vec<OverlappingRun>> = BTreeMap::new();
    let mut overlaps = Vec::new();
    let mut recorded = Recorded::default();
    for Record { at, seen } in records {
        match seen {
            Seen::Submitted { job, gateway, .. } => calls.entry(*job).or_default().push(CallSeen {
                gateway: *gateway,
                at: *at,
                answered: None,
            }),
            Seen::Answered { job, told, .. } => {
                let open = calls.entry(*job).or_default().iter_mut();
                if let Some(call) = open.rev().find(|call| call.answered.is_none()) {
                    call.answered = Some((*at, *told));
                }
            }
            Seen::Started {
                life,
                task,
                promptness,
                order,
                ..
            } => {
                let runs = runs.entry(*task).or_default();
                runs.push(OverlappingRun {
                    life: *life,
                    started: *at,
                    ended: None,
                    promptness: *promptness,
                    order: *order,
                    stopped_at: None,
                    acknowledged: None,
                });
                let open: Vec<usize> = (0..runs.len())
                    .filter(|place| runs[*place].ended.is_none())
                    .collect();
                if open.len() > 1 {
                    overlaps.push(Overlap {
                        at: *at,
                        task: *task,
                        runs: open,
                        submissions: calls.get(&task.job).map_or(0, Vec::len),
                    });
                }
            }
            Seen::Ended { life, task, how } => {
                let runs = runs.entry(*task).or_default().iter_mut();
                for run in runs.filter(|run| run.life == *life) {
                    run.ended.get_or_insert((*at, *how));
                }
            }
            Seen::StopReceived { life, task, run } => {
                recorded.stops = true;
                let runs = runs.entry(*task).or_default().iter_mut();
                let meant = runs.filter(|seen| seen.is_of(*life, *run) && seen.ended.is_none());
                for seen in meant {
                    seen.stopped_at.get_or_insert(*at);
                }
            }
            Seen::Acknowledged {
                life,
                task,
                run,
                token,
            } => {
                recorded.acknowledgements = true;
                let runs = runs.entry(*task).or_default().iter_mut();
                for seen in runs.filter(|seen| seen.is_of(*life, *run)) {
                    seen.acknowledged.get_or_insert((*at, *token));
                }
            }
            _ => {}
        }
    }
    let found = overlaps.into_iter().map(|overlap| DoubleRun {
        at: overlap.at,
        task: overlap.task,
        runs: overlap
            .runs
            .iter()
            .map(|place| runs[&overlap.task][*place])
            .collect(),
        submissions: u32::try_from(overlap.submissions).unwrap_or(u32::MAX),
        calls: calls.get(&overlap.task.job).cloned().unwrap_or_default(),
        recorded,
    });
    found.collect()
}
