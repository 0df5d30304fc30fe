//! What the sessions between processes carried, from the line that each process writes
//! every second.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::log_line::LogLine;

/// Processes that are named, the busiest first.
const MOST_NAMED: usize = 5;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Carried {
    /// How many.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Bytes in the busiest second of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Peak {
    /// Bytes that it sent, or received, in that second.
    pub bytes: u64,
    /// When, as the process wrote it.
    pub time: String,
}

/// What all sessions carried. Each message is sent by one process and received by
/// another, so sums are over what was sent.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Traffic {
    /// What was sent, by kind.
    pub kinds: BTreeMap<String, Carried>,
    /// By process, the busiest second of what it sent.
    pub sent: BTreeMap<String, Peak>,
    /// By process, the busiest second of what it received.
    pub received: BTreeMap<String, Peak>,
}

impl Traffic {
    /// Takes in a line; `false` if its fields are not as they should be.
    pub fn take(&mut self, source: &str, line: &LogLine) -> bool {
        let sent = line.text("sent").map(parse);
        let received = line.text("received").map(parse);
        let (Some(Some(sent)), Some(Some(received))) = (sent, received) else {
            return false;
        };
        note_peak(&mut self.sent, source, line, &sent);
        note_peak(&mut self.received, source, line, &received);
        for (kind, carried) in sent {
            let sum = self.kinds.entry(kind).or_default();
            sum.messages += carried.messages;
            sum.bytes += carried.bytes;
        }
        true
    }
}

fn note_peak(
    peaks: &mut BTreeMap<String, Peak>,
    source: &str,
    line: &LogLine,
    carried: &[(String, Carried)],
) {
    let bytes = carried.iter().map(|(_, carried)| carried.bytes).sum();
    let peak = peaks.entry(source.to_owned()).or_default();
    if bytes > peak.bytes {
        peak.bytes = bytes;
        peak.time.clone_from(&line.timestamp);
    }
}

/// Reads `start:12:4380 stop:1:52`: kind, messages, bytes.
fn parse(text: &str) -> Option<Vec<(String, Carried)>> {
    text.split_whitespace().map(parse_kind).collect()
}

fn parse_kind(text: &str) -> Option<(String, Carried)> {
    let mut parts = text.split(':');
    let kind = parts.next()?.to_owned();
    let carried = Carried {
        messages: parts.next()?.parse().ok()?,
        bytes: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some((kind, carried))
}

impl fmt::Display for Traffic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.kinds.is_empty() {
            return Ok(());
        }
        writeln!(
            formatter,
            "\n{:<30} {:>10} {:>12} {:>8}",
            "between processes", "messages", "bytes", "mean"
        )?;
        let mut kinds: Vec<_> = self.kinds.iter().collect();
        kinds.sort_by_key(|(_, carried)| std::cmp::Reverse(carried.bytes));
        for (kind, carried) in kinds {
            writeln!(
                formatter,
                "{kind:<30} {:>10} {:>12} {:>8}",
                carried.messages,
                carried.bytes,
                carried.bytes / carried.messages.max(1)
            )?;
        }
        write_peaks(formatter, "sent in a second, most", &self.sent)?;
        write_peaks(formatter, "received in a second, most", &self.received)
    }
}

fn write_peaks(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    peaks: &BTreeMap<String, Peak>,
) -> fmt::Result {
    writeln!(formatter, "\n{title:<30} {:>10}  when", "bytes")?;
    let mut peaks: Vec<_> = peaks.iter().collect();
    peaks.sort_by_key(|(_, peak)| std::cmp::Reverse(peak.bytes));
    for (name, peak) in peaks.into_iter().take(MOST_NAMED) {
        writeln!(formatter, "{name:<30} {:>10}  {}", peak.bytes, peak.time)?;
    }
    Ok(())
}
