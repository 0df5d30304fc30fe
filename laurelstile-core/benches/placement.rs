//! One placement round of a gateway at which 1,000 jobs wait for 60 workers without free
//! resources, with shares of queues off and on, and with
//! `locality`.
#![allow(
    missing_docs,
    reason = "the macro of the benches makes a public function"
)]

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest, StepRequest};
use laurelstile_core::leased::gateway::policies::{LocalityPolicy, Policies, QueueSharesPolicy};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{
    GatewayEffect, GatewayEvent, Identity, LeasedGateway, StopTimes,
};
use laurelstile_core::leased::messages::{
    FromAgent, FromAgentBody, Member, NO_TASK_LIMIT, Offer, Report, Snapshot,
};
use laurelstile_core::leased::queue_key::QueueKey;
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::usage::{QueueLoad, UsageReport};
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

const WORKERS: u64 = 60;
const WAITING_JOBS: u64 = 1_000;
/// Cores of a worker, in thousandths.
const CAPACITY: u32 = 16_000;
/// Resources that each task requires.
const TASK: Resources = cpu(1_200);
/// Labels of the workers, and of the data of the jobs.
const RACKS: u64 = 12;
/// Number of workers that are slow and free in the case with data. Enough that the service does not
/// count as contended, so that steps may use remote workers of the ordinary pace, which are full.
const SLOW_FREE_WORKERS: u64 = 8;
/// Run time on these workers, in percent of the nominal one.
const SLOW_PERCENT: u32 = 300;
/// Name, priority and tasks of a job of each queue.
const QUEUES: [(&str, u32, u32); 3] = [("first", 0, 8), ("last", 2, 4), ("middle", 1, 2)];

const fn cpu(cpu_millis: u32) -> Resources {
    Resources {
        cpu_millis,
        memory_mib: 0,
        gpus: 0,
    }
}

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn queues() -> Vec<Arc<QueueSettings>> {
    let settings = QUEUES.into_iter().map(|(name, priority, _)| QueueSettings {
        name: name.into(),
        host: "example.test".into(),
        path_prefix: format!("/{name}/"),
        service: "service".into(),
        priority,
        max_attempts: 3,
        stretch: 1.6,
        slack_millis: 60_000,
        is_advised: false,
        floor_percent: None,
    });
    settings.map(Arc::new).collect()
}

const FULL: Report = Report {
    processed: 0,
    free: cpu(0),
    limit: NO_TASK_LIMIT,
    run_time_percent: 100,
};
const SLOW_AND_FREE: Report = Report {
    free: Resources {
        memory_mib: u32::MAX,
        ..cpu(CAPACITY)
    },
    run_time_percent: SLOW_PERCENT,
    ..FULL
};

fn rack(number: u64) -> String {
    format!("rack-{}", number % RACKS)
}

fn message(
    now: Timestamp,
    report: Report,
    usage: Option<UsageReport>,
    body: FromAgentBody,
) -> FromAgent {
    FromAgent {
        clock: now,
        report: Some(report),
        offers: Vec::new(),
        candidates: None,
        notices: Vec::new(),
        cancels_received: None,
        cancel_ages: Vec::new(),
        is_ending: false,
        usage: usage.map(Box::new),
        served: None,
        body,
    }
}

/// The use of one worker under contention.
fn usage() -> UsageReport {
    let loads = QUEUES.into_iter().map(|(name, _, tasks)| QueueLoad {
        queue: QueueKey::of(name),
        running_cpu_millis: 5_000,
        waiting_cpu_millis: 3_000 * tasks,
    });
    UsageReport {
        loads: loads.collect(),
    }
}

fn submission(id: u64, queues: &[Arc<QueueSettings>], has_data: bool) -> GatewayEvent {
    let index = usize::try_from(id).unwrap_or_default() % QUEUES.len();
    let resources = Resources {
        // Jobs with data require differing amounts.
        memory_mib: if has_data {
            u32::try_from(id).unwrap_or_default()
        } else {
            0
        },
        ..TASK
    };
    let step = StepRequest {
        count: QUEUES[index].2,
        resources,
        estimate: Span::from_millis(200),
        after: Vec::new(),
        label: None,
        near: has_data.then(|| rack(id)),
        saves_progress: false,
    };
    GatewayEvent::Submit {
        call: CallNumber(id),
        request: JobRequest {
            id: JobId(id),
            queue: Arc::clone(&queues[index]),
            input: "input".into(),
            steps: vec![step],
            time_left: Span::from_secs(600),
            unsupported: Vec::new(),
        },
    }
}

/// A gateway with waiting jobs that has announced them.
fn busy_gateway(policies: Policies) -> LeasedGateway {
    let identity = Identity {
        member: Member {
            name: "gateway".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "here".into(),
        },
        incarnation: Incarnation(0),
        stop: StopTimes {
            overlap: Span::from_secs(3),
            limit: Span::from_secs(5),
        },
    };
    let mut gateway = LeasedGateway::with_policies(identity, policies);
    let has_data = policies.locality.is_some();
    let mut effects = Vec::new();
    let queues = queues();
    let configuration = QueueConfiguration {
        version: 1,
        queues: queues.clone(),
    };
    let configuration = GatewayEvent::Configuration(configuration);
    gateway.handle(at(0), configuration, &mut effects);
    for worker in 1..=WORKERS {
        join(&mut gateway, worker, has_data, &mut effects);
    }
    for id in 0..WAITING_JOBS {
        gateway.handle(at(20), submission(id, &queues, has_data), &mut effects);
    }
    gateway.flush(at(20), &mut effects);
    gateway
}

fn join(
    gateway: &mut LeasedGateway,
    worker: u64,
    has_labels: bool,
    effects: &mut Vec<GatewayEffect>,
) {
    let session = SessionId(worker);
    let remote = Remote {
        name: format!("agent-{worker}"),
        incarnation: Incarnation(worker),
        uptime: Span::default(),
    };
    gateway.handle(
        at(1),
        GatewayEvent::AgentOpened { session, remote },
        effects,
    );
    let is_slow = has_labels && worker > WORKERS - SLOW_FREE_WORKERS;
    let labels = match (has_labels, is_slow) {
        (false, _) => Vec::new(),
        (true, false) => vec![rack(worker)],
        (true, true) => vec!["remote".into()],
    };
    let report = if is_slow { SLOW_AND_FREE } else { FULL };
    let snapshot = Snapshot {
        service: "service".into(),
        zone: "here".into(),
        capacity: Resources {
            memory_mib: u32::MAX,
            ..cpu(CAPACITY)
        },
        labels,
        held: Vec::new(),
        session: None,
        control: None,
        honors_claims: false,
    };
    let message = message(
        at(1),
        report,
        Some(usage()),
        FromAgentBody::Snapshot(snapshot),
    );
    gateway.handle(
        at(1),
        GatewayEvent::AgentMessage { session, message },
        effects,
    );
}

/// A report with usage and an offer that no task fits into, and the round that follows.
fn round(gateway: &mut LeasedGateway, now: Timestamp, with_usage: bool) -> usize {
    let mut effects = Vec::new();
    let mut message = message(now, FULL, with_usage.then(usage), FromAgentBody::Heartbeat);
    message.offers.push(Offer {
        number: 1,
        resources: cpu(100),
    });
    let session = SessionId(1);
    gateway.handle(
        now,
        GatewayEvent::AgentMessage { session, message },
        &mut effects,
    );
    gateway.flush(now, &mut effects);
    effects.len()
}

fn placement(criterion: &mut Criterion) {
    let on = Policies {
        queue_shares: Some(QueueSharesPolicy { floor_percent: 80 }),
        ..Policies::default()
    };
    let locality = Policies {
        locality: Some(LocalityPolicy { remote_factor: 1.5 }),
        ..Policies::default()
    };
    // With `locality`, the wait for near workers ends 100 ms after the submission.
    let cases = [
        ("shares_off", Policies::default(), at(30)),
        ("shares_on", on, at(30)),
        ("locality", locality, at(130)),
    ];
    let mut group = criterion.benchmark_group("placement_round");
    for (name, policies, now) in cases {
        let with_usage = policies.queue_shares.is_some();
        group.bench_function(name, |bencher| {
            bencher.iter_batched_ref(
                || busy_gateway(policies),
                |gateway| black_box(round(gateway, now, with_usage)),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
