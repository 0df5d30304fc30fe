//! Heartbeats of the worker: which incarnation is current, and which heartbeats are out of date.

use laurelstile_types::time::{Span, Timestamp};

use super::super::worker_incarnation::StartTime;
use super::stated_labels::StatedLabels;
use super::statement::is_held_up;
use super::worker::{Registration, WorkerClock};
use super::worker_state::WorkerState;
use super::{
    AgentDecision, AgentEffect, HeartbeatIgnoreReason, IncarnationEnd, IncarnationSource,
    LeasedAgent,
};

/// An incarnation that registered while another was current.
#[derive(Debug)]
pub struct SuccessorCandidate {
    pub(super) registration: Registration,
    /// When the incarnation first registered.
    pub(super) since: Timestamp,
}

impl LeasedAgent {
    pub(super) fn on_registered(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(reason) = self.ignore_reason(now, &registration) {
            ignore_heartbeat(registration, reason, effects);
        } else if self.is_current(&registration.incarnation) {
            self.apply_heartbeat(now, registration, effects);
        } else if self.worker.is_some() {
            self.set_successor(now, registration);
        } else {
            self.start_registered_incarnation(now, registration, effects);
        }
    }

    /// Why a heartbeat is ignored; `None` if it is used. A heartbeat of an ended incarnation is
    /// ignored only while another one is current; otherwise the incarnation was wrongly taken
    /// for ended.
    fn ignore_reason(
        &self,
        now: Timestamp,
        registration: &Registration,
    ) -> Option<HeartbeatIgnoreReason> {
        let incarnation = &registration.incarnation;
        if self.past_incarnations.is_leaving(now, incarnation) {
            return Some(HeartbeatIgnoreReason::DeregisteredIncarnation);
        }
        let worker = self.worker.as_ref()?;
        if worker.incarnation == *incarnation {
            let is_other = worker.service != registration.service;
            let is_retained = now.since(worker.service_confirmed_at) <= self.statement_retention();
            return (is_other && is_retained).then_some(HeartbeatIgnoreReason::OtherService);
        }
        if worker.incarnation.id == incarnation.id && incarnation.started_at.is_none() {
            return Some(HeartbeatIgnoreReason::NoStartTime);
        }
        let has_ended = self.past_incarnations.contains(incarnation);
        has_ended.then_some(HeartbeatIgnoreReason::EndedIncarnation)
    }

    /// How long what a heartbeat states holds against a different statement: two heartbeat intervals, so
    /// that the worker prevails over another sender that uses its id. Its service takes precedence over
    /// another one, since a restarted worker is expected to serve the same service as before; of
    /// different labels only the common ones are used.
    fn statement_retention(&self) -> Span {
        Span(self.options.heartbeats.interval.0.saturating_mul(2))
    }

    /// Applies a heartbeat of the current incarnation.
    fn apply_heartbeat(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        let retention = self.statement_retention();
        let Some(worker) = &mut self.worker else {
            return;
        };
        let age = worker.max_heartbeat_age(now, registration.clock);
        if !is_held_up(age) {
            worker.clock.update_from_heartbeat(now, registration.clock);
        }
        // The labels and the service of a heartbeat that was held up count from when it was made.
        let made_at = age.map_or(now, |age| now.before(age));
        worker.service_confirmed_at = worker.service_confirmed_at.max(made_at);
        let is_first = worker.source == IncarnationSource::Lists;
        if is_first {
            worker.source = IncarnationSource::Heartbeat;
            worker.labels = StatedLabels::new(made_at, registration.labels.clone());
            worker.least_capacity = registration.capacity;
        }
        let has_other_labels = worker
            .labels
            .record(made_at, &registration.labels, retention);
        if has_other_labels {
            effects.push(AgentEffect::Decided(AgentDecision::LabelsChanged {
                incarnation: worker.incarnation.clone(),
                labels: worker.labels.usable().to_vec(),
            }));
        }
        let departs_at = registration.departs_at();
        let is_late = registration.sequence < worker.sequence;
        let has_other_service = worker.service != registration.service;
        worker.service.clone_from(&registration.service);
        let begins_to_drain = registration.draining && !worker.draining;
        if begins_to_drain {
            worker.draining = true;
            let incarnation = worker.incarnation.clone();
            effects.push(AgentEffect::Decided(AgentDecision::Draining {
                incarnation,
            }));
        }
        let has_shrunk = !is_late && self.apply_capacity(now, &registration, effects);
        if !is_late {
            self.resolve_deregistration(now, age, registration.draining, effects);
        }
        self.on_departure_stated(now, departs_at, effects);
        let has_other_description = is_first || has_other_service || has_other_labels;
        if has_other_description {
            self.change_description(now, effects);
        }
        if has_other_description || begins_to_drain || has_shrunk {
            self.persist_record(now, effects);
        }
    }

    /// Applies the capacity in a heartbeat that is not out of order. Runs continue, but nothing
    /// starts beyond the new capacity, and gateways get a new snapshot. Returns whether the
    /// capacity is smaller than any that the incarnation has reported before.
    fn apply_capacity(
        &mut self,
        now: Timestamp,
        registration: &Registration,
        effects: &mut Vec<AgentEffect>,
    ) -> bool {
        let Some(worker) = &mut self.worker else {
            return false;
        };
        worker.sequence = registration.sequence;
        worker.record_statement(now, registration.clock);
        let capacity = registration.capacity;
        if capacity == worker.capacity {
            return false;
        }
        effects.push(AgentEffect::Decided(AgentDecision::CapacityChanged {
            incarnation: worker.incarnation.clone(),
            before: worker.capacity,
            now: capacity,
        }));
        worker.capacity = capacity;
        let least = capacity.min(worker.least_capacity);
        let has_shrunk = least != worker.least_capacity;
        worker.least_capacity = least;
        worker.has_shrunk |= has_shrunk;
        self.invalidate_snapshots();
        has_shrunk
    }

    /// Records that another incarnation has registered. Either the current one has ended, or this
    /// is a delayed heartbeat of an earlier one. The worker's answer to a watch shows which: it
    /// rejects commands for another id, and its run lists carry its start time. So the worker is
    /// queried before any run of the current incarnation is reported as lost.
    fn set_successor(&mut self, now: Timestamp, registration: Registration) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let previous = worker
            .successor
            .take()
            .filter(|previous| previous.registration.incarnation == registration.incarnation);
        let since = previous.as_ref().map_or(now, |previous| previous.since);
        // A delayed heartbeat does not replace what a later one has stated.
        let (latest, other) = match previous.map(|previous| previous.registration) {
            Some(previous) if previous.sequence > registration.sequence => {
                (previous, Some(registration))
            }
            previous => (registration, previous),
        };
        let draining = latest.draining || other.as_ref().is_some_and(|other| other.draining);
        let remaining = least_remaining(other.as_ref(), &latest);
        worker.successor = Some(SuccessorCandidate {
            registration: Registration {
                draining,
                remaining,
                ..latest
            },
            since,
        });
        worker.watch_from = now;
    }

    /// Discards a successor that registered before `queried_at`: the current incarnation has
    /// answered a watch sent at that time, so the other one has ended.
    pub(super) fn dismiss_successor(
        &mut self,
        queried_at: Timestamp,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_earlier = |successor: &mut SuccessorCandidate| successor.since < queried_at;
        let Some(successor) = worker.successor.take_if(is_earlier) else {
            return;
        };
        let late = successor.registration.incarnation;
        effects.push(AgentEffect::Decided(AgentDecision::LateHeartbeat {
            incarnation: late.clone(),
            current: worker.incarnation.clone(),
        }));
        self.past_incarnations.record_ended(late);
    }

    /// Ends the current incarnation, whose leases have expired, if another one has registered.
    pub(super) fn replace_expired_incarnation(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<AgentEffect>,
    ) {
        let replaced = self
            .worker
            .as_ref()
            .filter(|worker| worker.successor.is_some());
        if let Some(incarnation) = replaced.map(|worker| worker.incarnation.clone()) {
            self.on_incarnation_ended(now, &incarnation, IncarnationEnd::Replaced, effects);
        }
    }

    /// Starts the incarnation in the record of an earlier agent, without waiting for its next
    /// heartbeat. What the worker stated last before the record counts from when it was made, which the
    /// worker's run lists prove if the process is the same.
    pub(super) fn on_record(
        &mut self,
        now: Timestamp,
        registration: Registration,
        stated_at: Option<WorkerClock>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if self.worker.is_none() && !self.past_incarnations.contains(&registration.incarnation) {
            let source = IncarnationSource::Record;
            self.start_incarnation(now, registration, source, stated_at, effects);
        }
    }
}

impl WorkerState {
    /// Whether a restart of the worker under the same id has registered, and it is not yet known
    /// which of the two incarnations is current.
    pub(super) fn has_possible_restart(&self) -> bool {
        let successor = self.successor.as_ref();
        successor
            .is_some_and(|successor| successor.registration.incarnation.id == self.incarnation.id)
    }

    /// The start time of the process that answered a watch sent at `queried_at`, if it is a
    /// different incarnation under the same id. If this incarnation has no start time, a
    /// heartbeat must have carried the answered one. If the answer carries none, the incarnation
    /// with the later start time is taken to be current.
    pub(super) fn detected_restart(
        &self,
        queried_at: Timestamp,
        answered: Option<StartTime>,
    ) -> Option<StartTime> {
        if self.incarnation.is_other_incarnation(answered) {
            return answered;
        }
        let successor = self.successor.as_ref()?;
        let registered = successor.registration.incarnation.started_at;
        let has_restarted = match answered {
            Some(_) => registered == answered && registered != self.incarnation.started_at,
            None => successor.since < queried_at && registered > self.incarnation.started_at,
        };
        registered.filter(|_| has_restarted && self.has_possible_restart())
    }
}

/// The time remaining by the earlier of two departures of an incarnation, from the clock reading of
/// its latest heartbeat.
fn least_remaining(other: Option<&Registration>, latest: &Registration) -> Option<Span> {
    let other = other.and_then(Registration::departs_at);
    let departs_at = other.into_iter().chain(latest.departs_at()).min()?;
    Some(departs_at.since(latest.clock))
}

/// Logs that the contents of a heartbeat are ignored.
fn ignore_heartbeat(
    registration: Registration,
    reason: HeartbeatIgnoreReason,
    effects: &mut Vec<AgentEffect>,
) {
    effects.push(AgentEffect::Decided(AgentDecision::HeartbeatIgnored {
        incarnation: registration.incarnation,
        reason,
        draining: registration.draining,
        sequence: registration.sequence,
    }));
}
