//! Tests for tasks that crash workers: the reports by agents and the reaction of gateways.

mod leased_support;

use laurelstile_core::leased::agent::worker::{CommandError, RunLists};
use laurelstile_core::leased::agent::{AgentEvent, CommandKind, WorkerCommand};
use laurelstile_core::leased::crashes::{CrashLog, CrashedTask, Suspicion, WorkerCrash};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, StartBatch, ToAgentBody, ToPeer};
use laurelstile_core::session::SessionId;
use laurelstile_types::time::Timestamp;
use leased_support::{
    AgentRig, CRASH_AFTER, CrashingWorkers, FailWatch, GATEWAY, GatewayRig, SESSION, SeenStart, at,
    cpu, job, lists, patient_job, run, task,
};
use rstest::rstest;

const EARLY: bool = true;
const LATE: bool = false;

/// A crash of a worker incarnation while it ran tasks of job 1, given by index.
fn crash(incarnation: &str, is_early: bool, runs: u32, indices: &[u32]) -> WorkerCrash {
    let tasks = indices.iter().map(|index| CrashedTask {
        task: task(1, *index),
        is_early,
    });
    WorkerCrash {
        incarnation: incarnation.into(),
        runs,
        tasks: tasks.collect(),
    }
}

/// A gateway with `workers` idle workers, on sessions numbered from 1.
fn gateway(workers: u64) -> GatewayRig {
    let mut rig = GatewayRig::new();
    for session in 1..=workers {
        rig.join(at(0), session, &format!("agent-{session}"), cpu(8_000));
    }
    rig
}

fn report_crash(rig: &mut GatewayRig, now: Timestamp, session: SessionId, crash: &WorkerCrash) {
    let body = FromAgentBody::Crashes(vec![crash.clone()]);
    rig.report(now, session.0, 0, cpu(0), body);
}

/// Crashes the worker of a batch: its agent reports the crash, and the batch's tasks as lost.
fn crash_worker_of(
    rig: &mut GatewayRig,
    now: Timestamp,
    batch: &(SessionId, StartBatch),
    is_early: bool,
    runs: u32,
) {
    let indices: Vec<u32> = batch.1.tasks.iter().map(|(index, _)| *index).collect();
    let incarnation = format!("life-{}-{}", batch.0.0, now.0);
    report_crash(
        rig,
        now,
        batch.0,
        &crash(&incarnation, is_early, runs, &indices),
    );
    rig.end(now, batch, EndKind::Lost, cpu(0));
}

/// Crashes the worker of a one-task batch late in its run, while other tasks run there.
fn crash_with_other_runs(rig: &mut GatewayRig, now: Timestamp, batch: &(SessionId, StartBatch)) {
    let crashed = CrashedTask {
        task: task(batch.1.job.0, batch.1.tasks[0].0),
        is_early: LATE,
    };
    let crash = WorkerCrash {
        incarnation: format!("life-{}-{}", batch.0.0, now.0),
        runs: 9,
        tasks: vec![crashed],
    };
    report_crash(rig, now, batch.0, &crash);
    rig.end(now, batch, EndKind::Lost, cpu(0));
}

/// Reports all workers as idle.
fn report_idle(rig: &mut GatewayRig, now: Timestamp, workers: u64) {
    for session in 1..=workers {
        rig.report(now, session, 99, cpu(8_000), FromAgentBody::Heartbeat);
    }
}

#[test]
fn tasks_interrupted_by_a_crash_are_placed_on_different_workers() {
    let mut rig = gateway(4);
    rig.submit(at(10), 1, job(1, 3, 100));
    let batch = rig.next_start();
    assert_eq!(batch.1.tasks.len(), 3);
    crash_worker_of(&mut rig, at(60), &batch, LATE, 3);
    let mut workers: Vec<SessionId> = (0..3).map(|_| rig.next_start().0).collect();
    workers.sort_unstable();
    workers.dedup();
    assert_eq!(workers.len(), 3, "each task on its own worker");
    assert!(!workers.contains(&batch.0));
}

#[test]
fn a_task_that_crashes_its_next_worker_exclusively_fails_its_job() {
    let mut rig = gateway(3);
    rig.submit(at(10), 1, job(1, 1, 100));
    let first = rig.next_start();
    assert!(!first.1.is_exclusive);
    crash_worker_of(&mut rig, at(20), &first, EARLY, 9);
    let second = rig.next_start();
    assert!(second.1.is_exclusive, "an idle worker is available");
    crash_worker_of(&mut rig, at(40), &second, EARLY, 1);
    assert_eq!(rig.last_answer(), Some(Answer::Failed));
    assert!(rig.starts.is_empty());
}

/// With other tasks on the worker, the limit is three early crashes or five crashes in all.
#[rstest]
#[case::early(EARLY, 3)]
#[case::late(LATE, 5)]
fn a_task_fails_after_a_limit_of_crashes_beside_other_tasks(
    #[case] is_early: bool,
    #[case] max_crashes: u64,
) {
    let mut rig = gateway(6);
    rig.submit(at(10), 1, job(1, 1, 100));
    for crashes in 1..=max_crashes {
        assert!(
            rig.answers.is_empty(),
            "given up after {} crashes",
            crashes - 1
        );
        let batch = rig.next_start();
        assert_eq!(
            batch.1.is_exclusive && crashes <= 2,
            is_early && crashes == 2
        );
        crash_worker_of(&mut rig, at(100 * crashes), &batch, is_early, 9);
    }
    assert_eq!(rig.last_answer(), Some(Answer::Failed));
    assert!(rig.starts.is_empty());
}

#[test]
fn suspects_run_exclusively_one_at_a_time() {
    let mut rig = gateway(6);
    rig.submit(at(10), 1, job(1, 2, 100));
    for millis in [50, 90] {
        let batches: Vec<_> = std::mem::take(&mut rig.starts).into();
        for batch in batches {
            crash_worker_of(&mut rig, at(millis), &batch, LATE, 9);
        }
    }
    let exclusive = rig.next_start();
    assert!(exclusive.1.is_exclusive);
    assert_eq!(exclusive.1.tasks.len(), 1);
    assert!(
        rig.starts.is_empty(),
        "the second suspect waits until the first has ended"
    );
    rig.end(at(200), &exclusive, EndKind::Done, cpu(8_000));
    assert!(rig.next_start().1.is_exclusive);
}

#[test]
fn a_crash_that_is_reported_repeatedly_counts_once() {
    let mut rig = gateway(4);
    rig.submit(at(10), 1, job(1, 1, 100));
    let batch = rig.next_start();
    let reported = crash("life-1", LATE, 9, &[0]);
    for millis in [30, 31, 32, 33, 34] {
        report_crash(&mut rig, at(millis), batch.0, &reported);
    }
    rig.end(at(40), &batch, EndKind::Lost, cpu(0));
    assert!(
        !rig.next_start().1.is_exclusive,
        "a single crash does not make a suspect"
    );
}

/// Guards against losing a task's crashes when its job is resubmitted at another gateway.
#[rstest]
#[case::exclusive(&[EARLY, EARLY], 9, None, true)]
#[case::failed(&[EARLY, EARLY, EARLY], 9, Some(Answer::Failed), false)]
#[case::failed_exclusively(&[EARLY, EARLY], 1, Some(Answer::Failed), false)]
fn crashes_reported_by_peers_count_for_a_job_submitted_later(
    #[case] crashes: &[bool],
    #[case] runs: u32,
    #[case] answer: Option<Answer>,
    #[case] is_exclusive: bool,
) {
    let mut rig = gateway(4);
    let session = SessionId(50);
    rig.open_peer(at(1), session);
    let reported = crashes
        .iter()
        .zip(1..)
        .map(|(is_early, number)| crash(&format!("life-{number}"), *is_early, runs, &[0]));
    let message = ToPeer::Crashes(reported.collect());
    rig.peer_message(at(2), session, message);
    rig.submit(at(10), 1, job(1, 1, 100));
    assert_eq!(rig.last_answer(), answer);
    assert_eq!(
        rig.starts.front().is_some_and(|start| start.1.is_exclusive),
        is_exclusive
    );
}

#[test]
fn crashes_that_affect_own_jobs_are_sent_to_peers() {
    let mut rig = gateway(2);
    let session = SessionId(50);
    rig.open_peer(at(1), session);
    rig.submit(at(10), 1, job(1, 1, 100));
    let batch = rig.next_start();
    let mut reported = crash("life-1", EARLY, 2, &[0]);
    reported.tasks.push(CrashedTask {
        task: task(2, 0),
        is_early: EARLY,
    });
    rig.to_peers.clear();
    report_crash(&mut rig, at(20), batch.0, &reported);
    let forwarded: Vec<&WorkerCrash> = rig
        .to_peers
        .iter()
        .filter_map(|(_, message)| match message {
            ToPeer::Crashes(crashes) => crashes.first(),
            _ => None,
        })
        .collect();
    assert_eq!(forwarded, [&crash("life-1", EARLY, 2, &[0])]);
}

#[test]
fn suspects_beyond_the_limit_of_waiting_ones_are_given_up_at_once() {
    let mut rig = gateway(12);
    for id in 1..=6 {
        rig.submit(at(10), id, job(id, 1, 100));
    }
    for millis in [50, 90] {
        let batches: Vec<_> = std::mem::take(&mut rig.starts).into();
        for batch in batches {
            crash_with_other_runs(&mut rig, at(millis), &batch);
            report_idle(&mut rig, at(millis), 12);
        }
    }
    let given_up = rig
        .answers
        .iter()
        .filter(|(_, answer)| *answer == Answer::GivenUp);
    assert_eq!(given_up.count(), 2, "{:?}", rig.answers);
}

/// The crashes reported on a session, and whether the first of them precedes the first end.
fn reported_crashes(rig: &AgentRig, session: SessionId) -> (Vec<WorkerCrash>, bool) {
    let bodies = rig.sent.iter().filter(|(to, _)| *to == session);
    let bodies: Vec<&FromAgentBody> = bodies.map(|(_, message)| &message.body).collect();
    let position = |wanted: fn(&FromAgentBody) -> bool| bodies.iter().position(|body| wanted(body));
    let first_crash = position(|body| matches!(body, FromAgentBody::Crashes(_)));
    let first_end = position(|body| matches!(body, FromAgentBody::Ends(_)));
    let crashes = bodies.iter().filter_map(|body| match body {
        FromAgentBody::Crashes(crashes) => Some(crashes.clone()),
        _ => None,
    });
    let crashes = crashes.flatten().collect();
    (crashes, first_crash.is_some() && first_crash < first_end)
}

/// An agent whose worker runs task 1/0 since 10 ms and task 1/1 since `second` ms.
fn agent_with_two_runs(second: u64) -> AgentRig {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    for (millis, index) in [(10, 0), (second, 1)] {
        let mut batch = rig.batch(1, 1, 50);
        if let ToAgentBody::Start(batch) = &mut batch {
            batch.tasks[0].0 = index;
        }
        rig.message(at(millis), batch);
        let started = rig.take_starts();
        rig.answer_start(at(millis + 1), started[0], None);
    }
    rig
}

/// A run's age counts to the first refused connection, not to the expiry of the lease.
#[rstest]
#[case::next_process_answers(AgentRig::end_incarnation)]
#[case::connections_are_refused(AgentRig::crash)]
fn an_agent_reports_a_crash_before_the_ends_and_marks_early_runs(
    #[case] crash_worker: fn(&mut AgentRig, Timestamp),
) {
    let mut rig = agent_with_two_runs(60);
    crash_worker(&mut rig, at(70));
    let crash = WorkerCrash {
        incarnation: "life-1".into(),
        runs: 2,
        tasks: vec![
            CrashedTask {
                task: task(1, 0),
                is_early: LATE,
            },
            CrashedTask {
                task: task(1, 1),
                is_early: EARLY,
            },
        ],
    };
    assert_eq!(reported_crashes(&rig, SESSION), (vec![crash.clone()], true));
    rig.open(at(2_000), SessionId(71), GATEWAY);
    rig.open(
        at(2_000),
        SessionId(80),
        laurelstile_types::id::Incarnation(8),
    );
    for session in [71, 80] {
        let reported = reported_crashes(&rig, SessionId(session)).0;
        assert_eq!(reported, std::slice::from_ref(&crash));
    }
}

/// A run's age counts to the first watch that was not answered, whatever the later ones show.
#[rstest]
#[case::time_out_between(&[AgentRig::refuse_watch, AgentRig::time_out_watch, AgentRig::refuse_watch])]
#[case::broken_connection_first(&[AgentRig::time_out_watch, AgentRig::refuse_watch])]
fn a_crash_is_early_by_the_first_unanswered_watch(
    #[case] failures: &[fn(&mut AgentRig, Timestamp)],
    #[values(false, true)] is_replaced: bool,
) {
    let mut rig = agent_with_two_runs(60);
    for (millis, fail_watch) in (70..).step_by(200).zip(failures) {
        fail_watch(&mut rig, at(millis));
    }
    if is_replaced {
        rig.end_incarnation(at(800));
    } else {
        rig.crash(at(800));
    }
    let reported = reported_crashes(&rig, SESSION).0;
    assert_eq!(reported.len(), 1);
    let early = reported[0].tasks.iter().map(|crashed| crashed.is_early);
    assert_eq!(early.collect::<Vec<_>>(), [LATE, EARLY]);
}

/// A task that crashes its workers is recognized before the lease of the first one has expired. The
/// crash counts once, whatever becomes of the worker.
#[rstest]
#[case::lease_expires(|rig: &mut AgentRig| rig.crash(at(71)))]
#[case::next_process_answers(|rig: &mut AgentRig| rig.end_incarnation(at(300)))]
#[case::answers_again(|rig: &mut AgentRig| {
    rig.answer_watch(at(300), lists(&[(run(1, 0), 10), (run(1, 1), 10)], &[]));
    rig.answer_watch(at(310), lists(&[(run(1, 0), 20), (run(1, 1), 20)], &[]));
})]
fn a_worker_that_refuses_connections_is_reported_as_crashed_once(#[case] go_on: fn(&mut AgentRig)) {
    let mut rig = agent_with_two_runs(60);
    rig.time_out_watch(at(69));
    rig.refuse_watch(at(70));
    assert_eq!(reported_crashes(&rig, SESSION).0.len(), 1);
    assert!(rig.ends().is_empty(), "its runs may continue");
    go_on(&mut rig);
    assert_eq!(reported_crashes(&rig, SESSION).0.len(), 1);
}

/// A worker that shuts down closes its listener and answers on open connections. It has not crashed
/// before its lease has expired.
#[test]
fn a_refused_connection_alone_is_not_reported_as_a_crash() {
    let mut rig = agent_with_two_runs(60);
    for millis in [70, 71, 90] {
        rig.refuse_watch(at(millis));
    }
    assert!(reported_crashes(&rig, SESSION).0.is_empty());
    rig.crash(at(91));
    assert_eq!(reported_crashes(&rig, SESSION).0.len(), 1);
}

#[test]
fn a_worker_that_drains_or_deregisters_has_not_crashed() {
    let mut rig = agent_with_two_runs(60);
    rig.register(at(65), "life-1", cpu(4_000), true);
    rig.end_incarnation(at(70));
    assert!(reported_crashes(&rig, SESSION).0.is_empty());
    let mut rig = agent_with_two_runs(60);
    rig.event(
        at(70),
        AgentEvent::Deregistration {
            id: "life-1".into(),
        },
    );
    assert!(reported_crashes(&rig, SESSION).0.is_empty());
}

/// Silence alone may be a network partition or a suspended machine; only a new incarnation
/// proves a crash.
#[rstest]
#[case::partitioned(false)]
#[case::crashed(true)]
fn a_silent_worker_has_crashed_once_a_new_incarnation_registers(#[case] is_replaced: bool) {
    let mut rig = agent_with_two_runs(60);
    for millis in [100, 150, 200] {
        rig.time_out_watch(at(millis));
    }
    rig.tick(at(1_200));
    assert_eq!(rig.ends().len(), 2, "the runs have expired");
    assert!(reported_crashes(&rig, SESSION).0.is_empty());
    if is_replaced {
        rig.register(at(1_300), "life-2", cpu(4_000), false);
        rig.end_incarnation(at(1_301));
        let reported = reported_crashes(&rig, SESSION).0;
        assert_eq!(reported.len(), 1);
        assert_eq!(reported[0].tasks.len(), 2);
        assert!(reported[0].tasks.iter().all(|crashed| !crashed.is_early));
    } else {
        rig.answer_watch(at(1_300), RunLists::default());
        rig.end_incarnation(at(1_400));
        assert!(
            reported_crashes(&rig, SESSION).0.is_empty(),
            "nothing ran on the worker"
        );
    }
}

#[test]
fn a_start_refused_by_an_ended_incarnation_does_not_count_in_its_crash() {
    let mut rig = agent_with_two_runs(60);
    let batch = rig.batch(2, 1, 50);
    rig.message(at(70), batch);
    rig.take_starts();
    let refused = AgentEvent::StartAnswered {
        run: run(2, 0),
        incarnation: "life-1".into(),
        answer: Err(CommandError::IncarnationEnded),
    };
    rig.event(at(71), refused);
    let reported = reported_crashes(&rig, SESSION).0;
    assert_eq!(reported[0].tasks.len(), 2);
    assert!(
        reported[0]
            .tasks
            .iter()
            .all(|crashed| crashed.task.job.0 == 1)
    );
}

#[test]
fn an_exclusive_run_waits_for_other_runs_and_blocks_new_ones() {
    let mut rig = agent_with_two_runs(60);
    let mut exclusive = rig.batch(3, 1, 1_000);
    if let ToAgentBody::Start(batch) = &mut exclusive {
        batch.is_exclusive = true;
    }
    rig.message(at(70), exclusive);
    assert!(rig.take_starts().is_empty());
    let batch = rig.batch(4, 1, 50);
    rig.message(at(90), batch);
    assert!(rig.take_starts().is_empty());
    assert_eq!(rig.last_report().map(|report| report.limit), Some(0));
    rig.commands
        .retain(|command: &WorkerCommand| !matches!(command.kind, CommandKind::Watch { .. }));
    let done = [(1, run(1, 0)), (2, run(1, 1))];
    let done = done.map(|(number, id)| {
        (
            number,
            id,
            laurelstile_core::leased::agent::worker::WorkerEndKind::Done,
        )
    });
    rig.answer_watch(at(160), leased_support::lists(&[], &done));
    assert_eq!(rig.take_starts(), [run(3, 0)]);
}

/// A gateway with eight workers and two queues of one service, after workers have crashed while
/// running two suspects of queue `checks`.
fn gateway_with_crashed_workers() -> GatewayRig {
    let mut rig = gateway(8);
    let mut other = leased_support::queue();
    other.name = "others".into();
    let mut configuration = leased_support::configuration(2);
    configuration.queues.push(std::sync::Arc::new(other));
    rig.event(at(1), GatewayEvent::Configuration(configuration));
    for id in [1, 2] {
        rig.submit(at(10), id, job(id, 1, 100));
    }
    for millis in [50, 90] {
        let batches: Vec<_> = std::mem::take(&mut rig.starts).into();
        for batch in batches {
            crash_with_other_runs(&mut rig, at(millis), &batch);
        }
    }
    rig.starts.clear();
    rig
}

/// The workers on which consecutive jobs of a queue are placed.
fn workers_used(
    rig: &mut GatewayRig,
    now: Timestamp,
    queue: &str,
    ids: std::ops::Range<u64>,
) -> Vec<u64> {
    let mut workers = Vec::new();
    for id in ids {
        let mut request = job(id, 1, 100);
        let mut settings = leased_support::queue();
        settings.name = queue.into();
        request.queue = std::sync::Arc::new(settings);
        rig.submit(now, id, request);
        if let Some((session, _)) = rig.starts.pop_back() {
            workers.push(session.0);
        }
    }
    workers.sort_unstable();
    workers.dedup();
    workers
}

#[test]
fn a_queue_that_crashes_a_quarter_of_the_workers_is_restricted_to_a_quarter() {
    let mut rig = gateway_with_crashed_workers();
    let contained = workers_used(&mut rig, at(95), "checks", 100..140);
    let others = workers_used(&mut rig, at(95), "others", 200..240);
    assert!(contained.len() <= 2, "{contained:?}");
    assert!(others.iter().all(|worker| !contained.contains(worker)));
    assert!(others.len() >= 2, "{others:?}");
}

#[test]
fn a_contained_queue_without_usable_workers_is_refused_until_containment_ends() {
    let mut rig = gateway_with_crashed_workers();
    for session in 1..=8 {
        let session = SessionId(session);
        rig.event(at(94), GatewayEvent::AgentClosed { session });
    }
    let used = workers_used(&mut rig, at(95), "checks", 100..101);
    assert!(used.is_empty());
    let Some(Answer::Refused {
        reason: Refusal::Contained,
        retry_after,
    }) = rig.last_answer()
    else {
        panic!("not refused: {:?}", rig.answers);
    };
    assert!(retry_after.0 >= 1_000_000);
    rig.pass_time(100, 4_200);
    let later = at(4_200);
    rig.join(later, 9, "agent-9", cpu(8_000));
    let used = workers_used(&mut rig, later, "checks", 101..102);
    assert_eq!(
        used,
        [9],
        "containment ends when no more suspects are reported"
    );
}

#[test]
fn a_crash_expires_after_a_minute() {
    let mut log = CrashLog::default();
    log.record(at(0), &crash("life-1", LATE, 9, &[0, 1]));
    log.record(at(30_000), &crash("life-2", LATE, 9, &[0]));
    assert_eq!(log.suspicion(task(1, 0)), Suspicion::Suspect);
    log.record(at(61_000), &crash("life-3", LATE, 9, &[2]));
    assert_eq!(log.suspicion(task(1, 0)), Suspicion::OneCrash);
    assert_eq!(log.suspicion(task(1, 1)), Suspicion::Clear);
    log.record(at(200_000), &crash("life-4", LATE, 9, &[]));
    assert!(log.is_empty());
}

/// Guards against starting a task again before the crash that ended its latest run is counted.
#[rstest]
#[case::reported_before_the_loss(AgentRig::refuse_watch)]
#[case::reported_after_the_loss(AgentRig::time_out_watch)]
fn a_task_is_not_started_three_times_after_three_workers_crashed_under_it(
    #[case] fail_watch: FailWatch,
) {
    let mut scene = CrashingWorkers::new(8, fail_watch);
    scene.gateway.submit(at(10), 1, patient_job(100, 10));
    scene.run_until(|scene| scene.gateway.last_answer().is_some());
    let crashes_before = |millis: u64| {
        let crashed = |start: &&SeenStart| start.millis + CRASH_AFTER < millis;
        scene.starts.iter().filter(crashed).count()
    };
    let after_three = |start: &&SeenStart| crashes_before(start.millis) >= 3;
    let starts_after_three = scene.starts.iter().filter(after_three).count();
    assert!(starts_after_three < 3, "{}", scene.events());
    assert_eq!(scene.gateway.last_answer(), Some(Answer::Failed));
}

/// What becomes of the agent of a crashed worker once it has reported the run as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgentEnd {
    None,
    Stopped,
    Killed,
}

/// Guards against losing a crash with an agent that ends after it has reported the run lost.
#[rstest]
#[case::agent_stays(AgentEnd::None, AgentRig::time_out_watch)]
#[case::killed_after_reporting_the_crash(AgentEnd::Killed, AgentRig::refuse_watch)]
#[case::stopped(AgentEnd::Stopped, AgentRig::time_out_watch)]
#[case::killed(AgentEnd::Killed, AgentRig::time_out_watch)]
fn a_crash_counts_whatever_becomes_of_its_agent_after_the_loss(
    #[case] agent_end: AgentEnd,
    #[case] fail_watch: FailWatch,
) {
    // Both workers have crashed before the third start, which waits until the first one is back.
    let mut scene = CrashingWorkers::new(2, fail_watch);
    scene.gateway.submit(at(10), 1, patient_job(100, 10));
    scene.run_until(|scene| !scene.starts.is_empty());
    let first = scene.starts[0];
    // The second crash is counted before the task is started for the third time.
    scene.fail_watch = AgentRig::refuse_watch;
    scene.run_until(|scene| scene.millis >= first.millis + 500);
    if agent_end == AgentEnd::Stopped {
        scene.stop_agent(first.worker);
    }
    scene.run_until(|scene| !scene.losses.is_empty() || scene.has_stopped(first.worker));
    let lost_at = scene.millis;
    scene.run_until(|scene| scene.millis >= lost_at + 100);
    if agent_end != AgentEnd::None {
        let is_planned = agent_end == AgentEnd::Stopped;
        assert_eq!(scene.has_stopped(first.worker), is_planned);
        scene.replace_agent(first.worker);
    }
    scene.run_until(|scene| scene.starts.len() == 3);
    assert!(scene.is_back(first.worker));
    assert!(
        scene.starts[2].is_exclusive,
        "two workers have crashed under the task: {}",
        scene.events()
    );
}
