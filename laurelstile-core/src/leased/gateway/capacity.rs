//! Capacity of the workers of a service. Workers that drain, are in an evacuated zone or cannot be
//! reached do not count: what they run ends there, and nothing new starts.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::time::{Span, Timestamp};

use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};

/// Minimum interval between two comparisons of the departing capacity, so that they cost little at a
/// gateway that flushes thousands of times a second.
const REVIEW_INTERVAL: Span = Span::from_millis(250);

/// Why a worker's capacity does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// Its agent reports that it takes no tasks.
    Draining,
    /// It is in an evacuated zone.
    Evacuated,
    /// Its agent has no session or is silent, or the worker has crashed.
    Unreachable,
}

/// Workers of a service whose capacity does not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartingCapacity {
    /// Their capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// Number of them whose agents report that they take no tasks.
    pub draining: usize,
    /// Number of them in evacuated zones.
    pub evacuated: usize,
    /// Number of them that are unreachable.
    pub unreachable: usize,
}

/// The departing capacity by service, as it was last reported.
#[derive(Debug, Default)]
pub struct CapacityReview {
    due: Timestamp,
    departing: BTreeMap<String, DepartingCapacity>,
}

impl LeasedGateway {
    /// Capacity of the workers of `service` that take tasks, in thousandths of a core.
    pub fn usable_capacity(&self, now: Timestamp, service: &str) -> u64 {
        self.workers_serving(service)
            .filter(|worker| self.absence(now, worker).is_none())
            .map(capacity_of)
            .sum()
    }

    /// Capacity of the known workers of `service` that drain, are in an evacuated zone or cannot be
    /// reached, in thousandths of a core.
    pub fn departing_capacity(&self, now: Timestamp, service: &str) -> u64 {
        let departing = self.departing_by_service(now);
        let departing = departing.get(service);
        departing.map_or(0, |departing| departing.cpu_millis)
    }

    /// Reports the services whose departing capacity has changed. While the backlog of a suspension
    /// of this process is read, agents only seem to be silent.
    pub(super) fn review_capacity(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        if now < self.capacity_review.due || self.suspension.is_reading_backlog(now) {
            return;
        }
        self.capacity_review.due = now.after(REVIEW_INTERVAL);
        let current = self.departing_by_service(now);
        let known = &self.capacity_review.departing;
        if current.is_empty() && known.is_empty() {
            return;
        }
        let current: BTreeMap<String, DepartingCapacity> = current
            .into_iter()
            .map(|(service, departing)| (service.to_owned(), departing))
            .collect();
        let services: BTreeSet<&String> = current.keys().chain(known.keys()).collect();
        for service in services {
            let departing = current.get(service).copied().unwrap_or_default();
            if departing != known.get(service).copied().unwrap_or_default() {
                let decision = GatewayDecision::CapacityDeparting {
                    service: service.clone(),
                    usable: self.usable_capacity(now, service),
                    departing,
                };
                effects.push(GatewayEffect::Decided(decision));
            }
        }
        self.capacity_review.departing = current;
    }

    /// The departing capacity of each service that has any. An agent process that another of the same
    /// name has replaced is not counted.
    fn departing_by_service(&self, now: Timestamp) -> BTreeMap<&str, DepartingCapacity> {
        let is_usable = |worker: &&Worker| self.absence(now, worker).is_none();
        let usable = self.workers.values().filter(is_usable);
        let usable: BTreeSet<&str> = usable.map(|worker| worker.name.as_str()).collect();
        let mut services: BTreeMap<&str, DepartingCapacity> = BTreeMap::new();
        for worker in self.workers.values() {
            let (Some(snapshot), Some(absence)) = (&worker.snapshot, self.absence(now, worker))
            else {
                continue;
            };
            if usable.contains(worker.name.as_str()) {
                continue;
            }
            let departing = services.entry(&snapshot.service).or_default();
            departing.cpu_millis += capacity_of(worker);
            match absence {
                Absence::Draining => departing.draining += 1,
                Absence::Evacuated => departing.evacuated += 1,
                Absence::Unreachable => departing.unreachable += 1,
            }
        }
        services
    }

    fn workers_serving(&self, service: &str) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(move |worker| {
            let snapshot = worker.snapshot.as_ref();
            snapshot.is_some_and(|snapshot| snapshot.service == service)
        })
    }

    /// Why the capacity of a worker does not count; `None` if it does.
    fn absence(&self, now: Timestamp, worker: &Worker) -> Option<Absence> {
        let is_silent = worker.is_silent(now) && !self.suspension.is_reading_backlog(now);
        let is_gone = worker.session.is_none() || worker.snapshot.is_none();
        if is_gone || is_silent || worker.may_be_succeeded || worker.has_crashed {
            Some(Absence::Unreachable)
        } else if worker.is_evacuated {
            Some(Absence::Evacuated)
        } else {
            worker.is_closed().then_some(Absence::Draining)
        }
    }
}

fn capacity_of(worker: &Worker) -> u64 {
    let snapshot = worker.snapshot.as_ref();
    snapshot.map_or(0, |snapshot| u64::from(snapshot.capacity.cpu_millis))
}
