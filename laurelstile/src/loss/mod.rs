//! Where requests were lost: an account from the log lines of all processes.
//!
//! Lines are read in a stream. A job is remembered from its first line to its
//! gateway's answer, so memory goes with the jobs under way, not with the logs.

mod account;
mod job;
mod traffic;

use std::collections::BTreeMap;
use std::io::BufRead;

pub use account::{Account, Group, Second};
use job::OpenJob;
pub use job::{Cause, Outcome};
pub use traffic::{Carried, Peak, Traffic};

use crate::log_line::LogLine;

/// Takes lines in and accounts for what they tell.
#[derive(Debug, Default)]
pub struct Accountant {
    account: Account,
    open: BTreeMap<String, OpenJob>,
    /// Zones of the gateways, by the name that stands before their lines.
    zones: BTreeMap<String, String>,
}

impl Accountant {
    /// Takes in all lines of one log.
    ///
    /// # Errors
    /// If it cannot be read; the account holds what came before.
    pub fn read(&mut self, name: &str, mut log: impl BufRead) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if log.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            self.take(name, &String::from_utf8_lossy(&bytes));
        }
    }

    /// Takes in one line.
    pub fn take(&mut self, name: &str, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = LogLine::parse(text) else {
            self.account.skipped += 1;
            return;
        };
        self.account.lines += 1;
        let source = line.source.clone().unwrap_or_else(|| name.to_owned());
        match line.event() {
            Some("started") => self.on_started(&source, &line),
            Some("lines_dropped") => self.account.dropped += line.number("count").unwrap_or(0),
            Some("refused_unconfigured") => self.on_unconfigured(&source, &line),
            Some("taken" | "placed" | "came_back" | "task_suspected") => {
                self.on_step(&source, &line)
            }
            Some("answered" | "abandoned") => self.on_end(&source, &line),
            Some("traffic") => {
                let is_taken = self.account.traffic.take(&source, &line);
                self.account.skipped += u64::from(!is_taken);
            }
            _ => {}
        }
    }

    /// The account, once all lines were taken in. Jobs without an answer were lost with
    /// their gateway, or their lines were.
    pub fn finish(mut self) -> Account {
        for (id, job) in std::mem::take(&mut self.open) {
            if job.is_taken {
                let zone = self.zone_of(&job.gateway);
                self.account.note(&id, &zone, &job.lost());
            }
        }
        self.account
    }

    fn on_started(&mut self, source: &str, line: &LogLine) {
        if let Some(zone) = line.text("zone") {
            self.zones.insert(source.to_owned(), zone.to_owned());
            self.account.second(&line.timestamp).starts += 1;
        }
        // What its earlier process had under way is over.
        let over: Vec<String> = self
            .open
            .iter()
            .filter(|(_, job)| job.gateway == source && job.is_taken)
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            if let Some(job) = self.open.remove(&id) {
                let zone = self.zone_of(source);
                self.account.note(&id, &zone, &job.lost());
            }
        }
    }

    fn on_unconfigured(&mut self, source: &str, line: &LogLine) {
        let path = line.text("path").unwrap_or_default().to_owned();
        let zone = self.zone_of(source);
        let outcome = Outcome::unconfigured(&line.timestamp);
        self.account.note(&path, &zone, &outcome);
    }

    fn on_step(&mut self, source: &str, line: &LogLine) {
        let Some(id) = line.job() else {
            self.account.skipped += 1;
            return;
        };
        let job = self
            .open
            .entry(id.to_owned())
            .or_insert_with(|| OpenJob::new(source, &line.timestamp));
        if job.take(line) {
            self.account.second(&line.timestamp).taken += 1;
        }
    }

    fn on_end(&mut self, source: &str, line: &LogLine) {
        let Some(id) = line.job() else {
            self.account.skipped += 1;
            return;
        };
        let job = self.open.remove(id);
        let job = job.unwrap_or_else(|| OpenJob::new(source, &line.timestamp));
        let zone = self.zone_of(source);
        self.account.note(id, &zone, &job.end(line));
    }

    fn zone_of(&self, gateway: &str) -> String {
        let known = self.zones.get(gateway).cloned();
        known.unwrap_or_else(|| "unknown".to_owned())
    }
}
