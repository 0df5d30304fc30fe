//! Tests for crashes that are presumed until the worker's next process is heard of.
//!
//! They guard against both errors: a task that crashes its workers is started on less than is known, and
//! a task whose workers were unreachable or shutting down is isolated, held back or failed.

mod leased_support;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::RunLists;
use laurelstile_core::leased::crashes::{CrashEvidence, CrashedTask, WorkerCrash};
use laurelstile_core::leased::gateway::Answer;
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, Notice, StartBatch, ToPeer};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use leased_support::{AgentRig, GatewayRig, SESSION, at, cpu, job, patient_job, run, task};
use rstest::rstest;

const EARLY: bool = true;
const LATE: bool = false;

fn crash(incarnation: &str, is_early: bool, runs: u32) -> WorkerCrash {
    let task = task(1, 0);
    WorkerCrash {
        incarnation: incarnation.into(),
        runs,
        tasks: vec![CrashedTask { task, is_early }],
    }
}

/// Number of workers, on sessions numbered from 1.
const WORKERS: u64 = 6;

/// A gateway with idle workers.
fn gateway() -> GatewayRig {
    let mut rig = GatewayRig::new();
    for session in 1..=WORKERS {
        rig.join(at(0), session, &format!("agent-{session}"), cpu(8_000));
    }
    rig
}

/// Lets time pass in which all agents report that they are alive.
fn hear_agents(rig: &mut GatewayRig, from_millis: u64, to_millis: u64) {
    for millis in (from_millis..to_millis).step_by(50) {
        for session in 1..=WORKERS {
            rig.report(
                at(millis),
                session,
                99,
                cpu(8_000),
                FromAgentBody::Heartbeat,
            );
        }
    }
}

/// An agent reports that its worker, which has the batch's task, may have crashed, and the task as lost.
fn lose_silent(rig: &mut GatewayRig, millis: u64, batch: &(SessionId, StartBatch)) -> String {
    hear_agents(rig, millis - 880, millis);
    let incarnation = format!("life-{}-{millis}", batch.0.0);
    let presumed = CrashEvidence::Presumed(crash(&incarnation, LATE, 9));
    rig.crash_evidence(at(millis), batch.0, presumed, FromAgentBody::Heartbeat);
    rig.end(at(millis), batch, EndKind::Lost, cpu(8_000));
    incarnation
}

/// An agent reports that its worker refuses connections, and the batch's task as lost.
fn lose_refusing(
    rig: &mut GatewayRig,
    millis: u64,
    batch: &(SessionId, StartBatch),
    runs: u32,
) -> String {
    let incarnation = format!("life-{}-{millis}", batch.0.0);
    let crash = crash(&incarnation, EARLY, runs);
    let presumed = CrashEvidence::Presumed(crash.clone());
    let body = FromAgentBody::Crashes(vec![crash]);
    rig.crash_evidence(at(millis), batch.0, presumed, body);
    rig.end(at(millis), batch, EndKind::Lost, cpu(8_000));
    incarnation
}

fn tell(rig: &mut GatewayRig, millis: u64, evidence: CrashEvidence) {
    rig.crash_evidence(at(millis), SessionId(1), evidence, FromAgentBody::Heartbeat);
}

/// A gateway that has lost the only task of a job to two refusing workers, the second of which ran
/// nothing else.
fn gateway_with_two_refusing_workers() -> (GatewayRig, [String; 2]) {
    let mut rig = gateway();
    rig.submit(at(10), 1, patient_job(100, 30));
    let first = rig.next_start();
    let first = lose_refusing(&mut rig, 20, &first, 9);
    let second = rig.next_start();
    let second = lose_refusing(&mut rig, 40, &second, 1);
    (rig, [first, second])
}

/// A partition interrupts many tasks at once; one on a worker at a time would take long.
#[test]
fn a_task_that_was_lost_with_one_silent_worker_is_placed_with_others() {
    let mut rig = gateway();
    let mut request = job(1, 2, 100);
    request.time_left = Span::from_secs(30);
    rig.submit(at(10), 1, request);
    let batch = rig.next_start();
    assert_eq!(batch.1.tasks.len(), 2);
    lose_silent(&mut rig, 900, &batch);
    let again = rig.next_start();
    assert_eq!(again.1.tasks.len(), 2);
    assert!(!again.1.is_exclusive);
}

#[test]
fn a_task_that_was_lost_with_three_silent_workers_runs_exclusively() {
    let mut rig = gateway();
    rig.submit(at(10), 1, patient_job(100, 30));
    for (silent, millis) in (0..3).zip((900..).step_by(900)) {
        let batch = rig.next_start();
        assert!(!batch.1.is_exclusive, "after {silent} silent workers");
        lose_silent(&mut rig, millis, &batch);
    }
    assert!(rig.next_start().1.is_exclusive);
}

/// Silence is no proof, however often: the job is held until workers answer, and goes on if they do.
#[test]
fn a_task_that_was_lost_with_five_silent_workers_is_held_and_not_failed() {
    let mut rig = gateway();
    rig.submit(at(10), 1, patient_job(100, 60));
    let mut lives = Vec::new();
    for millis in (900..).step_by(900).take(5) {
        let batch = rig.next_start();
        lives.push(lose_silent(&mut rig, millis, &batch));
    }
    hear_agents(&mut rig, 4_500, 20_000);
    assert!(rig.starts.is_empty(), "started a sixth time");
    assert!(rig.answers.is_empty(), "{:?}", rig.answers);
    rig.join(at(20_000), 9, "agent-9", cpu(8_000));
    let withdrawn = CrashEvidence::Withdrawn(lives[0].clone());
    rig.crash_evidence(
        at(20_010),
        SessionId(9),
        withdrawn,
        FromAgentBody::Heartbeat,
    );
    assert_eq!(rig.starts.len(), 1);
}

#[test]
fn confirmed_crashes_fail_the_job_that_they_held() {
    let (mut rig, lives) = gateway_with_two_refusing_workers();
    let peer = SessionId(50);
    rig.open_peer(at(50), peer);
    rig.to_peers.clear();
    assert!(rig.answers.is_empty(), "failed without proof");
    assert!(rig.starts.is_empty(), "started on two possible crashes");
    tell(&mut rig, 100, CrashEvidence::Confirmed(lives[1].clone()));
    assert!(rig.answers.is_empty() && rig.starts.is_empty());
    tell(&mut rig, 110, CrashEvidence::Confirmed(lives[0].clone()));
    assert_eq!(rig.last_answer(), Some(Answer::Failed));
    let is_crash = |message: &ToPeer| matches!(message, ToPeer::Crashes(_));
    let sent = rig.to_peers.iter().filter(|(_, message)| is_crash(message));
    assert_eq!(sent.count(), 2, "peers are told of confirmed crashes");
}

#[test]
fn a_job_goes_on_when_the_crashes_that_held_it_are_withdrawn() {
    let (mut rig, lives) = gateway_with_two_refusing_workers();
    for life in lives {
        tell(&mut rig, 100, CrashEvidence::Withdrawn(life));
    }
    assert!(rig.answers.is_empty());
    let batch = rig.next_start();
    rig.end(at(200), &batch, EndKind::Done, cpu(8_000));
    assert_eq!(rig.last_answer(), Some(Answer::Completed));
}

/// Workers that are lost for good never come back; what they ran is not held for long.
#[test]
fn refusing_workers_that_do_not_come_back_count_as_crashed_after_some_seconds() {
    let (mut rig, _) = gateway_with_two_refusing_workers();
    rig.pass_time(100, 4_000);
    assert!(rig.answers.is_empty());
    rig.pass_time(4_000, 5_000);
    assert_eq!(rig.last_answer(), Some(Answer::Failed));
}

/// An agent of an older version reports crashes without evidence.
#[test]
fn a_crash_without_evidence_is_confirmed() {
    let mut rig = gateway();
    rig.submit(at(10), 1, patient_job(100, 30));
    for (millis, runs) in [(20, 9), (40, 1)] {
        let batch = rig.next_start();
        let crash = crash(&format!("life-{millis}"), EARLY, runs);
        let body = FromAgentBody::Crashes(vec![crash]);
        rig.report(at(millis), batch.0.0, 0, cpu(0), body);
        rig.end(at(millis), &batch, EndKind::Lost, cpu(0));
    }
    assert_eq!(rig.last_answer(), Some(Answer::Failed));
}

/// An agent whose worker runs a task since 10 ms.
fn agent_with_a_run() -> AgentRig {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 1, 50);
    rig.message(at(10), batch);
    let started = rig.take_starts();
    rig.answer_start(at(11), started[0], None);
    rig
}

/// An agent whose worker was silent until its lease had expired.
fn agent_of_silent_worker() -> AgentRig {
    let mut rig = agent_with_a_run();
    for millis in [100, 150, 200] {
        rig.time_out_watch(at(millis));
    }
    rig.tick(at(1_200));
    rig
}

/// An agent whose worker broke its watch and refused the next connection.
fn agent_of_refusing_worker() -> AgentRig {
    let mut rig = agent_with_a_run();
    rig.time_out_watch(at(69));
    rig.refuse_watch(at(70));
    rig
}

/// What an agent has told a gateway, in order, and the incarnation that it is about.
fn told(rig: &AgentRig, session: SessionId) -> Vec<&'static str> {
    let sent = rig.sent.iter().filter(|(to, _)| *to == session);
    let notices = sent.flat_map(|(_, message)| &message.notices);
    let evidence = notices.filter_map(|notice| match notice {
        Notice::Crash(evidence) => Some(evidence),
        Notice::Cancelled(_) => None,
    });
    let told = evidence.map(|evidence| match evidence {
        CrashEvidence::Presumed(crash) if crash.incarnation == "life-1" => "presumed",
        CrashEvidence::Confirmed(life) if life == "life-1" => "confirmed",
        CrashEvidence::Withdrawn(life) if life == "life-1" => "withdrawn",
        _ => "another incarnation",
    });
    told.collect()
}

/// Guards against a second start on less than the agent knows: the loss came before what it may mean.
#[test]
fn a_presumed_crash_precedes_the_loss_of_its_runs() {
    let rig = agent_of_silent_worker();
    let sent = rig.sent.iter().filter(|(to, _)| *to == SESSION);
    let sent: Vec<_> = sent.map(|(_, message)| message).collect();
    let presumed = sent.iter().position(|message| !message.notices.is_empty());
    let is_end = |body: &FromAgentBody| matches!(body, FromAgentBody::Ends(_));
    let lost = sent.iter().position(|message| is_end(&message.body));
    assert!(
        presumed.is_some() && presumed < lost,
        "{presumed:?}, {lost:?}"
    );
}

#[rstest]
#[case::answers_again(|rig: &mut AgentRig| rig.answer_watch(at(1_300), RunLists::default()), "withdrawn")]
#[case::other_process_answers(|rig: &mut AgentRig| rig.end_incarnation(at(1_300)), "confirmed")]
#[case::says_that_it_drains(|rig: &mut AgentRig| {
    rig.register(at(1_300), "life-1", cpu(4_000), true);
    rig.end_incarnation(at(1_310));
}, "withdrawn")]
fn a_presumed_crash_is_resolved(
    #[values(agent_of_silent_worker, agent_of_refusing_worker)] agent: fn() -> AgentRig,
    #[case] go_on: fn(&mut AgentRig),
    #[case] resolution: &str,
) {
    let mut rig = agent();
    assert_eq!(told(&rig, SESSION), ["presumed"]);
    go_on(&mut rig);
    assert_eq!(told(&rig, SESSION), ["presumed", resolution]);
    rig.open(at(2_000), SessionId(80), Incarnation(8));
    assert_eq!(
        told(&rig, SessionId(80)),
        ["presumed", resolution],
        "a later session"
    );
}

/// A worker that shuts down may close its listener first and deregister at its end.
#[test]
fn a_deregistration_withdraws_the_crash_of_a_worker_that_refused_connections() {
    let mut rig = agent_of_refusing_worker();
    rig.crash(at(100));
    let crashes = |rig: &AgentRig, session: SessionId| {
        let sent = rig.sent.iter().filter(|(to, _)| *to == session);
        let is_crash = |body: &FromAgentBody| matches!(body, FromAgentBody::Crashes(_));
        sent.filter(|(_, message)| is_crash(&message.body)).count()
    };
    assert_eq!(crashes(&rig, SESSION), 1);
    let id = "life-1".into();
    rig.event(at(1_500), AgentEvent::Deregistration { id });
    assert_eq!(told(&rig, SESSION), ["presumed", "withdrawn"]);
    rig.open(at(2_000), SessionId(80), Incarnation(8));
    assert_eq!(
        crashes(&rig, SessionId(80)),
        0,
        "a gateway that connects later"
    );
}

/// A worker that was silent before its agent knew of any run there has crashed under none.
#[test]
fn a_silent_worker_without_runs_is_not_presumed_to_have_crashed() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    for millis in [100, 150, 200] {
        rig.time_out_watch(at(millis));
    }
    rig.tick(at(1_200));
    assert!(told(&rig, SESSION).is_empty());
}

/// Guards against a false suspicion: the run had ended before the worker fell silent.
#[test]
fn a_run_that_has_ended_is_not_part_of_a_presumed_crash() {
    let mut rig = agent_with_a_run();
    let done = laurelstile_core::leased::agent::worker::WorkerEndKind::Done;
    rig.answer_watch(at(50), leased_support::lists(&[], &[(1, run(1, 0), done)]));
    for millis in [100, 150, 200] {
        rig.time_out_watch(at(millis));
    }
    rig.tick(at(1_200));
    assert!(told(&rig, SESSION).is_empty());
}

#[test]
fn a_crash_is_counted_for_its_own_task_only() {
    let mut rig = gateway();
    let mut request = job(2, 1, 100);
    request.time_left = Span::from_secs(30);
    rig.submit(at(10), 1, request);
    let batch = rig.next_start();
    hear_agents(&mut rig, 20, 900);
    let presumed = CrashEvidence::Presumed(crash("life-1", EARLY, 9));
    rig.crash_evidence(at(900), batch.0, presumed, FromAgentBody::Heartbeat);
    rig.end(at(900), &batch, EndKind::Lost, cpu(8_000));
    assert!(!rig.next_start().1.is_exclusive);
}
