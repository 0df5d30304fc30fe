//! Demand and fair share of each queue of a service, from the usage that agents report.
//!
//! The usage covers the tasks of all gateways, so that all gateways calculate the same shares.

use std::collections::BTreeMap;

use laurelstile_types::time::{Span, Timestamp};

use super::queues::{QueueConfiguration, QueueSettings};
use super::shares::{Demand, Standing, fair_shares, is_contended};
use super::worker_usage::{MAX_USAGE_AGE, rounded};
use super::workers::Worker;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::queue_key::QueueKey;

/// Age above which shares are calculated again even if no usage was received, since workers may have
/// become unusable.
const MAX_SHARES_AGE: Span = Span::from_millis(50);
/// Minimum age of shares that are calculated again because usage was received. Dozens of agents report
/// each 100 ms, and one report changes the sums little.
const MIN_SHARES_AGE: Span = Span::from_millis(5);
/// Minimum interval between two reports of a queue whose standing is unchanged.
const SHARE_LOG_INTERVAL: Span = Span::from_millis(1_000);

/// The shares of all services, as of the latest calculation.
#[derive(Debug, Default)]
pub struct QueueLoads {
    services: BTreeMap<String, ServiceLoads>,
    /// Whether usage was received since the latest calculation.
    has_new_usage: bool,
    /// When the shares were calculated; `None` before the first calculation.
    calculated_at: Option<Timestamp>,
    /// What was last reported of each queue.
    logged: BTreeMap<QueueKey, LoggedShare>,
}

/// Capacity of a service and the shares of its queues.
#[derive(Debug, Default)]
struct ServiceLoads {
    /// Capacity of the usable workers, as far as their use is known, in thousandths of a core.
    capacity: u64,
    /// Whether the demands exceed the capacity.
    is_contended: bool,
    /// Whether the queues have different priorities or floors, without which none goes first.
    has_unequal_queues: bool,
    queues: BTreeMap<QueueKey, QueueShare>,
}

/// Demand and fair share of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueShare {
    demand: Demand,
    /// Fair share, in thousandths of a core.
    share: u64,
}

/// What was last reported of a queue.
#[derive(Clone, Copy, Debug)]
struct LoggedShare {
    at: Timestamp,
    standing: Standing,
    is_contended: bool,
}

impl QueueLoads {
    /// Records that a worker's usage was received.
    pub fn record_received(&mut self) {
        self.has_new_usage = true;
    }

    fn is_due(&self, now: Timestamp) -> bool {
        let Some(calculated_at) = self.calculated_at else {
            return true;
        };
        let age = now.since(calculated_at);
        age >= MAX_SHARES_AGE || self.has_new_usage && age >= MIN_SHARES_AGE
    }

    fn has_contention(&self) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.is_contended)
    }
}

impl ServiceLoads {
    /// Adds the capacity and usage of a worker.
    fn add_worker(&mut self, now: Timestamp, capacity: u32, worker: &Worker) {
        let free = worker.free_resources().cpu_millis;
        self.capacity += worker.usage.counted_capacity(now, capacity, free);
        for (queue, load) in worker.usage.recent(now) {
            let queue = self.queues.entry(queue).or_default();
            queue.demand.running += rounded(load.running);
            queue.demand.waiting += rounded(load.waiting);
        }
    }

    fn apply_floors(&mut self, service: &str, configuration: &QueueConfiguration) {
        self.has_unequal_queues = configuration.has_unequal_queues(service);
        for settings in &configuration.queues {
            let Some(percent) = settings
                .floor_percent
                .filter(|_| settings.service == service)
            else {
                continue;
            };
            if let Some(queue) = self.queues.get_mut(&QueueKey::of(&settings.name)) {
                queue.demand.floor = self.capacity * u64::from(percent) / 100;
            }
        }
    }

    /// Calculates the fair share of each queue.
    fn share_capacity(&mut self) {
        let demands: Vec<Demand> = self.queues.values().map(|queue| queue.demand).collect();
        self.is_contended = is_contended(self.capacity, &demands);
        let shares = fair_shares(self.capacity, &demands);
        for (queue, share) in self.queues.values_mut().zip(shares) {
            queue.share = share;
        }
    }

    /// Standing of a queue under contention.
    fn standing(&self, key: QueueKey, floor_percent: u32) -> Standing {
        let Some(queue) = self.queues.get(&key) else {
            return Standing::Guaranteed;
        };
        let is_above = queue.demand.total() > queue.share;
        let reachable = self.reachable(queue.share);
        if is_above && !queue.demand.is_below_floor(reachable, floor_percent) {
            Standing::Contending
        } else {
            Standing::Guaranteed
        }
    }

    /// The part of a share that can be reached: workers are never fully used, since starts take time
    /// and tasks do not fill them exactly.
    fn reachable(&self, share: u64) -> u64 {
        let running: u64 = self.queues.values().map(|queue| queue.demand.running).sum();
        let running = u128::from(running.min(self.capacity));
        let part = u128::from(share) * running / u128::from(self.capacity.max(1));
        u64::try_from(part).unwrap_or(u64::MAX)
    }
}

impl LeasedGateway {
    /// Whether a queue is within its fair share of its service's capacity. All queues are
    /// guaranteed without the policy, without contention, and where the queues of the service
    /// have the same priority and floor. With the policy, a queue is contending while its tasks are
    /// suspected of crashing workers and it is not contained.
    pub fn standing(&self, now: Timestamp, queue: &QueueSettings) -> Standing {
        let Some(policy) = self.policies.queue_shares else {
            return Standing::Guaranteed;
        };
        if self.is_suspected(queue) {
            return Standing::Contending;
        }
        let service = self.contended_service(now, &queue.service);
        let Some(service) = service.filter(|service| service.has_unequal_queues) else {
            return Standing::Guaranteed;
        };
        service.standing(QueueKey::of(&queue.name), policy.floor_percent)
    }

    /// Whether the queues of a service demand more than the capacity of its usable workers, as
    /// far as agents have reported it lately.
    pub fn is_under_contention(&self, now: Timestamp, service: &str) -> bool {
        self.contended_service(now, service).is_some()
    }

    /// Whether a service is under contention, and its queues have different priorities or floors.
    pub(super) fn are_shares_in_force(&self, now: Timestamp, service: &str) -> bool {
        let loads = self.contended_service(now, service);
        loads.is_some_and(|loads| loads.has_unequal_queues)
    }

    fn contended_service(&self, now: Timestamp, service: &str) -> Option<&ServiceLoads> {
        let calculated_at = self.queue_loads.calculated_at?;
        let loads = self.queue_loads.services.get(service)?;
        (loads.is_contended && now.since(calculated_at) <= MAX_USAGE_AGE).then_some(loads)
    }

    /// Calculates the shares if jobs wait or there was contention, and the latest calculation is out
    /// of date.
    pub(super) fn update_shares(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_needed = !self.waiting.is_empty() || self.queue_loads.has_contention();
        if self.policies.queue_shares.is_none() || !is_needed || !self.queue_loads.is_due(now) {
            return;
        }
        self.queue_loads.services = self.calculate_shares(now);
        self.queue_loads.has_new_usage = false;
        self.queue_loads.calculated_at = Some(now);
        self.log_shares(now, effects);
    }

    /// Sums the recent usage over the usable workers of each service and calculates the shares.
    fn calculate_shares(&self, now: Timestamp) -> BTreeMap<String, ServiceLoads> {
        let mut services: BTreeMap<String, ServiceLoads> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(snapshot) = &worker.snapshot else {
                continue;
            };
            if !worker.is_usable(now, &snapshot.service) {
                continue;
            }
            let capacity = snapshot.capacity.cpu_millis;
            match services.get_mut(&snapshot.service) {
                Some(service) => service.add_worker(now, capacity, worker),
                None => {
                    let mut service = ServiceLoads::default();
                    service.add_worker(now, capacity, worker);
                    services.insert(snapshot.service.clone(), service);
                }
            }
        }
        for (name, service) in &mut services {
            if let Some(configuration) = &self.configuration {
                service.apply_floors(name, configuration);
            }
            service.share_capacity();
        }
        services
    }

    /// Reports the standing and share of each queue when its standing changes or contention begins or
    /// ends, and at an interval under contention.
    fn log_shares(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        for queue in &configuration.queues {
            let key = QueueKey::of(&queue.name);
            let share = self.share_of(now, queue);
            let is_contended = share.is_some();
            let standing = self.standing(now, queue);
            let is_unchanged = match self.queue_loads.logged.get(&key) {
                Some(logged) => {
                    logged.standing == standing
                        && logged.is_contended == is_contended
                        && (!is_contended || now.since(logged.at) < SHARE_LOG_INTERVAL)
                }
                None => standing == Standing::Guaranteed && !is_contended,
            };
            if is_unchanged {
                continue;
            }
            let logged = LoggedShare {
                at: now,
                standing,
                is_contended,
            };
            self.queue_loads.logged.insert(key, logged);
            let share = share.unwrap_or_default();
            effects.push(GatewayEffect::Decided(GatewayDecision::QueueShare {
                queue: queue.name.clone(),
                standing,
                is_contended,
                share_cpu_millis: share.share,
                running_cpu_millis: share.demand.running,
                waiting_cpu_millis: share.demand.waiting,
            }));
        }
        let is_kept = |key: &QueueKey| {
            let mut queues = configuration.queues.iter();
            queues.any(|queue| QueueKey::of(&queue.name) == *key)
        };
        self.queue_loads.logged.retain(|key, _| is_kept(key));
    }

    /// The share of a queue with demand, if its service is under contention.
    fn share_of(&self, now: Timestamp, queue: &QueueSettings) -> Option<QueueShare> {
        let service = self.contended_service(now, &queue.service)?;
        service.queues.get(&QueueKey::of(&queue.name)).copied()
    }
}
