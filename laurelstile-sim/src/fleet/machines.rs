//! The machines of a fleet and the processes on them.

use std::collections::BTreeMap;

use laurelstile_core::leased::agent::worker::{FenceToken, Registration, WorkerClock};
use laurelstile_core::leased::agent::{AgentOptions, HeartbeatTiming, LeasedAgent};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{Identity, LeasedGateway, StopTimes};
use laurelstile_core::leased::membership::subset::Subset;
use laurelstile_core::leased::messages::Member;
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::dials::Dials;
use super::link::Link;
use super::processor::Processor;
use super::traffic::Traffic;

/// Zones of a fleet.
pub const ZONES: usize = 5;
/// Service of every worker.
const SERVICE: &str = "service";
/// Of so many gateways, `WIDE` have a whole core and a wide link; the others are thin.
const PATTERN: usize = 11;
const WIDE: usize = 3;
/// Links in megabits a second, and shares of a core in percent.
const WIDE_LINK: u64 = 1_000;
const WIDE_SHARE: u64 = 100;
const THIN_LINK: u64 = 25;
const THIN_SHARE: u64 = 12;
const AGENT_LINK: u64 = 1_000;
const AGENT_SHARE: u64 = 15;
/// Queues of a configuration: as many as make it some 35 KB long.
const QUEUES: usize = 250;

/// A machine's process of either role.
#[derive(Debug)]
pub enum Role {
    /// A gateway.
    Gateway(Box<LeasedGateway>),
    /// An agent, and the gateways that it knows.
    Agent(Box<LeasedAgent>, Subset),
}

/// A machine with its process.
#[derive(Debug)]
pub struct Machine {
    /// Its zone.
    pub zone: usize,
    /// Its link.
    pub link: Link,
    /// Its share of a processor.
    pub processor: Processor,
    /// What its process has sent and received, over all its lives.
    pub traffic: Traffic,
    /// The process.
    pub role: Role,
    /// Number of the process's life; 0 before the first.
    pub life: u64,
    /// When that began, in microseconds.
    pub started: u64,
    /// Whether the process runs.
    pub is_up: bool,
    /// When it is woken next.
    pub wakes_at: u64,
    /// Open sessions, with the machine at the other end.
    pub sessions: BTreeMap<SessionId, usize>,
    /// What it dials.
    pub dials: Dials,
    /// Where a gateway reads on in the list.
    pub reads_from: String,
    /// When a gateway was first ready in this life.
    pub ready_at: Option<u64>,
}

impl Machine {
    /// The process's own clock.
    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp(now.saturating_sub(self.started))
    }

    /// Its incarnation.
    pub fn incarnation(index: usize, life: u64) -> Incarnation {
        Incarnation(index as u64 * 1_000 + life)
    }

    /// Whether it is a gateway.
    pub fn is_gateway(&self) -> bool {
        matches!(self.role, Role::Gateway(_))
    }
}

fn machine(zone: usize, link: u64, share: u64, role: Role) -> Machine {
    Machine {
        zone,
        link: Link::new(link),
        processor: Processor::new(share),
        traffic: Traffic::default(),
        role,
        life: 0,
        started: 0,
        is_up: false,
        wakes_at: u64::MAX,
        sessions: BTreeMap::new(),
        dials: Dials::default(),
        reads_from: String::new(),
        ready_at: None,
    }
}

/// A gateway's machine, without a running process.
pub fn gateway_machine(index: usize) -> Machine {
    // Zones go round machine by machine, so the pattern goes round by zones.
    let is_wide = (index / ZONES) % PATTERN < WIDE;
    let (link, share) = if is_wide {
        (WIDE_LINK, WIDE_SHARE)
    } else {
        (THIN_LINK, THIN_SHARE)
    };
    machine(index % ZONES, link, share, gateway_role(index, 0))
}

/// An agent's machine, without a running process.
pub fn agent_machine(index: usize) -> Machine {
    machine(index % ZONES, AGENT_LINK, AGENT_SHARE, agent_role(index, 0))
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// Name of an agent.
pub fn agent_name(index: usize) -> String {
    format!("agent-{index:04}")
}

/// A gateway as others know it.
pub fn member(index: usize) -> Member {
    let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
    Member {
        name: format!("gateway-{index:04}"),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone_name(index % ZONES),
    }
}

/// The machine at an address.
pub fn machine_at(member: &Member) -> usize {
    usize::from(member.address.port()) - 1
}

/// A gateway's process that has just begun.
pub fn gateway_role(index: usize, life: u64) -> Role {
    Role::Gateway(Box::new(LeasedGateway::new(Identity {
        member: member(index),
        incarnation: Machine::incarnation(index, life),
        stop: StopTimes {
            overlap: Span::from_millis(2_800),
            limit: Span::from_millis(5_500),
        },
    })))
}

/// An agent's process that begins at `now`.
pub fn agent_role(index: usize, now: u64) -> Role {
    let zone = zone_name(index % ZONES);
    let agent = LeasedAgent::new(AgentOptions {
        zone: zone.clone(),
        shutdown_timeout: Span::from_secs(5),
        heartbeats: HeartbeatTiming {
            interval: Span::from_millis(1_500),
            grace: Span::from_millis(3_000),
        },
        token_floor: FenceToken(1_000_000_000 + now / 1_000),
        departures: None,
    });
    let subset = Subset::new(agent_name(index), zone);
    Role::Agent(Box::new(agent), subset)
}

/// What the worker beside an agent says of itself. It has run since before the fleet.
pub fn registration(index: usize, now: u64) -> Registration {
    Registration {
        incarnation: format!("worker-{index}").as_str().into(),
        service: SERVICE.into(),
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mib: 32_768,
            gpus: 0,
        },
        labels: vec![format!("rack-{}", index / 12)],
        clock: worker_clock(now),
        draining: false,
        sequence: 1 + now,
        remaining: None,
    }
}

/// The worker's clock.
pub fn worker_clock(now: u64) -> WorkerClock {
    WorkerClock(1_000_000 + now / 1_000)
}

/// The configuration at a version.
pub fn configuration(version: u64) -> QueueConfiguration {
    let queue = |index: usize| QueueSettings {
        name: format!("queue-{index}"),
        host: "fleet.example".into(),
        path_prefix: format!("/queue-{index}/"),
        service: SERVICE.into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        slack_millis: 60,
        is_advised: false,
        floor_percent: None,
    };
    QueueConfiguration {
        version,
        queues: (0..QUEUES).map(|index| queue(index).into()).collect(),
    }
}
