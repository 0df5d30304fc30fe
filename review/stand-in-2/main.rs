//! Plays one case against the project's own programs: `main CASE ROOT RECORD`. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not be played. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod cell;
mod http;
mod json;
mod platform;
mod relay;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::exit;
use std::sync::Mutex;
use std::time::Instant;

/// A name of the wire, from `names.txt`.
pub fn name(key: &str) -> &'static str {
    let lines = include_str!("names.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once(' '));
    let pair = pairs.find(|(known, _)| *known == key);
    pair.map_or_else(|| panic!("no name for {key}"), |(_, value)| value)
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn add(&self, line: &str) {
        let at = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>6} ms {line}");
    }

    /// Adds a line and prints it too.
    pub fn tell(&self, line: &str) {
        self.add(line);
        println!("{line}");
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: main CASE ROOT RECORD");
        exit(2);
    };
    let Ok(file) = File::create(record) else {
        eprintln!("{record} cannot be written");
        exit(2);
    };
    let record = Record {
        file: Mutex::new(file),
        began: Instant::now(),
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    exit(cases::play(case, Path::new(root), record, has_trouble));
}
