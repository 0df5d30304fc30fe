//! Heartbeats and answers of a worker, or of another sender under its id, with clocks, amounts and times
//! near the ends of their types. The agent neither ends nor stops using the worker.

mod leased_support;

use laurelstile_core::leased::agent::worker::{Registration, WorkerClock, WorkerEndKind};
use laurelstile_core::leased::agent::{AgentEvent, CommandAnswer, WatchAnswer};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::RunNumber;
use laurelstile_types::time::Span;
use leased_support::{AgentRig, at, cpu, lists, registration, run};
use proptest::prelude::*;

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

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against clocks, amounts and times in heartbeats that end the agent, or keep it from using
    /// the worker once it says what is so.
    #[test]
    fn an_agent_uses_its_worker_after_odd_heartbeats(
        heartbeats in prop::collection::vec(
            (any::<bool>(), number(), resources(), prop::option::of(number()), number()),
            1..4,
        ),
    ) {
        let mut rig = AgentRig::with_worker(cpu(4_000));
        for (index, (is_own, clock, capacity, remaining, sequence)) in (1..).zip(heartbeats) {
            let incarnation = if is_own { "life-1" } else { "life-9" };
            let odd = Registration {
                clock: WorkerClock(clock),
                // Sequences of the worker itself are in range, see `Registration::check`.
                sequence: if is_own { index } else { sequence },
                remaining: remaining.map(Span),
                ..registration(at(index), incarnation.into(), capacity, false)
            };
            rig.heartbeat(at(index), odd);
            rig.tick(at(index));
        }
        rig.answer_watch(at(10), lists(&[], &[]));
        rig.tick(at(1_500));
        rig.register(at(1_500), "life-1", cpu(4_000), false);
        rig.answer_watch(at(1_501), lists(&[], &[]));
        let batch = rig.batch(1, 1, 50);
        rig.message(at(1_502), batch);
        prop_assert_eq!(rig.take_starts(), [run(1, 0)]);
    }

    /// Guards against clocks and run lists of a worker that end its agent.
    #[test]
    fn an_agent_survives_odd_answers_of_its_worker(
        answers in prop::collection::vec((number(), number(), amount(), amount(), number()), 1..4),
    ) {
        let mut rig = AgentRig::with_worker(cpu(4_000));
        let batch = rig.batch(1, 2, 50);
        rig.message(at(5), batch);
        for started in rig.take_starts() {
            let answer = Ok(CommandAnswer { clock: Some(WorkerClock(answers[0].0)), rejection: None });
            let incarnation = rig.incarnation.clone();
            rig.event(at(6), AgentEvent::StartAnswered { run: started, incarnation, answer });
        }
        for (index, (clock, ended, percent, number, job)) in (1..).zip(answers) {
            let mut odd = run(job, number);
            odd.run = RunNumber(percent);
            let known = run(1, 0);
            let lists = lists(
                &[(known, percent), (odd, percent)],
                &[(ended, odd, WorkerEndKind::Done)],
            );
            rig.take_watches();
            let answer = Ok(WatchAnswer {
                clock: Some(WorkerClock(clock)),
                started_at: None,
                lists: Ok(lists),
            });
            let incarnation = rig.incarnation.clone();
            rig.event(at(10 * index), AgentEvent::Watched { incarnation, answer });
            rig.tick(at(10 * index + 5));
        }
        for millis in (100..3_000).step_by(100) {
            rig.tick(at(millis));
        }
    }
}
