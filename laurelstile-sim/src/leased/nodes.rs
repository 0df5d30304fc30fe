//! The processes of the emulated world.

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_core::leased::agent::worker::FenceToken;
use laurelstile_core::leased::agent::{AgentOptions, HeartbeatTiming, LeasedAgent};
use laurelstile_core::leased::gateway::policies::Policies;
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{Identity, LeasedGateway, StopTimes};
use laurelstile_core::leased::messages::Member;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::worker::UNIX_MILLIS;

/// Zone of every gateway.
pub const ZONE: &str = "zone";
/// Zones of the workers.
pub const WORKER_ZONES: usize = 2;
/// Service of every worker.
pub const SERVICE: &str = "service";
/// Queues.
pub const QUEUES: usize = 3;
/// Failures that end a task.
pub const MAX_ATTEMPTS: u32 = 3;

/// How long an input usually takes, in microseconds.
const INPUT_TIME: u64 = 400;

/// A process of either role and its life.
#[derive(Debug)]
pub struct Process<M> {
    /// The machine.
    pub machine: M,
    /// Incarnation; a new one for each life.
    pub incarnation: Incarnation,
    /// When the life began, in microseconds.
    pub started: u64,
    /// Whether the process runs.
    pub is_up: bool,
    /// Whether a connection to it is refused; if not, it hangs.
    pub refuses: bool,
    /// Until when it stands still.
    pub frozen_until: u64,
    /// How many times as long as usual an input takes, and until when.
    pub slowness: Option<(u64, u64)>,
    /// Until when it works on the last input, if it is slow.
    pub busy_until: u64,
    /// Until when its callers cannot reach it.
    pub callers_cut_until: u64,
    /// How long its clock has stood still, in microseconds.
    pub uncounted: u64,
    /// Whether it is in a planned stop that nothing else has hit.
    pub in_planned_stop: bool,
    /// When it is woken next.
    pub wakes_at: u64,
    /// Open sessions, with the other side's index.
    pub sessions: BTreeMap<SessionId, usize>,
}

impl<M> Process<M> {
    /// A process that begins now.
    pub fn begin(machine: M, incarnation: u64, now: u64) -> Self {
        Self {
            machine,
            incarnation: Incarnation(incarnation),
            started: now,
            is_up: true,
            refuses: false,
            frozen_until: 0,
            slowness: None,
            busy_until: 0,
            callers_cut_until: 0,
            uncounted: 0,
            in_planned_stop: false,
            wakes_at: u64::MAX,
            sessions: BTreeMap::new(),
        }
    }

    /// When to wake the process, if that is sooner than was planned.
    pub fn wake_sooner(&mut self, clock: Timestamp, wakeup: Option<Timestamp>) -> Option<u64> {
        let at = self.started + self.uncounted + wakeup?.0.max(clock.0 + 1);
        if at >= self.wakes_at {
            return None;
        }
        self.wakes_at = at;
        Some(at)
    }

    /// The process stands still until `end`, or longer if it does already: what has come
    /// meanwhile waits for the end that was known then.
    pub fn freeze(&mut self, end: u64) {
        self.frozen_until = self.frozen_until.max(end);
    }

    /// The machine is suspended until `end`; the clock may not count that.
    pub fn suspend(&mut self, now: u64, end: u64, is_uncounted: bool) {
        let asleep_from = self.frozen_until.max(now);
        if end > asleep_from {
            self.frozen_until = end;
            if is_uncounted {
                self.uncounted += end - asleep_from;
            }
        }
    }

    /// Each input takes `factor` times as long as usual until `end`.
    pub fn slow_down(&mut self, factor: u64, end: u64) {
        self.slowness = Some((factor, end));
    }

    /// Whether each input takes longer than usual.
    pub fn is_slow(&self) -> bool {
        self.slowness.is_some()
    }

    /// How long an input takes now, if the process is slow.
    pub fn slow_input_time(&self, now: u64) -> Option<u64> {
        let slowness = self.slowness.filter(|(_, until)| now < *until);
        slowness.map(|(factor, _)| factor * INPUT_TIME)
    }

    /// Takes the time that a slow process needs for an input.
    pub fn work(&mut self, now: u64) {
        if let Some((factor, until)) = self.slowness {
            if now >= until {
                self.slowness = None;
            } else {
                self.busy_until = now + factor * INPUT_TIME;
            }
        }
    }

    /// The process's own clock.
    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp(now.saturating_sub(self.started + self.uncounted))
    }
}

/// Policies of all gateways and priorities of the queues; by default, no policy is on and all queues
/// have the same priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deployment {
    /// The optional policies that are on.
    pub policies: Policies,
    /// Priority of each queue.
    pub priorities: [u32; QUEUES],
}

/// A gateway's machine.
pub fn gateway(index: usize, incarnation: u64, deployment: &Deployment) -> LeasedGateway {
    let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
    let identity = Identity {
        member: Member {
            name: format!("gateway-{index}"),
            address: ([127, 0, 0, 1], port).into(),
            zone: ZONE.into(),
        },
        incarnation: Incarnation(incarnation),
        stop: StopTimes {
            overlap: Span::from_millis(2_800),
            limit: Span::from_millis(5_500),
        },
    };
    LeasedGateway::with_policies(identity, deployment.policies)
}

/// Zone of a worker and its agent: every second is in the same.
pub fn worker_zone(index: usize) -> String {
    zone_name(index % WORKER_ZONES)
}

/// Name of a zone of workers.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// An agent's machine that starts at `now`, in microseconds, with a wall clock that is
/// `back_millis` behind.
pub fn agent(index: usize, now: u64, back_millis: u64) -> LeasedAgent {
    LeasedAgent::new(AgentOptions {
        zone: worker_zone(index),
        shutdown_timeout: Span::from_secs(5),
        heartbeats: HeartbeatTiming {
            interval: Span::from_millis(1_500),
            grace: Span::from_millis(3_000),
        },
        token_floor: FenceToken(UNIX_MILLIS + now / 1_000 - back_millis),
        departures: None,
    })
}

/// The configuration at a version.
pub fn configuration(version: u64, deployment: &Deployment) -> QueueConfiguration {
    let queues = (0..QUEUES).map(|index| Arc::new(queue(index, deployment)));
    QueueConfiguration {
        version,
        queues: queues.collect(),
    }
}

/// A queue; all have the same service.
pub fn queue(index: usize, deployment: &Deployment) -> QueueSettings {
    QueueSettings {
        name: format!("queue-{index}"),
        host: "example.test".into(),
        path_prefix: format!("/queue-{index}/"),
        service: SERVICE.into(),
        priority: deployment.priorities[index],
        max_attempts: MAX_ATTEMPTS,
        stretch: 1.6,
        slack_millis: 60,
        is_advised: false,
        floor_percent: None,
    }
}
