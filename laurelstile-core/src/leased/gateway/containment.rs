//! Queues whose tasks take workers down again and again: kept to a part of the workers.
//!
//! One such task is given up after some two crashes. Many of them, one after the other, take
//! the whole service down all the same: each has to be found out, and a worker is away for
//! seconds. So once a quarter of the workers is away, a queue that had several poison tasks of
//! late is kept to a quarter, always the same one, and the other queues keep to the rest.

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

/// How long a suspect counts: longer than workers are away after a crash, so that the ones
/// that are back show whether more such tasks come.
const MEMORY: Span = Span::from_secs(4);
/// The part of the workers that may be away by crashes, and to which a queue is kept then.
const PART: usize = 4;
/// Fewer suspects than this contain nothing: two may be chance.
const LEAST_SUSPECTS: usize = 2;

/// Suspects of late, and the workers that contained queues are kept to.
#[derive(Debug, Default)]
pub struct Containment {
    suspects: VecDeque<(Timestamp, Arc<str>, TaskId)>,
    /// The queues that are contained, with their service.
    queues: BTreeMap<Arc<str>, String>,
    /// The workers that these are kept to, by service.
    exposed: BTreeMap<String, BTreeSet<Incarnation>>,
}

impl Containment {
    /// A task of a queue is suspected, perhaps not for the first time.
    fn note(&mut self, now: Timestamp, queue: &str, task: TaskId) -> bool {
        let is_known = self.suspects.iter().any(|(_, _, known)| *known == task);
        if !is_known {
            self.suspects.push_back((now, queue.into(), task));
        }
        !is_known
    }

    fn forget_old(&mut self, now: Timestamp) {
        let is_old = |suspect: &(Timestamp, Arc<str>, TaskId)| now.since(suspect.0) > MEMORY;
        while self.suspects.front().is_some_and(is_old) {
            self.suspects.pop_front();
        }
    }

    fn suspects_of(&self, queue: &str) -> usize {
        let suspects = self.suspects.iter();
        suspects.filter(|(_, of, _)| **of == *queue).count()
    }

    /// Whether a queue may use a worker.
    fn allows(&self, queue: &QueueSettings, agent: Incarnation) -> bool {
        let exposed = self.exposed.get(&queue.service);
        let is_exposed = exposed.is_some_and(|exposed| exposed.contains(&agent));
        exposed.is_none() || is_exposed == self.contains(&queue.name)
    }

    fn contains(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
    }

    /// When the last suspect that is remembered is forgotten.
    fn ends_at(&self) -> Option<Timestamp> {
        self.suspects.back().map(|(at, _, _)| at.after(MEMORY))
    }
}

impl LeasedGateway {
    /// A task of a job here is suspected: peers count it too.
    pub(super) fn note_suspect(
        &mut self,
        now: Timestamp,
        task: TaskId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(queue) = self.jobs.get(&task.job).map(|job| job.queue.name.clone()) else {
            return;
        };
        if !self.containment.note(now, &queue, task) {
            return;
        }
        self.tell_peers(&ToPeer::Suspect { queue, task }, effects);
    }

    /// A peer tells of a suspect. What is news here is passed on.
    pub(super) fn on_suspect_told(
        &mut self,
        now: Timestamp,
        source: SessionId,
        queue: String,
        task: TaskId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.containment.note(now, &queue, task) {
            let message = ToPeer::Suspect { queue, task };
            self.tell_other_peers(source, &message, effects);
        }
    }

    /// Finds out which queues are contained now, and to which workers.
    pub(super) fn review_containment(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.containment.forget_old(now);
        if self.containment.suspects.is_empty() && self.containment.queues.is_empty() {
            return;
        }
        let contained = self.queues_to_contain();
        let services: BTreeSet<&String> = contained.values().collect();
        let exposed = services.into_iter().map(|service| {
            let workers = self.exposed_workers(service);
            (service.clone(), workers)
        });
        self.containment.exposed = exposed.collect();
        let before = std::mem::replace(&mut self.containment.queues, contained);
        let now_contained = &self.containment.queues;
        let begun = now_contained
            .keys()
            .filter(|queue| !before.contains_key(*queue));
        let ended = before
            .keys()
            .filter(|queue| !now_contained.contains_key(*queue));
        let changes = begun
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
        let queues = configuration.flat_map(|known| known.queues.iter());
        let contained = queues.filter(|queue| {
            let suspects = self.containment.suspects_of(&queue.name);
            let is_contained = self.containment.contains(&queue.name);
            suspects >= LEAST_SUSPECTS && (is_contained || self.is_harmed(&queue.service))
        });
        contained
            .map(|queue| (queue.name.as_str().into(), queue.service.clone()))
            .collect()
    }

    /// Whether crashes keep so many workers of a service away that a queue with poison tasks is
    /// to be contained.
    fn is_harmed(&self, service: &str) -> bool {
        let workers = self.workers_of(service).count();
        let away = self.workers_of(service).filter(|(agent, _)| {
            let worker = self.workers.get(agent);
            worker.is_some_and(|worker| worker.has_crashed)
        });
        away.count() * PART >= workers
    }

    /// The workers of a service whose agents are known here, up or down.
    fn workers_of(&self, service: &str) -> impl Iterator<Item = (Incarnation, &str)> {
        let workers = self.workers.iter().filter(move |(_, worker)| {
            let snapshot = worker.snapshot.as_ref();
            let is_of_service = snapshot.is_some_and(|known| known.service == service);
            is_of_service && worker.session.is_some()
        });
        workers.map(|(agent, worker)| (*agent, worker.name.as_str()))
    }

    /// The same part of the workers at all gateways that know the same workers.
    fn exposed_workers(&self, service: &str) -> BTreeSet<Incarnation> {
        let mut workers: Vec<(u64, Incarnation)> = self
            .workers_of(service)
            .map(|(agent, name)| (hash_of(name), agent))
            .collect();
        workers.sort_unstable();
        let count = (workers.len() / PART).max(1);
        workers.truncate(count);
        workers.into_iter().map(|(_, agent)| agent).collect()
    }

    /// Whether tasks of a queue may be given to a worker.
    pub(super) fn is_open_to(&self, queue: &QueueSettings, agent: Incarnation) -> bool {
        self.containment.allows(queue, agent)
    }

    /// Whether a queue is kept to a part of the workers.
    pub(super) fn is_contained(&self, queue: &QueueSettings) -> bool {
        self.containment.contains(&queue.name)
    }

    /// Whether a queue is contained and none of the workers that it is kept to can be used,
    /// and until when that may last.
    pub(super) fn is_shut_out(&self, now: Timestamp, queue: &QueueSettings) -> Option<Timestamp> {
        if !self.is_contained(queue) {
            return None;
        }
        let mut usable = self.workers.iter().filter(|(agent, worker)| {
            self.is_open_to(queue, **agent) && worker.is_usable(now, &queue.service)
        });
        match usable.next() {
            Some(_) => None,
            None => self.containment.ends_at(),
        }
    }
}

fn hash_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
