//! A line each second of what the sessions of this process have carried.

use std::fmt::Write;
use std::time::Duration;

use laurelstile_wire::traffic::{self, Direction, MessageCounts};
use tokio::time::MissedTickBehavior;

/// Pause between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Writes the lines until the process ends.
pub async fn write() {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let tallies = traffic::take();
        if !tallies.is_empty() {
            let sent = line_of(&tallies, Direction::Sent);
            let received = line_of(&tallies, Direction::Received);
            log::info!(event = "traffic", sent = sent.as_str(), received = received.as_str(); "");
        }
    }
}

/// Kind, messages and bytes of one direction: `start:12:4380 stop:1:52`.
fn line_of(tallies: &MessageCounts, wanted: Direction) -> String {
    let mut line = String::new();
    for ((direction, kind), tally) in tallies {
        if *direction != wanted {
            continue;
        }
        if !line.is_empty() {
            line.push(' ');
        }
        // Writing to a string cannot fail.
        let _ = write!(line, "{kind}:{}:{}", tally.messages, tally.bytes);
    }
    line
}
