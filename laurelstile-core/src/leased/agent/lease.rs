//! The worker's lease. It covers all runs of the worker and is renewed by starts and watches.

use laurelstile_types::time::{Span, Timestamp};

use super::super::timing::{LEASE_DURATION, MAX_LEASE_DURATION, MAX_STOP_TIME, OWNER_TIMEOUT};
use super::LeasedAgent;
use super::run_table::{Run, RunState};
use super::worker::WorkerClock;
use super::worker_state::WorkerState;

/// Time by which all runs have ended at a worker whose lease was last renewed at `renewed`.
pub fn lease_expired_at(renewed: Timestamp) -> Timestamp {
    renewed.after(Span(MAX_LEASE_DURATION.0 + MAX_STOP_TIME.0 + 1))
}

impl LeasedAgent {
    /// Renews the lease and returns its end on the worker's clock.
    pub(super) fn renew(&mut self, now: Timestamp) -> WorkerClock {
        let renewed = now.min(self.renewable_until());
        let Some(worker) = &mut self.worker else {
            return WorkerClock::default();
        };
        worker.renewed = worker.renewed.max(renewed);
        worker.lease_until(renewed)
    }

    /// Latest time that the lease may be renewed from: until then every run is known and belongs to
    /// a gateway that is not silent, and no run is being stopped.
    ///
    /// A run that is being stopped holds back the renewal for all others: a worker may answer
    /// watches but no stops, and the run's gateway considers the run over after
    /// [`super::super::timing::AGENT_EXPIRY`], while a renewed lease would keep it alive.
    /// A stop takes up to 50 ms of the 700 ms that a lease lasts, so other runs are not affected.
    fn renewable_until(&self) -> Timestamp {
        let runs = self.runs.iter().map(|(_, run)| run);
        let ends = runs
            .filter(|run| run.takes_resources())
            .map(|run| self.run_renewable_until(run));
        let orphans = self
            .worker
            .iter()
            .flat_map(|worker| worker.orphans.values());
        let ends = ends.chain(orphans.map(|orphan| orphan.since));
        ends.min().unwrap_or(Timestamp(u64::MAX))
    }

    /// Latest time that the lease may be renewed from as far as `run` is concerned.
    fn run_renewable_until(&self, run: &Run) -> Timestamp {
        let owner = self.owners.get(&run.owner);
        let silent_at = owner.map(|owner| owner.echo.after(OWNER_TIMEOUT));
        let stopped_at = match run.state {
            RunState::Stopping { since, .. } => Some(since),
            _ => None,
        };
        let ends = [silent_at, stopped_at].into_iter().flatten();
        ends.min().unwrap_or(Timestamp(u64::MAX))
    }

    /// Checks for a stop that takes so long that the lease may expire meanwhile. Nothing starts
    /// until such a stop is confirmed.
    pub(super) fn check_overdue_stops(&mut self, now: Timestamp) {
        let mut runs = self.runs.iter();
        self.has_overdue_stop = runs.any(|(_, run)| run.is_stop_overdue(now));
    }
}

impl WorkerState {
    /// End of a lease that is renewed at `now`.
    fn lease_until(&self, now: Timestamp) -> WorkerClock {
        self.clock.lower_bound(now).after(LEASE_DURATION)
    }
}
