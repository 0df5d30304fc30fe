//! The worker's lease: one for all that runs there, renewed by starts and watches.

use laurelstile_types::time::{Span, Timestamp};

use super::super::timing::{LEASE_DURATION, MAX_LEASE_DURATION, MAX_STOP_TIME, OWNER_TIMEOUT};
use super::LeasedAgent;
use super::ledger::{Run, RunState};
use super::life::Life;
use super::worker::WorkerClock;

/// When everything is over at a worker whose lease was last renewed at `renewed`.
pub fn lease_over_at(renewed: Timestamp) -> Timestamp {
    renewed.after(Span(MAX_LEASE_DURATION.0 + MAX_STOP_TIME.0 + 1))
}

impl LeasedAgent {
    /// Renews the lease at `now`: its end, on the worker's clock.
    pub(super) fn renew(&mut self, now: Timestamp) -> WorkerClock {
        let renewed = now.min(self.renewable_until());
        let Some(life) = &mut self.life else {
            return WorkerClock::default();
        };
        life.renewed = life.renewed.max(renewed);
        life.lease_until(renewed)
    }

    /// Until when the lease may be renewed: for as long as somebody answers for every run.
    ///
    /// A run whose stop is not proved holds it back for all others, since a worker may answer
    /// its watches and none of its stops: its gateway would hold the run for over after
    /// [`super::super::timing::AGENT_EXPIRY`] while the others' renewals kept it alive.
    /// A stop takes 50 ms of the 700 ms that a lease lasts, so the others notice nothing.
    fn renewable_until(&self) -> Timestamp {
        let runs = self.ledger.iter().map(|(_, run)| run);
        let ends = runs
            .filter(|run| run.takes_room())
            .map(|run| self.answered_for_until(run));
        ends.min().unwrap_or(Timestamp(u64::MAX))
    }

    fn answered_for_until(&self, run: &Run) -> Timestamp {
        let owner = self.owners.get(&run.owner);
        let silent_at = owner.map(|owner| owner.echo.after(OWNER_TIMEOUT));
        let stopped_at = match run.state {
            RunState::Stopping { since, .. } => Some(since),
            _ => None,
        };
        let ends = [silent_at, stopped_at].into_iter().flatten();
        ends.min().unwrap_or(Timestamp(u64::MAX))
    }

    /// Notes whether a stop takes so long that the lease may run out over it: nothing more is
    /// started there until it is proved.
    pub(super) fn note_overdue_stops(&mut self, now: Timestamp) {
        let mut runs = self.ledger.iter();
        self.has_overdue_stop = runs.any(|(_, run)| run.is_stop_overdue(now));
    }
}

impl Life {
    /// End of a lease that is renewed at `now`.
    fn lease_until(&self, now: Timestamp) -> WorkerClock {
        WorkerClock(self.clock.at_least(now).0 + LEASE_DURATION.as_millis())
    }
}
