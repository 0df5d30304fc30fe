//! Detects that the gateway process was suspended. Before it places any job it then processes
//! the messages that arrived in the meantime: the cancellation of a job may be queued behind
//! its submission.

use laurelstile_types::time::{Span, Timestamp};

use super::LeasedGateway;
use crate::leased::task::JobId;

/// A longer interval between flushes means that the process was suspended, since it is woken
/// at least every 500 ms. Shorter pauses are harmless: callers that disconnect do not resubmit
/// within this time.
const SUSPENSION_THRESHOLD: Span = Span::from_millis(700);
/// How long placement is delayed after a suspension. Callers may have disconnected and
/// resubmitted or cancelled their jobs elsewhere, while the agents' messages that are read first
/// look fresh. The time has to suffice to read the socket backlog: a machine with 0.12 cores has
/// 12 ms of processor time in it.
const BACKLOG_READ_TIME: Span = Span::from_millis(100);

/// Suspension detection and the resulting delay of placement.
#[derive(Debug, Default)]
pub struct ProcessSuspension {
    last_flush: Timestamp,
    last_pause: Pause,
    /// End of the delay after a suspension; in the past if there was none.
    backlog_read_until: Timestamp,
}

/// A long interval without a flush, in which messages may have waited in their sockets.
#[derive(Clone, Copy, Debug, Default)]
struct Pause {
    length: Span,
    ended_at: Timestamp,
}

impl ProcessSuspension {
    /// Whether placement is delayed until the backlog has been read.
    pub fn is_reading_backlog(&self, now: Timestamp) -> bool {
        now < self.backlog_read_until
    }

    /// End of the delay after a suspension; in the past if there was none.
    pub fn backlog_read_until(&self) -> Timestamp {
        self.backlog_read_until
    }

    /// How long a message that is read now may have waited in its socket, because the process was
    /// not running.
    pub fn max_read_delay(&self, now: Timestamp) -> Span {
        let since_pause = now.since(self.last_pause.ended_at);
        if since_pause < BACKLOG_READ_TIME {
            Span(self.last_pause.length.0 + since_pause.0)
        } else {
            now.since(self.last_flush)
        }
    }
}

impl LeasedGateway {
    /// Records the time of a flush. If the process was suspended before it, delays the
    /// placement of all jobs.
    pub(super) fn detect_suspension(&mut self, now: Timestamp) {
        let last_flush = std::mem::replace(&mut self.suspension.last_flush, now);
        let length = now.since(last_flush);
        if length > BACKLOG_READ_TIME {
            let ended_at = now;
            self.suspension.last_pause = Pause { length, ended_at };
        }
        if length <= SUSPENSION_THRESHOLD {
            return;
        }
        self.suspension.backlog_read_until = now.after(BACKLOG_READ_TIME);
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.delay_placement(id, self.suspension.backlog_read_until);
        }
    }
}
