//! A gateway that has stood still reads what came meanwhile before it places older jobs.

use laurelstile_types::time::{Span, Timestamp};

use super::LeasedGateway;
use super::job::Job;
use crate::leased::task::JobId;

/// A gateway that was not woken for longer has stood still: it looks at the time at least every
/// 500 ms. Callers that left during a shorter one have not handed in again.
const STANDSTILL: Span = Span::from_millis(700);
/// How long jobs from before are not placed after it: their callers may have left and handed
/// them in elsewhere, and the readings of agents that are taken in first are fresh. A thin machine
/// (0.12 cores) has 12 ms of processor time in it to read what waits at its sockets.
const READING_TIME: Span = Span::from_millis(100);

/// When the gateway ran last, and what it has to read first after a standstill.
#[derive(Debug, Default)]
pub struct Standstill {
    last_flush: Timestamp,
    /// Jobs that came until this time are held back
    aged_until: Timestamp,
    /// until this one.
    reading_until: Timestamp,
}

impl Standstill {
    /// Whether a job is held back until its caller's end would have been read.
    pub fn holds(&self, now: Timestamp, job: &Job) -> bool {
        now < self.reading_until && job.arrival <= self.aged_until
    }
}

impl LeasedGateway {
    /// Notes that the gateway runs, and holds back the jobs that a standstill has aged.
    pub(super) fn note_awake(&mut self, now: Timestamp) {
        let last_flush = std::mem::replace(&mut self.standstill.last_flush, now);
        if now.since(last_flush) <= STANDSTILL {
            return;
        }
        self.standstill.aged_until = last_flush;
        self.standstill.reading_until = now.after(READING_TIME);
        let jobs = self.jobs.iter();
        let held = jobs.filter(|(_, job)| self.standstill.holds(now, job));
        let held: Vec<JobId> = held.map(|(id, _)| *id).collect();
        for id in held {
            self.pause(id, self.standstill.reading_until);
        }
    }
}
