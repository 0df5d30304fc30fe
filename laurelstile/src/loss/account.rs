//! Sums over outcomes: by cause, queue, size and zone, and second by second.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::job::{Cause, Outcome};
use super::traffic::Traffic;

/// Longest time held that is told apart, in milliseconds.
const MOST_HELD_MILLIS: u64 = 600_000;
/// Characters of a timestamp up to its seconds: `2026-01-01T00:00:00`.
const SECOND_CHARS: usize = 19;

/// Outcomes of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    /// How many.
    pub jobs: u64,
    /// Their work by the estimates, in core-milliseconds.
    pub work_core_millis: u64,
    /// One of them, for `laurelstile explain`.
    pub example: String,
    #[serde(skip)]
    held: Histogram<u64>,
}

/// One second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Jobs that came.
    pub taken: u64,
    /// Jobs done within their objective.
    pub in_time: u64,
    /// Jobs done late.
    pub late: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Jobs that ended otherwise.
    pub other: u64,
    /// Gateways that started.
    pub starts: u64,
}

/// An account of what became of all jobs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Account {
    /// Lines that were read.
    pub lines: u64,
    /// Lines that were skipped: of others, cut or garbled.
    pub skipped: u64,
    /// Lines that the processes' own bounds kept from being written.
    pub dropped: u64,
    /// By cause.
    pub causes: BTreeMap<Cause, Group>,
    /// By queue and cause.
    pub queues: BTreeMap<String, BTreeMap<Cause, u64>>,
    /// By size and cause.
    pub sizes: BTreeMap<String, BTreeMap<Cause, u64>>,
    /// By zone of the gateway and cause.
    pub zones: BTreeMap<String, BTreeMap<Cause, u64>>,
    /// By second, as the processes wrote it.
    pub seconds: BTreeMap<String, Second>,
    /// What the sessions between processes carried.
    pub traffic: Traffic,
}

impl Group {
    fn new(example: &str) -> Self {
        let histogram = Histogram::new_with_max(MOST_HELD_MILLIS, 3);
        Self {
            jobs: 0,
            work_core_millis: 0,
            example: example.to_owned(),
            held: histogram.expect("the bounds of the histogram are valid"),
        }
    }

    /// A quantile of the time held, in milliseconds.
    pub fn held_millis(&self, quantile: f64) -> u64 {
        self.held.value_at_quantile(quantile)
    }
}

impl Account {
    /// Jobs in all.
    pub fn jobs(&self) -> u64 {
        self.causes.values().map(|group| group.jobs).sum()
    }

    /// Jobs of one cause.
    pub fn count(&self, cause: Cause) -> u64 {
        self.causes.get(&cause).map_or(0, |group| group.jobs)
    }

    /// The second of a timestamp.
    pub fn second(&mut self, time: &str) -> &mut Second {
        let second: String = time.chars().take(SECOND_CHARS).collect();
        self.seconds.entry(second).or_default()
    }

    /// Adds an outcome.
    pub fn note(&mut self, job: &str, zone: &str, outcome: &Outcome) {
        let cause = outcome.cause;
        let group = self.causes.entry(cause).or_insert_with(|| Group::new(job));
        group.jobs += 1;
        group.work_core_millis += outcome.work;
        group.held.saturating_record(outcome.held_millis);
        for (table, name) in [
            (&mut self.queues, outcome.queue.as_str()),
            (&mut self.sizes, outcome.size.as_str()),
            (&mut self.zones, zone),
        ] {
            let causes = table.entry(name.to_owned()).or_default();
            *causes.entry(cause).or_default() += 1;
        }
        let second = self.second(&outcome.time);
        match cause {
            Cause::InTime => second.in_time += 1,
            cause if cause.is_late() => second.late += 1,
            cause if cause.is_refusal() => second.refused += 1,
            _ => second.other += 1,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

impl fmt::Display for Account {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = self.jobs();
        writeln!(
            formatter,
            "{:<30} {:>8} {:>7} {:>10} {:>8} {:>8}  example",
            "cause", "jobs", "share", "core-s", "p50 ms", "p99 ms"
        )?;
        for (cause, group) in &self.causes {
            writeln!(
                formatter,
                "{:<30} {:>8} {:>7.4} {:>10} {:>8} {:>8}  {}",
                cause.name(),
                group.jobs,
                share(group.jobs, all),
                group.work_core_millis / 1_000,
                group.held_millis(0.5),
                group.held_millis(0.99),
                group.example
            )?;
        }
        for (title, table) in [
            ("queue", &self.queues),
            ("size", &self.sizes),
            ("zone", &self.zones),
        ] {
            write_table(formatter, title, table)?;
        }
        write_seconds(formatter, &self.seconds)?;
        write!(formatter, "{}", self.traffic)?;
        write!(
            formatter,
            "\n{} lines read, {} skipped; {} were never written, by the bound of the log",
            self.lines, self.skipped, self.dropped
        )
    }
}

fn write_table(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    table: &BTreeMap<String, BTreeMap<Cause, u64>>,
) -> fmt::Result {
    writeln!(
        formatter,
        "\n{title:<30} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "jobs", "in time", "late", "refused", "other"
    )?;
    for (name, causes) in table {
        let sum = |is_wanted: &dyn Fn(Cause) -> bool| -> u64 {
            let wanted = causes.iter().filter(|(cause, _)| is_wanted(**cause));
            wanted.map(|(_, jobs)| jobs).sum()
        };
        let all = sum(&|_| true);
        let in_time = sum(&|cause| cause == Cause::InTime);
        let late = sum(&Cause::is_late);
        let refused = sum(&Cause::is_refusal);
        writeln!(
            formatter,
            "{name:<30} {all:>8} {in_time:>8} {late:>8} {refused:>8} {:>8}",
            all - in_time - late - refused
        )?;
    }
    Ok(())
}

fn write_seconds(
    formatter: &mut fmt::Formatter<'_>,
    seconds: &BTreeMap<String, Second>,
) -> fmt::Result {
    writeln!(
        formatter,
        "\n{:<30} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "second", "taken", "in time", "late", "refused", "other", "starts"
    )?;
    for (name, second) in seconds {
        writeln!(
            formatter,
            "{name:<30} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            second.taken, second.in_time, second.late, second.refused, second.other, second.starts
        )?;
    }
    Ok(())
}
