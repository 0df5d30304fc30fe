//! Entries that are left out: all are counted, a few are logged.

use std::sync::Mutex;

use laurelstiled::leased::set_aside::{self, Entry};
use laurelstiled::telemetry;
use log::{Log, Metadata, Record};

/// Lines logged by this process.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let values = record.key_values();
        let value = |key: &str| {
            let value = values.get(key.into());
            value.map(|value| value.to_string()).unwrap_or_default()
        };
        let line = format!("{} {} {}", value("event"), value("key"), value("error"));
        LINES.lock().expect("a lock").push(line);
    }

    fn flush(&self) {}
}

/// Guards against an entry that is read again and again and fills the log, and against one that is long.
#[test]
fn entries_are_counted_and_a_few_lines_of_bounded_length_are_logged() {
    log::set_logger(&Recorder).expect("the first logger");
    log::set_max_level(log::LevelFilter::Info);
    let metrics = telemetry::install().expect("the first recorder");
    let long = "x".repeat(1_000_000);
    for _ in 0..1_000 {
        set_aside::record(Entry::Row, &long, &long);
    }
    set_aside::record(Entry::Member, "key-1", &"odd");
    let text = metrics.render();
    let counted = |kind: &str, count: u32| {
        let line = format!("laurelstile_entries_set_aside_total{{kind=\"{kind}\"}} {count}");
        text.contains(&line)
    };
    assert!(counted("row", 1_000) && counted("member", 1), "{text}");
    let lines = LINES.lock().expect("a lock");
    let (rows, others): (Vec<&String>, Vec<&String>) = lines
        .iter()
        .partition(|line| line.starts_with("row_set_aside"));
    assert!((1..=10).contains(&rows.len()), "{} lines", rows.len());
    assert!(rows.iter().all(|line| line.len() < 1_000));
    assert_eq!(
        others,
        ["member_set_aside key-1 odd"],
        "kinds do not crowd each other out"
    );
}
