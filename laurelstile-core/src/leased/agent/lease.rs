//! The worker's lease: one for all that runs there, renewed by starts and watches.

use laurelstile_types::time::{Span, Timestamp};

use super::super::timing::{LEASE, LEASE_AT_MOST, OWNER_SILENCE, STOP_AT_MOST};
use super::LeasedAgent;
use super::ledger::{Run, RunState};
use super::life::WorkerState;
use super::worker::WorkerClock;

/// When everything is over at a worker whose lease was last renewed at `renewed`.
pub fn lease_expired_at(renewed: Timestamp) -> Timestamp {
    renewed.after(Span(LEASE_AT_MOST.0 + STOP_AT_MOST.0 + 1))
}

impl LeasedAgent {
    /// Renews the lease at `now`: its end, on the worker's clock.
    pub(super) fn renew(&mut self, now: Timestamp) -> WorkerClock {
        let renewed = now.min(self.renewable_until());
        let Some(worker) = &mut self.worker else {
            return WorkerClock::default();
        };
        worker.renewed = worker.renewed.max(renewed);
        worker.lease_until(renewed)
    }

    /// Until when the lease may be renewed: for as long as somebody answers for every run.
    ///
    /// A run whose stop is not proved holds it back for all others, since a worker may answer
    /// its watches and none of its stops: its gateway would hold the run for over after
    /// [`super::super::timing::LAPSE_AFTER_SILENCE`] while the others' renewals kept it alive.
    /// A stop takes 50 ms of the 700 ms that a lease lasts, so the others notice nothing.
    fn renewable_until(&self) -> Timestamp {
        let runs = self.runs.iter().map(|(_, run)| run);
        let ends = runs
            .filter(|run| run.takes_room())
            .map(|run| self.answered_for_until(run));
        ends.min().unwrap_or(Timestamp(u64::MAX))
    }

    fn answered_for_until(&self, run: &Run) -> Timestamp {
        let owner = self.owners.get(&run.owner);
        let silent_at = owner.map(|owner| owner.echo.after(OWNER_SILENCE));
        let stopped_at = match run.state {
            RunState::Stopping { since, .. } => Some(since),
            _ => None,
        };
        let ends = [silent_at, stopped_at].into_iter().flatten();
        ends.min().unwrap_or(Timestamp(u64::MAX))
    }

    /// Notes whether a stop takes so long that the lease may run out over it: nothing more is
    /// started there until it is proved.
    pub(super) fn check_overdue_stops(&mut self, now: Timestamp) {
        let mut runs = self.runs.iter();
        self.has_overdue_stop = runs.any(|(_, run)| run.is_stop_overdue(now));
    }
}

impl WorkerState {
    /// End of a lease that is renewed at `now`.
    fn lease_until(&self, now: Timestamp) -> WorkerClock {
        WorkerClock(self.clock.at_least(now).0 + LEASE.as_millis())
    }
}
