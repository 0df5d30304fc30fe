//! State of the worker's current incarnation.

use std::collections::BTreeMap;

use laurelstile_types::time::Timestamp;

use super::super::crashes::CrashedTask;
use super::super::messages::Control;
use super::super::resources::Resources;
use super::super::task::RunId;
use super::super::worker_incarnation::WorkerIncarnation;
use super::asked_reading::AskedReading;
use super::departure::Departure;
use super::deregistration::Deregistration;
use super::health::Health;
use super::heartbeats::SuccessorCandidate;
use super::presence::Presence;
use super::stated_labels::StatedLabels;
use super::statement::Statement;
use super::worker::{ClockEstimate, FenceToken, IncarnationRecord, Registration, WorkerClock};
use super::{AgentDecision, AgentEffect, IncarnationSource, LeasedAgent};

/// Number of an incarnation, counted by the agent. Each run is marked with the number of the
/// incarnation that its start was sent to, because two incarnations may have the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct IncarnationNumber(u64);

/// A run at the worker that the agent does not know.
#[derive(Clone, Copy, Debug)]
pub struct Orphan {
    /// When the worker first listed the run.
    pub since: Timestamp,
    /// When a stop was last sent.
    pub stop_sent: Timestamp,
}

/// The worker's current incarnation.
#[derive(Debug)]
pub struct WorkerState {
    pub incarnation: WorkerIncarnation,
    pub number: IncarnationNumber,
    /// How the agent learned of the incarnation.
    pub source: IncarnationSource,
    pub service: String,
    /// When a heartbeat last named this service.
    pub service_confirmed_at: Timestamp,
    /// Latest reported capacity.
    pub capacity: Resources,
    /// Smallest capacity reported so far.
    pub least_capacity: Resources,
    /// Whether the capacity has been smaller than first reported.
    pub has_shrunk: bool,
    /// Sequence number of the latest heartbeat.
    pub sequence: u64,
    /// When the worker stated its capacity last.
    pub statement: Statement,
    /// The reading of the incarnation's clock that dates its heartbeats most closely; `None` before its
    /// first run lists.
    pub asked_reading: Option<AskedReading>,
    /// Labels by its heartbeats.
    pub labels: StatedLabels,
    /// Fencing token of commands to this incarnation.
    pub token: FenceToken,
    /// Number of commands rejected as fenced.
    pub fenced: u32,
    /// Whether a command was rejected as fenced since the worker last accepted a watch.
    pub has_contested_token: bool,
    /// Whether the incarnation has announced its shutdown.
    pub draining: bool,
    pub clock: ClockEstimate,
    /// Highest entry number of an ended run that was processed.
    pub last_seen: u64,
    /// Value of `last_seen` in the latest watch.
    pub last_seen_sent: u64,
    /// Highest `last_seen` that the worker is known to have received.
    pub acknowledged: u64,
    /// Whether this incarnation's run lists have been received. Reset when a silent worker's
    /// lease expires, and after a suspension of the agent.
    pub has_synced: bool,
    /// When the latest run lists were received.
    pub listed_at: Option<Timestamp>,
    /// Token under which the run lists were last received.
    pub listed_token: Option<FenceToken>,
    /// Whether the agent has logged that it took control of the incarnation.
    pub has_logged_control: bool,
    /// Consecutive watches that were not answered, or that the worker rejected.
    pub unanswered_watches: u32,
    /// When the first watch was not answered since this incarnation last sent its run lists; it may
    /// have ended then.
    pub unanswered_since: Option<Timestamp>,
    /// Whether a crash was reported when connections were refused.
    pub has_reported_crash: bool,
    /// Whether the latest watch was refused a connection.
    pub is_refusing: bool,
    /// Whether this incarnation is proved to answer.
    pub presence: Presence,
    /// When the pending watch was sent; `None` if none is pending.
    pub watching: Option<Timestamp>,
    /// Earliest time of the next watch.
    pub watch_from: Timestamp,
    /// Time from which the lease was last renewed.
    pub renewed: Timestamp,
    /// Runs at the worker that the agent does not know.
    pub orphans: BTreeMap<RunId, Orphan>,
    /// Whether a watch is wanted, to acknowledge ended runs or to check that the worker is
    /// alive.
    pub wants_watch: bool,
    /// Started tasks whose lease has expired since the worker last answered a watch. The worker
    /// has crashed, is unreachable or is shutting down.
    pub expired_tasks: Vec<CrashedTask>,
    /// Another incarnation that has registered while this one was current.
    pub successor: Option<SuccessorCandidate>,
    /// A pending deregistration under the incarnation's id.
    pub deregistration: Option<Deregistration>,
    /// When the incarnation leaves, if its heartbeats say so and the agent moves runs off it.
    pub departure: Option<Departure>,
}

impl WorkerState {
    /// Whether the worker is about to exit. Its process may stop listening and continue to run
    /// for a while.
    pub fn is_leaving(&self) -> bool {
        self.draining || self.deregistration.is_some()
    }

    /// The control of the incarnation, once its run lists have been received.
    pub fn control(&self) -> Option<Control> {
        let token = self.listed_token?;
        Some(Control {
            incarnation: self.incarnation.clone(),
            token,
        })
    }

    /// The record that the next agent reads at start, with the smallest capacity reported.
    pub fn record(&self, now: Timestamp) -> IncarnationRecord {
        let registration = Registration {
            incarnation: self.incarnation.clone(),
            service: self.service.clone(),
            capacity: self.least_capacity,
            labels: self.labels.usable().to_vec(),
            clock: self.clock.lower_bound(now),
            draining: self.draining,
            sequence: self.sequence,
            // The clock reading is old by the time that the record is read.
            remaining: None,
        };
        IncarnationRecord {
            registration,
            stated_at: self.statement.made_at,
            is_vital: self.draining || self.has_shrunk,
        }
    }
}

impl LeasedAgent {
    /// Starts an incarnation that the worker itself has registered.
    pub(super) fn start_registered_incarnation(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        let made_at = Some(registration.clock);
        let source = IncarnationSource::Heartbeat;
        self.start_incarnation(now, registration, source, made_at, effects);
        self.persist_record(now, effects);
    }

    /// Starts an incarnation that stated what is in `registration` when its clock showed `made_at`;
    /// `None` if that is not known. Runs that were sent to the previous one remain in the run table
    /// until the new incarnation's run lists show what became of them.
    pub(super) fn start_incarnation(
        &mut self,
        now: Timestamp,
        registration: Registration,
        source: IncarnationSource,
        made_at: Option<WorkerClock>,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.past_incarnations.forget(&registration.incarnation);
        self.crash_history.on_running(&registration.incarnation);
        self.incarnation_number.0 += 1;
        self.token = FenceToken(self.token.0 + 1);
        effects.push(AgentEffect::Decided(AgentDecision::IncarnationStarted {
            incarnation: registration.incarnation.clone(),
            source,
            draining: registration.draining,
        }));
        let mut clock = ClockEstimate::default();
        clock.update_from_heartbeat(now, registration.clock);
        let departs_at = registration.departs_at();
        self.worker = Some(WorkerState {
            incarnation: registration.incarnation,
            number: self.incarnation_number,
            source,
            service: registration.service,
            service_confirmed_at: now,
            capacity: registration.capacity,
            least_capacity: registration.capacity,
            has_shrunk: false,
            sequence: registration.sequence,
            statement: Statement::new(now, made_at),
            asked_reading: None,
            labels: StatedLabels::new(now, registration.labels),
            token: self.token,
            fenced: 0,
            has_contested_token: false,
            draining: registration.draining,
            clock,
            last_seen: 0,
            last_seen_sent: 0,
            acknowledged: 0,
            has_synced: false,
            listed_at: None,
            listed_token: None,
            has_logged_control: false,
            unanswered_watches: 0,
            unanswered_since: None,
            has_reported_crash: false,
            is_refusing: false,
            presence: Presence::default(),
            watching: None,
            watch_from: now,
            renewed: now,
            orphans: BTreeMap::new(),
            wants_watch: false,
            expired_tasks: Vec::new(),
            successor: None,
            deregistration: None,
            departure: None,
        });
        self.health = Health::default();
        self.change_description(now, effects);
        self.stop_held_starts(now);
        self.on_departure_stated(now, departs_at, effects);
    }

    /// Has the worker's snapshot sent to all gateways again.
    pub(super) fn invalidate_snapshots(&mut self) {
        for owner in self.owners.values_mut() {
            owner.has_snapshot = false;
        }
    }

    /// Stores a record of the current incarnation for the next agent.
    pub(super) fn persist_record(&self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if let Some(worker) = &self.worker {
            effects.push(AgentEffect::StoreRecord(worker.record(now)));
        }
    }

    pub(super) fn is_current(&self, incarnation: &WorkerIncarnation) -> bool {
        self.worker
            .as_ref()
            .is_some_and(|worker| worker.incarnation == *incarnation)
    }

    /// Total capacity of the worker; zero if no incarnation is known.
    pub(super) fn capacity(&self) -> Resources {
        let worker = self.worker.as_ref();
        worker.map(|worker| worker.capacity).unwrap_or_default()
    }

    /// The worker's clock at `now`; zero if no incarnation is known.
    pub(super) fn worker_clock(&self, now: Timestamp) -> WorkerClock {
        let worker = self.worker.as_ref();
        worker.map_or(WorkerClock::default(), |worker| worker.clock.at(now))
    }
}
