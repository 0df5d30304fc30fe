//! What was sent, answered and run: written to `record.txt`, and kept for the judgement.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A run as its worker saw it; times in milliseconds since the start of the script.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub started: u64,
    pub ended: Option<u64>,
}

impl SeenRun {
    pub fn is_of(&self, job: &str) -> bool {
        self.task
            .strip_prefix(job)
            .is_some_and(|rest| rest.starts_with('.'))
    }
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<SeenRun>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
        })
    }

    /// Milliseconds since the start of the script.
    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0)
    }

    pub fn note(&self, line: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("file");
        let _ = writeln!(file, "{:>4}.{:03} s  {line}", now / 1_000, now % 1_000);
    }

    pub fn started(&self, worker: &str, task: &str, run: u64) {
        let seen = SeenRun {
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            started: self.now(),
            ended: None,
        };
        self.runs.lock().expect("runs").push(seen);
        self.note(&format!("{worker} starts {task} run {run}"));
    }

    pub fn ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        let now = self.now();
        let mut runs = self.runs.lock().expect("runs");
        let of_run = |seen: &&mut SeenRun| {
            seen.worker == worker && seen.task == task && seen.run == run && seen.ended.is_none()
        };
        if let Some(seen) = runs.iter_mut().rev().find(of_run) {
            seen.ended = Some(now);
        }
        drop(runs);
        self.note(&format!("{worker} ends {task} run {run}: {how}"));
    }

    pub fn runs(&self) -> Vec<SeenRun> {
        self.runs.lock().expect("runs").clone()
    }
}
