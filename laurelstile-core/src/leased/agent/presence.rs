//! Whether the process at the worker's address is proved to be the current incarnation.
//!
//! A start command names the worker's id only, so a worker that has restarted under its id carries out
//! starts that were meant for the earlier process. The agent may not notice the restart: an idle worker is
//! sent nothing, and the end of a connection may be held up. Only run lists carry the start time of the
//! process. So a start is sent only right after run lists, or while the next watch is pending that was
//! sent right after them; before the first start on an idle worker, the agent asks for its run lists.

use laurelstile_types::time::{Span, Timestamp};

use super::LeasedAgent;

/// Maximum age of the run lists that a start relies on: a watch that waits for an end, and the time that
/// a busy agent takes to handle the answer. Also the longest time that a start may wait to be sent.
pub const MAX_PRESENCE_AGE: Span = Span::from_millis(100);

/// Evidence that the current incarnation answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Presence {
    /// When the worker sent its latest run lists, at the earliest.
    proved_at: Option<Timestamp>,
    /// Whether these have arrived since the agent last sent what is due.
    has_just_answered: bool,
    /// Whether a watch is pending that was sent right after these.
    is_watched: bool,
}

impl Presence {
    /// Records that run lists have arrived that the worker sent at `proved_at` or later.
    pub fn on_lists(&mut self, proved_at: Timestamp) {
        self.proved_at = Some(proved_at);
        self.has_just_answered = true;
    }

    /// Records that a watch is sent.
    pub fn on_watch_sent(&mut self) {
        self.is_watched = self.has_just_answered;
    }

    /// Records that the pending watch has ended, with or without an answer.
    pub fn on_watch_ended(&mut self) {
        self.is_watched = false;
    }

    /// Records that the agent has sent all that was due.
    pub fn on_flushed(&mut self) {
        self.has_just_answered = false;
    }

    fn is_proved(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.since(at) <= MAX_PRESENCE_AGE;
        (self.has_just_answered || self.is_watched) && self.proved_at.is_some_and(is_recent)
    }
}

impl LeasedAgent {
    /// Whether tasks wait for run lists that prove the worker's presence.
    pub fn awaits_presence(&self, now: Timestamp) -> bool {
        self.runs.waiting() > 0 && self.is_available(now) && !self.is_presence_proved(now)
    }

    /// How much longer tasks may wait because run lists are awaited. The answer usually takes a
    /// millisecond; an agent that handles all answers late keeps no task for long.
    pub(super) fn wait_extension(&self, now: Timestamp) -> Span {
        if self.awaits_presence(now) {
            MAX_PRESENCE_AGE
        } else {
            Span::default()
        }
    }

    pub(super) fn is_presence_proved(&self, now: Timestamp) -> bool {
        let worker = self.worker.as_ref();
        worker.is_some_and(|worker| worker.presence.is_proved(now))
    }

    /// Discards the evidence, since a command has failed.
    pub(super) fn forget_presence(&mut self) {
        if let Some(worker) = &mut self.worker {
            worker.presence = Presence::default();
        }
    }

    pub(super) fn end_presence_of_flush(&mut self) {
        if let Some(worker) = &mut self.worker {
            worker.presence.on_flushed();
        }
    }
}
