//! Tasks that ran twice at the same time: both runs, and the caller's calls.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use super::{Life, Origin, Promptness, Record, RunEnd, Seen, TaskName, Told};

/// A run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSeen {
    /// Life of the worker.
    pub life: Life,
    /// The agent beside the worker, by its index.
    pub agent: Option<u32>,
    /// Where its order came from.
    pub origin: Origin,
    /// How late its order was carried out.
    pub promptness: Promptness,
    /// When it started, in microseconds.
    pub started: u64,
    /// When it ended, in microseconds, and how; `None` if it has not.
    pub ended: Option<(u64, RunEnd)>,
}

/// A call by which a job was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSeen {
    /// The gateway, by its index.
    pub gateway: Option<u32>,
    /// When it was made, in microseconds.
    pub at: u64,
    /// When it ended, in microseconds, and what the caller was told; `None` if it has not.
    pub answered: Option<(u64, Told)>,
}

/// Which submissions two runs of a task were ordered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The same: its gateway took the first run to be over.
    OneCall,
    /// Different ones: two gateways, or two processes of one, held the job.
    TwoCalls,
    /// The history does not tell.
    Unknown,
}

/// Two runs of a task at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubleRun {
    /// The task.
    pub task: TaskName,
    /// The run that started first.
    pub first: RunSeen,
    /// The run that started before the first had ended.
    pub second: RunSeen,
    /// All submissions of the job, in their order.
    pub calls: Vec<CallSeen>,
}

impl DoubleRun {
    /// Which submissions the runs were ordered for.
    pub fn source(&self) -> Source {
        match (self.first.origin.call, self.second.origin.call) {
            (Some(first), Some(second)) if first == second => Source::OneCall,
            (Some(_), Some(_)) => Source::TwoCalls,
            _ => Source::Unknown,
        }
    }

    /// Whether it breaks [`super::Rule::OneRun`].
    pub fn breaks_rule(&self) -> bool {
        let runs = [&self.first, &self.second];
        runs.iter()
            .all(|run| run.promptness != Promptness::LateAndUnreached)
    }

    /// How long both ran, in microseconds; `None` if both still run.
    pub fn overlap(&self) -> Option<u64> {
        let ends = [self.first.ended, self.second.ended].into_iter().flatten();
        let end = ends.map(|(at, _)| at).min()?;
        Some(end.saturating_sub(self.second.started))
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
        if !self.breaks_rule() {
            write!(f, ", breaks no rule")?;
        }
        match self.overlap() {
            Some(overlap) => write!(f, ", for {} ms)", Millis(overlap))?,
            None => write!(f, ", to the end)")?,
        }
        for run in [&self.first, &self.second] {
            write!(f, "\n    {run}")?;
        }
        for (call, number) in self.calls.iter().zip(1..) {
            write!(f, "\n    call {number} {call}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RunSeen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Origin {
            run,
            token,
            gateway,
            call,
        } = self.origin;
        write!(
            f,
            "run {run} of gateway {} (call {}) by agent {} (token {token}) on life {}: {} ms to ",
            Known(gateway),
            Known(call),
            Known(self.agent),
            self.life,
            Millis(self.started)
        )?;
        match self.ended {
            Some((at, how)) => write!(f, "{} ms, {how:?}", Millis(at))?,
            None => write!(f, "the end")?,
        }
        if self.promptness == Promptness::Prompt {
            return Ok(());
        }
        write!(f, ", {:?}", self.promptness)
    }
}

impl fmt::Display for CallSeen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "to gateway {}: {} ms to ",
            Known(self.gateway),
            Millis(self.at)
        )?;
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
struct Known(Option<u32>);

impl fmt::Display for Known {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => write!(f, "?"),
        }
    }
}

/// All tasks of a history that ran twice at the same time, one entry for each pair of runs. Unlike
/// the judge, this leaves out no run for the lateness of its order.
pub fn double_runs(records: &[Record]) -> Vec<DoubleRun> {
    let mut agents: HashMap<Life, Option<u32>> = HashMap::new();
    let mut calls: HashMap<u64, Vec<CallSeen>> = HashMap::new();
    let mut runs: BTreeMap<TaskName, Vec<RunSeen>> = BTreeMap::new();
    for Record { at, seen } in records {
        match seen {
            Seen::Began { life, agent, .. } => {
                agents.insert(*life, *agent);
            }
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
                origin,
                ..
            } => runs.entry(*task).or_default().push(RunSeen {
                life: *life,
                agent: agents.get(life).copied().flatten(),
                origin: *origin,
                promptness: *promptness,
                started: *at,
                ended: None,
            }),
            Seen::Ended { life, task, how } => {
                let runs = runs.entry(*task).or_default().iter_mut();
                let mut open = runs.rev().filter(|run| run.ended.is_none());
                if let Some(run) = open.find(|run| run.life == *life) {
                    run.ended = Some((*at, *how));
                }
            }
            _ => {}
        }
    }
    let mut found: Vec<DoubleRun> = Vec::new();
    for (task, runs) in &runs {
        for (number, second) in runs.iter().enumerate() {
            let overlapping = runs[..number]
                .iter()
                .filter(|first| first.ended.is_none_or(|(at, _)| at > second.started));
            found.extend(overlapping.map(|first| DoubleRun {
                task: *task,
                first: first.clone(),
                second: second.clone(),
                calls: calls.get(&task.job).cloned().unwrap_or_default(),
            }));
        }
    }
    found.sort_by_key(|double_run| double_run.second.started);
    found
}
