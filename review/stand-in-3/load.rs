//! Callers that keep a cell busy, and the rule on a worker's room.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::cell::Cell;
use crate::http;
use crate::json::{Json, number, object, text};
use crate::names::name;
use crate::record::Record;
use crate::worker::{Jobs, Work};

/// Room of the first worker after it has shrunk.
pub const SHRUNK: u64 = 4_000;
const TASK_CPU: u64 = 1_600;
const TASK_MILLIS: u64 = 200;
const TASKS: u64 = 8;
/// A job each 42 ms: 190 tasks a second, where four workers of 16,000 have room for 200.
const PAUSE: Duration = Duration::from_millis(42);
/// After which a room that has shrunk counts: `contact_ms` of the small deployments, and a beat.
pub const GRACE: u64 = 3_000 + 1_500;
/// Fewer starts show that the cell did not work.
const MIN_STARTS: usize = 500;

/// Submits jobs until it is dropped.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Callers {
    pub fn start(cell: &Cell) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (fronts, jobs, record) = (cell.fronts.clone(), cell.jobs.clone(), cell.record.clone());
        let ends = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let mut calls = Vec::new();
            let mut of = 0;
            while !ends.load(Ordering::Relaxed) {
                of += 1;
                let front = fronts[of as usize % fronts.len()];
                let (jobs, record) = (jobs.clone(), record.clone());
                calls.push(std::thread::spawn(move || call(of, front, &jobs, &record)));
                std::thread::sleep(PAUSE);
            }
            for call in calls {
                let _ = call.join();
            }
        });
        Self {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn call(of: u64, front: SocketAddr, jobs: &Jobs, record: &Record) {
    let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000 + of);
    let work = Work {
        cpu: TASK_CPU,
        millis: TASK_MILLIS,
        label: String::new(),
    };
    submit(&id, &work, TASKS, front, jobs, record);
}

/// Submits a job of `count` tasks, and waits for its answer.
pub fn submit(id: &str, work: &Work, count: u64, front: SocketAddr, jobs: &Jobs, record: &Record) {
    jobs.lock().unwrap().insert(id.to_owned(), work.clone());
    let mut step = object([
        ("count", number(count)),
        ("cpu", number(work.cpu)),
        ("mem_mb", number(64)),
        ("estimate_ms", number(work.millis)),
    ]);
    if let Json::Object(fields) = &mut step
        && !work.label.is_empty()
    {
        fields.insert("requirements".to_owned(), text(&work.label));
    }
    let body = object([
        ("spec", text("a text")),
        ("steps", Json::List(vec![step])),
        (name("loose"), Json::Bool(true)),
    ]);
    record.add(&format!("caller sends {id} to {front}"));
    let headers = [("Host", "checks.example"), ("Deadline-Ms", "1500")];
    let path = format!("/checks/{id}");
    let patience = Duration::from_millis(1_500);
    let answer = http::call(front, "POST", &path, &headers, &body.to_string(), patience);
    let status = answer.map_or(0, |(status, ..)| status);
    record.add(&format!("caller gets {status} for {id}"));
}

/// Whether no start has brought the first worker over its room later than [`GRACE`] after `since`.
pub fn keeps_room(record: &Record, since: u64) -> bool {
    let text = record.read();
    let mut starts = text
        .lines()
        .filter(|line| line.contains("worker-0 starts "));
    let over = starts.by_ref().filter(|line| {
        let used = line
            .rsplit_once("used=")
            .and_then(|(_, used)| used.parse().ok());
        time_of(line) > since + GRACE && used.unwrap_or(0) > SHRUNK
    });
    let over: Vec<&str> = over.collect();
    let most = over.iter().filter_map(|line| line.rsplit_once("used="));
    let most = most.filter_map(|(_, used)| used.parse::<u64>().ok()).max();
    let starts = text
        .lines()
        .filter(|line| line.contains(" starts "))
        .count();
    record.add(&format!(
        "verdict: {} starts over the room {SHRUNK} of worker-0, to {} at most, from {} to {} ms after it counts; {starts} starts in all",
        over.len(),
        most.unwrap_or(0),
        over.first().map_or(0, |line| time_of(line) - since - GRACE),
        over.last().map_or(0, |line| time_of(line) - since - GRACE),
    ));
    if starts < MIN_STARTS {
        eprintln!("the cell has hardly worked");
        std::process::exit(2);
    }
    over.is_empty()
}

/// When a line was recorded.
pub fn time_of(line: &str) -> u64 {
    let time = line.split_whitespace().next();
    time.and_then(|time| time.parse().ok()).unwrap_or(0)
}
