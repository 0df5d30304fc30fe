//! Logs once a second the messages and bytes that the sessions of this process have carried.

use std::fmt::Write;
use std::time::Duration;

use laurelstile_wire::traffic::{self, Direction, MessageCounts};
use tokio::time::MissedTickBehavior;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the traffic of each interval; never returns.
pub async fn run() {
    let mut ticks = tokio::time::interval(LOG_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let counts = traffic::take();
        if !counts.is_empty() {
            let sent = format_counts(&counts, Direction::Sent);
            let received = format_counts(&counts, Direction::Received);
            log::info!(event = "traffic", sent = sent.as_str(), received = received.as_str(); "");
        }
    }
}

/// Formats the counts of one direction as `kind:messages:bytes`, such as
/// `start:12:4380 stop:1:52`.
fn format_counts(counts: &MessageCounts, wanted: Direction) -> String {
    let mut line = String::new();
    for ((direction, kind), count) in counts {
        if *direction != wanted {
            continue;
        }
        if !line.is_empty() {
            line.push(' ');
        }
        // Writing to a string cannot fail.
        let _ = write!(line, "{kind}:{}:{}", count.messages, count.bytes);
    }
    line
}
