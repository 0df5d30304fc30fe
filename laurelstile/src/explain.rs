//! Explains what became of one job, from the log lines of all processes.
//!
//! Reads JSON lines as the daemons write them; a line may have a prefix, such
//! as a time and the name of a node.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::log_line::LogLine;

/// Something that a process wrote of the job.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// When, as the process wrote it.
    pub time: String,
    /// What stood before the line, such as the name of a node; else the file.
    pub source: String,
    /// What happened.
    pub event: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

/// Why a job ended as it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was done within its objective.
    OnTime,
    /// It was done late.
    Late {
        /// Milliseconds from its coming to its last placement.
        last_placed_ms: u64,
        /// Ends other than done, by kind.
        setbacks: BTreeMap<String, u64>,
    },
    /// It was refused.
    Refused {
        /// The gateway's reason.
        reason: String,
        /// Placements that came back, by kind.
        setbacks: BTreeMap<String, u64>,
    },
    /// A task failed as often as its queue allows.
    Failed,
    /// A task took the workers down that started it.
    TookWorkersDown {
        /// Lives of these workers.
        workers: String,
    },
    /// It was given up at its caller's deadline.
    GivenUp {
        /// Ends other than done, by kind.
        setbacks: BTreeMap<String, u64>,
    },
    /// Its caller left first.
    Abandoned {
        /// Milliseconds since it came.
        age_ms: u64,
    },
    /// Its gateway took it and never said more: the process ended, or its
    /// lines are missing.
    GatewayLost {
        /// The gateway.
        gateway: String,
    },
    /// No line tells of it.
    Unknown,
}

/// What is known of a job.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Lines of the job, in order.
    pub entries: Vec<Entry>,
    /// Why it ended as it did.
    pub cause: Cause,
}

/// Explains `job` from logs, each with a name.
pub fn explain<'a>(job: &str, logs: impl Iterator<Item = (&'a str, &'a str)>) -> Explanation {
    let mut entries: Vec<Entry> = logs
        .flat_map(|(name, text)| text.lines().map(move |line| (name, line)))
        .filter(|(_, line)| line.contains(job))
        .filter_map(|(name, line)| entry(job, name, line))
        .collect();
    entries.sort_by(|one, other| one.time.cmp(&other.time));
    let cause = cause_of(&entries);
    Explanation { entries, cause }
}

fn entry(job: &str, name: &str, line: &str) -> Option<Entry> {
    let mut line = LogLine::parse(line)?;
    if line.job() != Some(job) && !names_run_of(&line, job) {
        return None;
    }
    let event = line.event()?.to_owned();
    line.fields.remove("event");
    Some(Entry {
        time: line.timestamp,
        source: line.source.unwrap_or_else(|| name.to_owned()),
        event,
        fields: line.fields,
    })
}

/// Whether the line is of a dead worker that had a run of the job.
fn names_run_of(line: &LogLine, job: &str) -> bool {
    let is_death = line.event() == Some("worker_life_over");
    is_death && line.text("tasks").is_some_and(|tasks| tasks.contains(job))
}

fn cause_of(entries: &[Entry]) -> Cause {
    let find = |event: &str| entries.iter().rev().find(|entry| entry.event == event);
    if let Some(answered) = find("answered") {
        return cause_of_answer(entries, answered);
    }
    if let Some(abandoned) = find("abandoned") {
        let age_ms = number(abandoned, "age_ms");
        return Cause::Abandoned { age_ms };
    }
    match find("taken") {
        Some(taken) => Cause::GatewayLost {
            gateway: taken.source.clone(),
        },
        None => Cause::Unknown,
    }
}

fn cause_of_answer(entries: &[Entry], answered: &Entry) -> Cause {
    let answer = text(answered, "answer");
    let setbacks = setbacks(entries);
    match answer.split_once(':') {
        Some((_, reason)) => Cause::Refused {
            reason: reason.to_owned(),
            setbacks,
        },
        None if answer == "failed" => cause_of_failure(entries),
        None if answer == "givenup" => Cause::GivenUp { setbacks },
        None if number(answered, "age_ms") > number(answered, "objective_ms") => Cause::Late {
            last_placed_ms: last_placed(entries),
            setbacks,
        },
        None => Cause::OnTime,
    }
}

fn cause_of_failure(entries: &[Entry]) -> Cause {
    let is_proof = |entry: &&Entry| {
        let is_given_up = entry.fields.get("is_given_up");
        entry.event == "task_suspected" && is_given_up == Some(&Value::Bool(true))
    };
    let proof = entries.iter().rev().find(is_proof);
    proof.map_or(Cause::Failed, |proof| Cause::TookWorkersDown {
        workers: text(proof, "workers").to_owned(),
    })
}

/// Ends other than done that reached the gateway, by kind.
fn setbacks(entries: &[Entry]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.event == "came_back") {
        *counts.entry(text(entry, "how").to_owned()).or_default() += 1;
    }
    counts
}

fn last_placed(entries: &[Entry]) -> u64 {
    entries
        .iter()
        .filter(|entry| entry.event == "placed")
        .map(|entry| number(entry, "age_ms"))
        .max()
        .unwrap_or(0)
}

fn number(entry: &Entry, field: &str) -> u64 {
    entry.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
}

fn text<'a>(entry: &'a Entry, field: &str) -> &'a str {
    entry
        .fields
        .get(field)
        .and_then(Value::as_str)
        .unwrap_or("")
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            write!(formatter, "{} {} {}", entry.time, entry.source, entry.event)?;
            for (name, value) in &entry.fields {
                write!(formatter, " {name}={value}")?;
            }
            writeln!(formatter)?;
        }
        write!(formatter, "cause: {}", self.cause)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OnTime => write!(formatter, "done within its objective"),
            Self::Late {
                last_placed_ms,
                setbacks,
            } => write!(
                formatter,
                "done late: last placed {last_placed_ms} ms after it came; came back: {setbacks:?}"
            ),
            Self::Refused { reason, setbacks } => {
                write!(formatter, "refused as {reason}; came back: {setbacks:?}")
            }
            Self::Failed => write!(formatter, "a task failed as often as its queue allows"),
            Self::TookWorkersDown { workers } => {
                write!(
                    formatter,
                    "a task took the workers down that started it: {workers}"
                )
            }
            Self::GivenUp { setbacks } => write!(
                formatter,
                "given up at its caller's deadline; came back: {setbacks:?}"
            ),
            Self::Abandoned { age_ms } => {
                write!(formatter, "its caller left after {age_ms} ms")
            }
            Self::GatewayLost { gateway } => write!(
                formatter,
                "{gateway} took it and said no more: its process ended, or its lines are missing"
            ),
            Self::Unknown => write!(formatter, "no line tells of it"),
        }
    }
}
