//! What was sent, answered and run, line by line, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    path: PathBuf,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
            path: path.to_owned(),
        }
    }

    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:>7} {line}");
    }

    /// All lines so far.
    pub fn read(&self) -> String {
        std::fs::read_to_string(&self.path).unwrap_or_default()
    }

    /// Number of lines so far that contain `part`.
    pub fn count(&self, part: &str) -> usize {
        self.read()
            .lines()
            .filter(|line| line.contains(part))
            .count()
    }
}
