//! Containment of queues whose tasks keep crashing workers.
//!
//! A single such task is given up after about two crashes, but many of them in succession can
//! still take down a whole service, since each must be identified and a crashed worker is away
//! for seconds. Once a quarter of a service's workers is away, a queue with several recent
//! suspects is restricted to a fixed quarter of the workers; the other queues use the rest.
//! Containment ends once the queue has fewer than [`MIN_SUSPECTS`] recent suspects.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::queues::QueueSettings;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::ToPeer;
use crate::leased::task::TaskId;
use crate::session::SessionId;

/// How long a suspect counts. Longer than a worker is away after a crash: whether the queue
/// still has tasks that crash workers shows only once workers run its tasks again.
const SUSPECT_RETENTION: Span = Span::from_secs(4);
/// Queues are contained once one in this many workers of their service is away after a crash.
/// Contained queues use one in this many workers.
const WORKER_DIVISOR: usize = 4;
/// Minimum number of suspects for containment; fewer may be a coincidence.
const MIN_SUSPECTS: usize = 2;

/// Recent suspects, and the workers reserved for contained queues.
#[derive(Debug, Default)]
pub struct Containment {
    /// Time of recording, queue name and task of each suspect, the oldest first.
    suspects: VecDeque<(Timestamp, Arc<str>, TaskId)>,
    /// Service of each contained queue, by queue name.
    queues: BTreeMap<Arc<str>, String>,
    /// The workers reserved for contained queues, by service.
    reserved: BTreeMap<String, BTreeSet<Incarnation>>,
}

impl Containment {
    /// Records a suspected task. Returns `false` if it was already recorded.
    fn record(&mut self, now: Timestamp, queue: &str, task: TaskId) -> bool {
        let is_known = self.suspects.iter().any(|(_, _, known)| *known == task);
        if !is_known {
            self.suspects.push_back((now, queue.into(), task));
        }
        !is_known
    }

    fn expire_suspects(&mut self, now: Timestamp) {
        let is_old =
            |suspect: &(Timestamp, Arc<str>, TaskId)| now.since(suspect.0) > SUSPECT_RETENTION;
        while self.suspects.front().is_some_and(is_old) {
            self.suspects.pop_front();
        }
    }

    fn suspect_count(&self, queue: &str) -> usize {
        let suspects = self.suspects.iter();
        suspects.filter(|(_, name, _)| **name == *queue).count()
    }

    /// Whether a queue has recent suspects and is not contained.
    fn is_undecided(&self, queue: &str) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|(_, name, _)| **name == *queue) && !self.contains(queue)
    }

    fn allows(&self, queue: &QueueSettings, agent: Incarnation) -> bool {
        let reserved = self.reserved.get(&queue.service);
        let is_reserved = reserved.is_some_and(|reserved| reserved.contains(&agent));
        reserved.is_none() || is_reserved == self.contains(&queue.name)
    }

    fn contains(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
    }

    /// When the most recent suspect expires.
    fn last_expiry(&self) -> Option<Timestamp> {
        self.suspects
            .back()
            .map(|(at, _, _)| at.after(SUSPECT_RETENTION))
    }
}

impl LeasedGateway {
    /// Records a suspected task of a local job and notifies peers.
    pub(super) fn record_suspect(
        &mut self,
        now: Timestamp,
        task: TaskId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(queue) = self.jobs.get(&task.job).map(|job| job.queue.name.clone()) else {
            return;
        };
        if !self.containment.record(now, &queue, task) {
            return;
        }
        self.broadcast_to_peers(&ToPeer::Suspect { queue, task }, effects);
    }

    /// Records a suspect received from a peer and forwards it if it is new here.
    pub(super) fn on_peer_suspect(
        &mut self,
        now: Timestamp,
        source: SessionId,
        queue: String,
        task: TaskId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.containment.record(now, &queue, task) {
            let message = ToPeer::Suspect { queue, task };
            self.forward_to_peers(source, &message, effects);
        }
    }

    /// Updates which queues are contained and which workers are reserved for them.
    pub(super) fn review_containment(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.containment.expire_suspects(now);
        if self.containment.suspects.is_empty() && self.containment.queues.is_empty() {
            return;
        }
        let contained = self.queues_to_contain();
        let services: BTreeSet<&String> = contained.values().collect();
        let reserved = services.into_iter().map(|service| {
            let workers = self.reserved_workers(service);
            (service.clone(), workers)
        });
        self.containment.reserved = reserved.collect();
        let before = std::mem::replace(&mut self.containment.queues, contained);
        let now_contained = &self.containment.queues;
        let started = now_contained
            .keys()
            .filter(|queue| !before.contains_key(*queue));
        let ended = before
            .keys()
            .filter(|queue| !now_contained.contains_key(*queue));
        let changes = started
            .map(|queue| (queue, true))
            .chain(ended.map(|queue| (queue, false)));
        for (queue, is_contained) in changes {
            effects.push(GatewayEffect::Decided(GatewayDecision::Contained {
                queue: queue.to_string(),
                is_contained,
            }));
        }
    }

    fn queues_to_contain(&self) -> BTreeMap<Arc<str>, String> {
        let configuration = self.configuration.iter();
        let queues = configuration.flat_map(|configuration| configuration.queues.iter());
        let contained = queues.filter(|queue| {
            let suspects = self.containment.suspect_count(&queue.name);
            let is_contained = self.containment.contains(&queue.name);
            suspects >= MIN_SUSPECTS
                && (is_contained || self.is_crash_limit_reached(&queue.service))
        });
        contained
            .map(|queue| (queue.name.as_str().into(), queue.service.clone()))
            .collect()
    }

    /// Whether at least one in [`WORKER_DIVISOR`] workers of a service is away after a crash.
    fn is_crash_limit_reached(&self, service: &str) -> bool {
        let workers = self.workers_of(service).count();
        let away = self.workers_of(service).filter(|(agent, _)| {
            let worker = self.workers.get(agent);
            worker.is_some_and(|worker| worker.has_crashed)
        });
        away.count() * WORKER_DIVISOR >= workers
    }

    /// The workers of a service with a connected agent, whether or not they are running.
    fn workers_of(&self, service: &str) -> impl Iterator<Item = (Incarnation, &str)> {
        let workers = self.workers.iter().filter(move |(_, worker)| {
            let snapshot = worker.snapshot.as_ref();
            let is_of_service = snapshot.is_some_and(|snapshot| snapshot.service == service);
            is_of_service && worker.session.is_some()
        });
        workers.map(|(agent, worker)| (*agent, worker.name.as_str()))
    }

    /// Selects the workers reserved for contained queues. Gateways that know the same workers
    /// select the same ones.
    fn reserved_workers(&self, service: &str) -> BTreeSet<Incarnation> {
        let mut workers: Vec<(u64, Incarnation)> = self
            .workers_of(service)
            .map(|(agent, name)| (hash_of(name), agent))
            .collect();
        workers.sort_unstable();
        let count = (workers.len() / WORKER_DIVISOR).max(1);
        workers.truncate(count);
        workers.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Whether containment permits tasks of a queue on a worker.
    pub(super) fn may_use_worker(&self, queue: &QueueSettings, agent: Incarnation) -> bool {
        self.containment.allows(queue, agent)
    }

    /// Whether tasks of a queue are suspected of crashing workers, but the queue is not contained.
    pub(super) fn is_suspected(&self, queue: &QueueSettings) -> bool {
        self.containment.is_undecided(&queue.name)
    }

    /// Whether a queue is restricted to the reserved workers.
    pub(super) fn is_contained(&self, queue: &QueueSettings) -> bool {
        self.containment.contains(&queue.name)
    }

    /// If a queue is contained and none of its reserved workers is usable, returns the time by
    /// which containment ends unless more suspects are recorded; otherwise `None`.
    pub(super) fn containment_retry_at(
        &self,
        now: Timestamp,
        queue: &QueueSettings,
    ) -> Option<Timestamp> {
        if !self.is_contained(queue) {
            return None;
        }
        let mut usable = self.workers.iter().filter(|(agent, worker)| {
            self.may_use_worker(queue, **agent) && worker.is_usable(now, &queue.service)
        });
        match usable.next() {
            Some(_) => None,
            None => self.containment.last_expiry(),
        }
    }
}

fn hash_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
