//! What the lab reads off processes: their messages from the metrics, their
//! processor time and memory from the operating system.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use http::Method;
use laurelstile_store::http::HttpClient;
use serde::Serialize;

use laurelstile_lab::error::LabError;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Longest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
const MEBIBYTE: u64 = 1_024 * 1_024;

/// Counters of one kind by a label's value.
pub type Counts = BTreeMap<String, u64>;

/// Reads the values of a counter from a node's metrics, by the value of its
/// only label.
///
/// # Errors
/// [`LabError::Http`].
pub async fn scrape(http: &HttpClient, node: &str, counter: &str) -> Result<Counts, LabError> {
    let uri = format!("{node}/metrics");
    let response = http.exchange(Method::GET, &uri, &[], Vec::new()).await?;
    let text = String::from_utf8_lossy(&response.body);
    let mut counts = Counts::new();
    for line in text.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Some(labels) = series.strip_prefix(counter) else {
            continue;
        };
        let kind = labels.split('"').nth(1).unwrap_or_default();
        let value: f64 = value.parse().unwrap_or(0.0);
        *counts.entry(kind.to_owned()).or_default() += to_count(value);
    }
    Ok(counts)
}

/// Adds `more` to `counts`.
pub fn add(counts: &mut Counts, more: Counts) {
    for (kind, count) in more {
        *counts.entry(kind).or_default() += count;
    }
}

/// What `after` has more than `before`.
pub fn since(before: &Counts, after: &Counts) -> Counts {
    after
        .iter()
        .map(|(kind, count)| {
            let earlier = before.get(kind).copied().unwrap_or(0);
            (kind.clone(), count.saturating_sub(earlier))
        })
        .collect()
}

/// Processor seconds that a process has used.
pub fn processor_seconds(pid: Option<u32>) -> f64 {
    let Some(pid) = pid else {
        return 0.0;
    };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may have spaces; the fields after it have none.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks: f64 = [11, 12]
        .iter()
        .filter_map(|index| fields.get(*index))
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Resident memory of a process, in MiB.
pub fn resident_mebibytes(pid: Option<u32>) -> u64 {
    let Some(pid) = pid else {
        return 0;
    };
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES / MEBIBYTE
}

/// A histogram of times.
pub fn times() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MICROS, 3)
        .unwrap_or_else(|_| unreachable!("three digits are within the histogram's range"))
}

/// Notes a time.
pub fn note(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}

/// A histogram in figures.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Figures of a histogram whose values are thousandths of the unit wanted:
/// microseconds for milliseconds, permille for ratios.
pub fn figures(histogram: &Histogram<u64>) -> Figures {
    Figures {
        count: histogram.len(),
        mean: histogram.mean() / MICROS_PER_MILLI,
        p50: thousandth(histogram.value_at_quantile(0.5)),
        p99: thousandth(histogram.value_at_quantile(0.99)),
    }
}

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn thousandth(value: u64) -> f64 {
    value as f64 / MICROS_PER_MILLI
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are whole and not negative"
)]
fn to_count(value: f64) -> u64 {
    value as u64
}
