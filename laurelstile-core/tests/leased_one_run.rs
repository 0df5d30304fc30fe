//! Tests that no two runs of a task overlap.
//!
//! They guard against runs that are reported as ended without proof, for example when their
//! worker deregisters while it is still running or a stop is not confirmed, and against runs
//! that continue after their gateway considers them lost or their caller has resubmitted.

mod leased_support;

use laurelstile_core::leased::agent::worker::{CommandError, RunLists, WorkerEndKind};
use laurelstile_core::leased::agent::{AgentDecision, AgentEvent, IncarnationEnd};
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{
    EndKind, FromAgentBody, Snapshot, TaskEnd, ToAgentBody, ToPeer,
};
use laurelstile_core::leased::task::{JobId, RunId, RunNumber, TaskId};
use laurelstile_core::leased::timing::{
    AGENT_EXPIRY, MAX_LEASE_DURATION, MAX_STOP_TIME, OWNER_TIMEOUT,
};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use leased_support::{
    AgentRig, FIRST_START, GATEWAY, GatewayRig, at, cpu, heartbeat_of, in_first_incarnation, job,
    lists, task, worker_clock,
};
use rstest::rstest;

/// An agent whose worker has two cores and a run on each, started at 10 ms.
fn agent_with_two_runs() -> (AgentRig, Vec<RunId>) {
    let mut rig = AgentRig::with_worker(cpu(2_000));
    let batch = rig.batch(1, 2, 4);
    rig.message(at(10), batch);
    let runs = rig.take_starts();
    for run in &runs {
        rig.answer_start(at(11), *run, None);
    }
    rig.answer_watch(at(12), lists(&[(runs[0], 1), (runs[1], 1)], &[]));
    (rig, runs)
}

#[test]
fn a_deregistration_is_answered_once_all_runs_are_proved_ended() {
    let (mut rig, runs) = agent_with_two_runs();
    rig.deregister(at(50));
    assert_eq!(rig.take_stops(), runs);
    assert!(rig.ends().is_empty(), "the worker process is still running");
    for run in &runs {
        rig.answer_stop(at(51), *run, true);
    }
    rig.answer_watch(at(52), lists(&[(runs[0], 40), (runs[1], 40)], &[]));
    assert!(rig.ends().is_empty() && rig.deregistrations.is_empty());
    let ended = [
        (1, runs[0], WorkerEndKind::Done),
        (2, runs[1], WorkerEndKind::Stopped),
    ];
    rig.answer_watch(at(90), lists(&[], &ended));
    let expected_ends = [
        (runs[0].task, EndKind::Done),
        (runs[1].task, EndKind::Stopped),
    ];
    assert_eq!(rig.ends(), expected_ends);
    assert_eq!(rig.deregistrations, ["life-1"]);
}

/// The worker waits up to a second for the answer; its leases expire 0.8 s after the last
/// renewal.
#[test]
fn a_deregistration_of_an_unresponsive_worker_is_answered_when_its_leases_expire() {
    let (mut rig, runs) = agent_with_two_runs();
    rig.deregister(at(50));
    for millis in (60..820).step_by(20) {
        rig.refuse_watch(at(millis));
        for stop in rig.take_stops() {
            rig.answer_stop(at(millis), stop, false);
        }
        assert!(rig.leases().is_empty(), "renewed at {millis} ms");
        assert!(rig.ends().is_empty(), "at {millis} ms");
    }
    assert!(rig.deregistrations.is_empty());
    rig.tick(at(850));
    assert_eq!(rig.deregistrations, ["life-1"]);
    assert_eq!(rig.ends().len(), runs.len());
}

#[test]
fn a_deregistration_without_runs_is_answered_at_once() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.deregister(at(50));
    assert_eq!(rig.deregistrations, ["life-1"]);
}

/// Heartbeats may be reordered with the deregistration or delayed by a network partition.
#[test]
fn a_late_heartbeat_does_not_revive_a_deregistered_incarnation() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.deregister(at(50));
    rig.register(at(60), "life-1", cpu(1_000), false);
    rig.answer_watch(at(61), RunLists::default());
    assert!(!rig.is_available());
    rig.register(at(70), "life-2", cpu(1_000), false);
    assert_eq!(
        rig.take_watches().len(),
        1,
        "the agent watches the next incarnation"
    );
}

/// The incarnation registered and deregistered while the agent still considered another one
/// current.
#[test]
fn a_deregistered_incarnation_does_not_become_the_current_one() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.register(at(50), "life-2", cpu(1_000), false);
    let id = "life-2".into();
    rig.event(at(60), AgentEvent::Deregistration { id });
    assert_eq!(rig.deregistrations, ["life-2"]);
    rig.end_incarnation(at(70));
    assert!(
        rig.take_watches().is_empty(),
        "there is no incarnation to watch"
    );
}

/// A process that shuts down may close its listener before its runs end, whether or not its agent
/// was notified that it drains.
#[rstest]
#[case::not_known_to_drain(false)]
#[case::drains(true)]
fn a_refused_watch_does_not_prove_the_end_of_an_incarnation(
    #[case] is_draining: bool,
    #[values(false, true)] has_timed_out_since: bool,
) {
    let (mut rig, runs) = agent_with_two_runs();
    rig.register(at(40), "life-1", cpu(2_000), is_draining);
    rig.refuse_watch(at(50));
    if has_timed_out_since {
        rig.time_out_watch(at(51));
    } else {
        rig.refuse_watch(at(51));
    }
    assert!(!rig.is_available());
    let latest_expiry = 50 + MAX_LEASE_DURATION.as_millis() + MAX_STOP_TIME.as_millis() + 1;
    for millis in (60..latest_expiry).step_by(20).chain([latest_expiry - 1]) {
        rig.refuse_watch(at(millis));
        assert!(rig.ends().is_empty(), "at {millis} ms");
        assert!(rig.leases().is_empty(), "renewed at {millis} ms");
    }
    rig.tick(at(latest_expiry));
    assert_eq!(rig.ends().len(), runs.len(), "the lease has expired");
}

/// The next process answers in place of the one that refused connections.
#[test]
fn an_incarnation_that_refused_connections_ends_when_the_next_one_answers() {
    let (mut rig, runs) = agent_with_two_runs();
    rig.refuse_watch(at(50));
    rig.refuse_watch(at(51));
    rig.register(at(200), "life-2", cpu(2_000), false);
    assert!(rig.ends().is_empty());
    rig.end_incarnation(at(201));
    assert_eq!(rig.ends().len(), runs.len());
}

/// Guards against a second run beside one of a process that shuts down: it may have stopped listening
/// while its runs continue, and the next process may listen at its address already.
#[rstest]
fn the_runs_of_a_draining_process_outlast_the_first_answer_of_the_next_one(
    #[values(false, true)] is_stopped: bool,
) {
    let (mut rig, runs) = agent_with_two_runs();
    rig.register(at(40), "life-1", cpu(2_000), true);
    rig.register(at(45), "life-2", cpu(2_000), false);
    if is_stopped {
        rig.message(at(46), ToAgentBody::Stop(vec![runs[0].task]));
    }
    for millis in [50, 51] {
        for run in rig.take_stops() {
            let incarnation = "life-1".into();
            let answer = Err(CommandError::IncarnationEnded);
            let answered = AgentEvent::StopAnswered {
                run,
                incarnation,
                answer,
            };
            rig.event(at(millis), answered);
        }
        rig.end_incarnation(at(millis));
    }
    let held_back = if is_stopped { 46 } else { 50 };
    let expiry = held_back + MAX_LEASE_DURATION.as_millis() + MAX_STOP_TIME.as_millis() + 1;
    for millis in (60..expiry).step_by(20).chain([expiry - 1]) {
        rig.end_incarnation(at(millis));
        assert!(rig.ends().is_empty(), "at {millis} ms");
        assert!(rig.leases().is_empty(), "renewed at {millis} ms");
    }
    rig.tick(at(expiry));
    assert_eq!(rig.ends().len(), runs.len(), "the lease has expired");
    rig.incarnation = "life-2".into();
    rig.answer_watch(at(expiry + 1), RunLists::default());
    assert!(rig.is_available(), "the next process is used");
}

/// As above, for a start that was sent before the process began to drain: the next process has not
/// carried it out, but this proves nothing about other runs.
#[test]
fn a_start_that_reached_the_next_process_does_not_end_the_runs_of_a_draining_one() {
    let mut rig = AgentRig::with_worker(cpu(2_000));
    let first = rig.batch(1, 1, 4);
    rig.message(at(10), first);
    for run in rig.take_starts() {
        rig.answer_start(at(11), run, None);
    }
    let second = rig.batch(2, 1, 4);
    rig.message(at(20), second);
    let run = rig.take_starts()[0];
    rig.register(at(21), "life-1", cpu(2_000), true);
    let incarnation = "life-1".into();
    let answer = Err(CommandError::IncarnationEnded);
    let answered = AgentEvent::StartAnswered {
        run,
        incarnation,
        answer,
    };
    rig.event(at(22), answered);
    assert_eq!(rig.ends(), [(task(2, 0), EndKind::Lost)]);
}

/// The start of a run was not answered. The worker may start again under its id, so the expiry of its
/// lease does not end the run, but the next process proves that it did not.
#[test]
fn an_unanswered_start_at_a_draining_process_ends_after_its_lease() {
    let mut rig = in_first_incarnation();
    let batch = rig.batch(1, 1, 4);
    rig.message(at(10), batch);
    let start = rig.take_starts()[0];
    rig.heartbeat(at(20), heartbeat_of(FIRST_START, 9_020, 4_000, true));
    rig.time_out_start(at(35), start);
    for millis in (40..800).step_by(10) {
        rig.end_incarnation(at(millis));
        assert!(rig.ends().is_empty(), "at {millis} ms");
    }
    rig.end_incarnation(at(900));
    assert_eq!(rig.ends().len(), 1);
}

/// A process without runs is replaced by the next one at once.
#[test]
fn a_draining_process_without_runs_ends_with_the_first_answer_of_the_next_one() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.register(at(40), "life-1", cpu(1_000), true);
    rig.register(at(45), "life-2", cpu(1_000), false);
    rig.end_incarnation(at(50));
    rig.incarnation = "life-2".into();
    rig.answer_watch(at(51), RunLists::default());
    assert!(rig.is_available());
}

/// Without runs there is no lease to wait for.
#[test]
fn a_worker_without_runs_that_refuses_connections_has_crashed() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let starting = rig.batch(1, 1, 4);
    rig.message(at(2_000), starting);
    let refused = rig.take_starts()[0];
    let answer = Err(CommandError::ConnectionRefused);
    rig.event(
        at(2_001),
        AgentEvent::StartAnswered {
            run: refused,
            incarnation: "life-1".into(),
            answer,
        },
    );
    assert_eq!(rig.ends().len(), 1, "nothing was sent");
    rig.crash(at(2_002));
    let has_crashed = |decision: &AgentDecision| {
        let AgentDecision::IncarnationEnded { end, .. } = decision else {
            return false;
        };
        *end == IncarnationEnd::Crashed
    };
    assert!(rig.decisions.iter().any(has_crashed));
    rig.register(at(3_500), "life-2", cpu(1_000), false);
    assert_eq!(rig.take_watches().len(), 1, "the next process is used");
}

/// Commands use separate connections; a refused one proves nothing while the watch is
/// answered.
#[test]
fn a_refused_stop_ends_no_run() {
    let (mut rig, runs) = agent_with_two_runs();
    rig.event(
        at(20),
        AgentEvent::StopAnswered {
            run: runs[0],
            incarnation: "life-1".into(),
            answer: Err(CommandError::ConnectionRefused),
        },
    );
    assert!(rig.ends().is_empty());
    assert!(
        !rig.take_watches().is_empty(),
        "the agent watches the worker"
    );
}

/// A gateway with a long input backlog sees neither new sessions nor messages on them, so it
/// considers the agent silent and places the runs again.
#[test]
fn sessions_without_messages_do_not_keep_runs_alive() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(100), batch);
    let id = rig.take_starts()[0];
    rig.answer_start(at(101), id, None);
    let silent = 100 + OWNER_TIMEOUT.as_millis();
    for (millis, session) in (300..silent).step_by(50).zip(71..) {
        rig.open(at(millis), SessionId(session), GATEWAY);
        assert!(rig.take_stops().is_empty(), "at {millis} ms");
    }
    rig.tick(at(silent + 1));
    assert_eq!(rig.take_stops(), vec![id]);
}

/// A worker has one lease for all its runs. While a stop for a silent gateway is unproved,
/// another gateway's run must not renew the lease past the time at which the silent gateway
/// considers its own runs expired.
#[test]
fn a_worker_that_ignores_stops_is_not_renewed_beyond_the_expiry() {
    let (other, session) = (Incarnation(8), SessionId(80));
    let mut rig = AgentRig::with_worker(cpu(2_000));
    rig.open(at(50), session, other);
    let batch = rig.batch(1, 1, 4);
    rig.message(at(100), batch);
    let orphaned = rig.take_starts()[0];
    rig.answer_start(at(101), orphaned, None);
    let batch = rig.batch(2, 1, 4);
    rig.message_from(at(100), session, batch);
    let owned = rig.take_starts()[0];
    rig.answer_start(at(102), owned, None);
    let expiry = worker_clock(at(100 + AGENT_EXPIRY.as_millis()));
    for millis in (110..2_000).step_by(10) {
        rig.message_from(at(millis), session, ToAgentBody::Heartbeat);
        for stop in rig.take_stops() {
            rig.answer_stop(at(millis), stop, false);
        }
        let latest = rig.leases().into_iter().max();
        assert!(latest <= Some(expiry), "at {millis} ms: {latest:?}");
        if millis < 1_000 {
            let percent = 60 + u32::try_from(millis / 50).expect("a percentage");
            rig.answer_watch(
                at(millis),
                lists(&[(orphaned, percent), (owned, percent)], &[]),
            );
        } else {
            rig.time_out_watch(at(millis));
        }
    }
    assert_eq!(rig.machine.run_count(), 0, "both runs have expired");
}

/// A gateway with a job of two tasks at an agent, and those tasks as held by the agent.
fn gateway_with_a_placed_job() -> (GatewayRig, Vec<(TaskId, RunNumber)>) {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(2_000));
    rig.submit(at(10), 1, job(1, 2, 2_000));
    let (_, batch) = rig.next_start();
    let tasks = batch.tasks.iter();
    let held = tasks.map(|(index, run)| (task(1, *index), *run));
    (rig, held.collect())
}

/// Guards against long runs that nobody stops: a disconnected caller resubmits its job after
/// 1.3 s, at any gateway.
#[rstest]
#[case::no_session_open(true)]
#[case::the_stop_was_lost_with_its_session(false)]
fn abandoned_tasks_are_stopped_on_the_next_session(#[case] is_session_closed_before: bool) {
    let (mut rig, held) = gateway_with_a_placed_job();
    let call = CallNumber(1);
    if is_session_closed_before {
        rig.lose_session(at(50), 7);
        rig.event(at(60), GatewayEvent::CallerDisconnected { call });
        assert!(rig.stops.is_empty());
    } else {
        rig.event(at(50), GatewayEvent::CallerDisconnected { call });
        rig.stops.clear();
        rig.lose_session(at(51), 7);
    }
    rig.rejoin(at(100), 7, 71, cpu(2_000), held);
    assert_eq!(rig.stops, [task(1, 0), task(1, 1)]);
}

/// A broken session alone must not stop runs.
#[test]
fn wanted_tasks_continue_on_the_next_session() {
    let (mut rig, held) = gateway_with_a_placed_job();
    rig.lose_session(at(50), 7);
    rig.rejoin(at(100), 7, 71, cpu(2_000), held);
    assert!(rig.stops.is_empty() && rig.starts.is_empty());
}

/// Guards against a second run of a task beside one that the snapshot of an earlier session lacks: the
/// agent had left that session before its delayed handshake reached the gateway.
#[rstest]
fn a_late_session_of_the_same_agent_process_ends_no_runs(
    #[values(false, true)] is_later_one_closed: bool,
) {
    let mut rig = GatewayRig::new();
    let (agent, uptime) = (Incarnation(7), Span::from_millis(1_100));
    rig.open_agent(at(1), 70, "agent-7", agent, uptime);
    let snapshot = Snapshot {
        service: "parcels".into(),
        zone: "here".into(),
        capacity: cpu(1_000),
        labels: Vec::new(),
        held: Vec::new(),
        session: None,
        control: None,
        honors_claims: false,
    };
    let snapshot = FromAgentBody::Snapshot(snapshot);
    rig.report(at(2), 70, 0, cpu(1_000), snapshot.clone());
    rig.submit(at(10), 1, job(1, 1, 2_000));
    let batch = rig.next_start();
    rig.join(at(20), 8, "agent-8", cpu(1_000));
    if is_later_one_closed {
        rig.lose_session(at(50), 70);
    }
    let earlier = Span::from_millis(100);
    rig.open_agent(at(60), 71, "agent-7", agent, earlier);
    rig.report(at(61), 71, 0, cpu(1_000), snapshot);
    rig.tick(at(62));
    assert!(rig.starts.is_empty(), "started beside the first run");
    let now = Span::from_millis(1_200);
    rig.open_agent(at(100), 72, "agent-7", agent, now);
    let ends = vec![TaskEnd {
        number: 1,
        task: task(1, 0),
        run: batch.1.tasks[0].1,
        how: EndKind::Done,
        checkpoint: None,
    }];
    rig.report(at(101), 72, 0, cpu(1_000), FromAgentBody::Ends(ends));
    assert_eq!(rig.last_answer(), Some(Answer::Completed));
}

/// The agent keeps a gateway's runs alive only while its echoes are recent, and the last one
/// may have aged while there was no session.
#[test]
fn the_first_timestamp_on_a_session_is_echoed_at_once() {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(2_000));
    rig.lose_session(at(50), 7);
    rig.echoes.clear();
    rig.rejoin(at(100), 7, 71, cpu(2_000), Vec::new());
    assert_eq!(rig.echoes.last(), Some(&at(100)));
    rig.report(at(101), 71, 0, cpu(2_000), FromAgentBody::Heartbeat);
    assert_eq!(
        rig.echoes.last(),
        Some(&at(100)),
        "later timestamps need not be echoed at once"
    );
}

/// Guards against runs that are stopped because a repeated stop delays the first echo of a session.
#[test]
fn the_first_timestamp_of_a_session_is_echoed_at_once_also_after_a_repeated_stop() {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(2_000));
    rig.submit(at(10), 1, job(1, 1, 2_000));
    rig.submit(at(11), 2, job(2, 1, 2_000));
    rig.tick(at(120));
    rig.report(at(150), 7, 2, cpu(0), FromAgentBody::Heartbeat);
    rig.report(at(160), 7, 2, cpu(0), FromAgentBody::Heartbeat);
    rig.lose_session(at(161), 7);
    let call = CallNumber(1);
    rig.event(at(170), GatewayEvent::CallerDisconnected { call });
    let uptime = Span::default();
    rig.open_agent(at(400), 71, "agent-7", Incarnation(7), uptime);
    assert_eq!(rig.stops, [task(1, 0)]);
    rig.echoes.clear();
    rig.report(at(401), 71, 0, cpu(0), FromAgentBody::Heartbeat);
    assert_eq!(rig.echoes, [at(401)]);
}

/// A gateway with a one-core worker, one running job and one waiting job, that is suspended
/// until 1.5 s. The end of the first job is the first message it reads.
fn gateway_resumed_with_a_waiting_job() -> GatewayRig {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 2_000));
    let first = rig.next_start();
    rig.submit(at(20), 2, job(2, 1, 2_000));
    rig.end(at(1_500), &first, EndKind::Done, cpu(1_000));
    rig
}

/// The caller of the waiting job has resubmitted it elsewhere; the worker's message is read
/// before the end of the caller's connection.
#[test]
fn a_resumed_gateway_reads_disconnects_before_it_places_jobs() {
    let mut rig = gateway_resumed_with_a_waiting_job();
    assert!(rig.starts.is_empty());
    let call = CallNumber(2);
    rig.event(at(1_505), GatewayEvent::CallerDisconnected { call });
    rig.tick(at(1_700));
    assert!(rig.starts.is_empty());
}

#[test]
fn a_wanted_job_is_placed_soon_after_a_suspension() {
    let mut rig = gateway_resumed_with_a_waiting_job();
    assert!(rig.starts.is_empty());
    rig.report(at(1_599), 7, 1, cpu(1_000), FromAgentBody::Heartbeat);
    assert_eq!(
        rig.answers.len(),
        1,
        "the waiting job is not refused in the meantime"
    );
    rig.tick(at(1_600));
    assert_eq!(rig.starts.len(), 1);
}

/// The submission is queued during the suspension, and behind it the cancellation at another
/// gateway.
#[test]
fn a_job_cancelled_during_a_suspension_is_not_started() {
    let mut rig = GatewayRig::new();
    let session = SessionId(90);
    rig.open_peer(at(1), session);
    rig.join(at(1), 7, "agent-7", cpu(1_000));
    rig.submit(at(1_500), 1, job(1, 1, 200));
    let message = ToPeer::Cancelled(vec![JobId(1)]);
    rig.peer_message(at(1_501), session, message);
    rig.tick(at(1_700));
    assert!(rig.starts.is_empty());
    assert_eq!(rig.last_answer(), Some(Answer::Cancelled));
}
