//! A gateway that has stood still reads what came meanwhile before it places any job: the
//! cancel of a job may wait behind the call that hands it in.

use laurelstile_types::time::{Span, Timestamp};

use super::LeasedGateway;
use crate::leased::task::JobId;

/// A gateway that was not woken for longer has stood still: it looks at the time at least every
/// 500 ms. Callers that left during a shorter one have not handed in again.
const STANDSTILL: Span = Span::from_millis(700);
/// How long no job is placed after it: callers may have left and handed their jobs in
/// elsewhere, or cancelled them, and the readings of agents that are taken in first are fresh. A
/// thin machine (0.12 cores) has 12 ms of processor time in it to read what waits at its sockets.
const READING_TIME: Span = Span::from_millis(100);

/// When the gateway ran last, and what it has to read first after a standstill.
#[derive(Debug, Default)]
pub struct Standstill {
    last_flush: Timestamp,
    /// Until when jobs are held back.
    reading_until: Timestamp,
}

impl Standstill {
    /// Whether jobs are held back until what waited at the sockets has been read.
    pub fn is_reading(&self, now: Timestamp) -> bool {
        now < self.reading_until
    }

    /// Until when jobs are held back.
    pub fn reading_until(&self) -> Timestamp {
        self.reading_until
    }
}

impl LeasedGateway {
    /// Notes that the gateway runs, and holds back its jobs after a standstill.
    pub(super) fn note_awake(&mut self, now: Timestamp) {
        let last_flush = std::mem::replace(&mut self.standstill.last_flush, now);
        if now.since(last_flush) <= STANDSTILL {
            return;
        }
        self.standstill.reading_until = now.after(READING_TIME);
        let held: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in held {
            self.pause(id, self.standstill.reading_until);
        }
    }
}
