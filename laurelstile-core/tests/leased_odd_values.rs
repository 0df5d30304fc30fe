//! Values that no well-behaved caller or operator sends: estimates, amounts and factors whose sums and
//! products exceed their types. They are refused or bounded, and what comes after them is served.

mod leased_support;

use std::sync::Arc;

use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest, StepRequest};
use laurelstile_core::leased::gateway::policies::{
    AdmissionPolicy, LocalityPolicy, Policies, PreemptionPolicy, QueueSharesPolicy,
};
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::messages::EndKind;
use laurelstile_core::leased::resources::Resources;
use laurelstile_types::time::Span;
use leased_support::{GatewayRig, at, configuration, cpu, job, queue};
use proptest::prelude::*;

/// Number of the job, and of the call, with which a gateway shows that it still serves.
const LAST_JOB: u64 = 0xfeed;
/// Capacity of the worker.
const CAPACITY: Resources = cpu(8_000);

/// All policies of a gateway, so that what each computes of a job is computed.
fn all_policies() -> Policies {
    Policies {
        queue_shares: Some(QueueSharesPolicy { floor_percent: 50 }),
        admission: Some(AdmissionPolicy {
            max_retry_after_millis: 8_000,
        }),
        locality: Some(LocalityPolicy { remote_factor: 2.0 }),
        preemption: Some(PreemptionPolicy { budget_percent: 10 }),
    }
}

/// A number with the extremes of its type as likely as all others.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        1..1_000_u64,
        Just(u64::from(u32::MAX)),
        Just(1 << 53),
        Just(u64::MAX / 1_000),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>(),
    ]
}

fn amount() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), 1..5_000_u32, Just(u32::MAX), any::<u32>()]
}

fn resources() -> impl Strategy<Value = Resources> {
    let amounts = (amount(), amount(), amount());
    amounts.prop_map(|(cpu_millis, memory_mib, gpus)| Resources {
        cpu_millis,
        memory_mib,
        gpus,
    })
}

/// Steps with arbitrary amounts, some of which depend on the step before.
fn steps() -> impl Strategy<Value = Vec<StepRequest>> {
    let count = prop_oneof![1..4_u32, Just(5_000), amount()];
    let step = (count, resources(), number(), any::<bool>(), any::<bool>());
    prop::collection::vec(step, 1..5).prop_map(|steps| {
        let steps = steps.into_iter().enumerate();
        let steps = steps.map(|(index, (count, resources, estimate, follows, has_data))| {
            let before = index.checked_sub(1).filter(|_| follows);
            StepRequest {
                count,
                resources,
                estimate: Span(estimate),
                after: before.into_iter().collect(),
                label: None,
                near: has_data.then(|| "rack".to_owned()),
                saves_progress: false,
            }
        });
        steps.collect()
    })
}

/// Whether a job that is submitted now is done once its task is, at an agent that has just joined.
fn serves_a_job(rig: &mut GatewayRig, millis: u64) -> bool {
    rig.starts.clear();
    rig.join(at(millis), 9, "agent-9", CAPACITY);
    rig.submit(at(millis), LAST_JOB, job(LAST_JOB, 1, 100));
    let placed = rig.starts.iter().find(|(_, batch)| batch.job.0 == LAST_JOB);
    let Some(placed) = placed.cloned() else {
        return false;
    };
    rig.end(at(millis + 100), &placed, EndKind::Done, CAPACITY);
    let answer = (CallNumber(LAST_JOB), Answer::Completed);
    rig.answers.contains(&answer)
}

fn odd_job(id: u64, steps: Vec<StepRequest>, time_left: u64, queue: &QueueSettings) -> JobRequest {
    JobRequest {
        steps,
        time_left: Span(time_left),
        queue: Arc::new(queue.clone()),
        ..job(id, 1, 1)
    }
}

/// Guards against a chain of steps whose estimates overflow when they are added.
#[test]
fn a_chain_of_estimates_beyond_the_type_is_refused_as_malformed() {
    let mut rig = GatewayRig::with_policies(all_policies(), configuration(1));
    rig.join(at(0), 1, "agent-1", CAPACITY);
    let step = |estimate, after: &[usize]| StepRequest {
        estimate: Span(estimate),
        after: after.to_vec(),
        ..job(1, 1, 1).steps[0].clone()
    };
    let chains = [
        vec![step(u64::MAX, &[])],
        vec![step(u64::MAX / 2 + 1, &[]), step(u64::MAX / 2 + 1, &[0])],
        vec![step(1_000, &[]), step(u64::MAX, &[0])],
    ];
    for (id, steps) in (1..).zip(chains) {
        rig.submit(at(10), id, odd_job(id, steps, u64::MAX, &queue()));
        let answers = rig.answers.iter().filter(|(call, _)| call.0 == id);
        let answers: Vec<Answer> = answers.map(|(_, answer)| *answer).collect();
        let is_malformed = |answer: &Answer| {
            matches!(
                answer,
                Answer::Refused {
                    reason: Refusal::Malformed,
                    ..
                }
            )
        };
        assert!(
            answers.len() == 1 && answers.iter().all(is_malformed),
            "{id}: {answers:?}"
        );
    }
    assert!(rig.starts.is_empty(), "nothing of them starts");
    assert!(serves_a_job(&mut rig, 20));
}

/// Guards against a factor or a constant of a queue with which the objective of a job overflows.
#[test]
fn an_objective_beyond_the_type_is_bounded() {
    for (stretch, slack_millis) in [
        (f64::INFINITY, 1),
        (1e300, u64::MAX),
        (f64::NAN, u64::MAX / 1_000 + 1),
        (-1.0, u64::MAX),
    ] {
        let queue = QueueSettings {
            stretch,
            slack_millis,
            ..queue()
        };
        let least = Span::from_millis(60);
        let objective = queue.objective(Span::from_millis(100));
        assert!(
            objective >= least,
            "{stretch}, {slack_millis}: {objective:?}"
        );
    }
}

/// Guards against a caller that waits for longer than the type holds and is refused as out of time.
#[test]
fn a_duration_beyond_the_type_saturates() {
    assert_eq!(Span::from_millis(u64::MAX), Span(u64::MAX));
    assert_eq!(Span::from_millis(u64::MAX / 1_000 + 1), Span(u64::MAX));
    assert_eq!(Span::from_secs(u64::MAX / 1_000), Span(u64::MAX));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against a job whose amounts end the gateway, or keep it from serving the next one.
    #[test]
    fn a_gateway_serves_jobs_after_odd_ones(
        jobs in prop::collection::vec((steps(), number(), number(), any::<f64>()), 1..4),
    ) {
        let mut rig = GatewayRig::with_policies(all_policies(), configuration(1));
        rig.join(at(0), 1, "agent-1", CAPACITY);
        for (id, (steps, time_left, slack_millis, stretch)) in (1..).zip(jobs) {
            let queue = QueueSettings { slack_millis, stretch, ..queue() };
            rig.submit(at(10), id, odd_job(id, steps, time_left, &queue));
            rig.tick(at(10 + id));
        }
        // Whatever was placed is done, so that the worker is free again.
        while let Some(placed) = rig.starts.pop_front() {
            rig.end(at(30), &placed, EndKind::Done, CAPACITY);
        }
        rig.pass_time(40, 131_000);
        prop_assert!(serves_a_job(&mut rig, 131_000));
    }

    /// Guards against a configuration whose values end the gateway.
    #[test]
    fn a_gateway_serves_jobs_under_an_odd_configuration(
        values in (amount(), amount(), any::<f64>(), number(), prop::option::of(amount())),
    ) {
        let (priority, max_attempts, stretch, slack_millis, floor_percent) = values;
        let odd = QueueSettings {
            name: "odd".into(),
            path_prefix: "/odd/".into(),
            priority,
            max_attempts,
            stretch,
            slack_millis,
            floor_percent,
            ..queue()
        };
        let mut rig = GatewayRig::with_policies(all_policies(), configuration(1));
        rig.join(at(0), 1, "agent-1", CAPACITY);
        let queues = vec![Arc::new(queue()), Arc::new(odd.clone())];
        let changed = QueueConfiguration { version: 2, queues };
        rig.event(at(5), GatewayEvent::Configuration(changed));
        rig.submit(at(10), 1, JobRequest { queue: Arc::new(odd), ..job(1, 2, 100) });
        rig.tick(at(12));
        while let Some(placed) = rig.starts.pop_front() {
            rig.end(at(30), &placed, EndKind::Done, CAPACITY);
        }
        rig.pass_time(40, 6_500);
        prop_assert!(serves_a_job(&mut rig, 6_500));
    }
}
