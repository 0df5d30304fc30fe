//! No task runs beside itself: an end is told only with its proof.
//!
//! Seen: tasks at work on two workers at once, several at a time, in a run of real processes
//! with workers that are emptied and taken away and tasks that take up to seconds.
//! How it came about: a worker that left deregistered and ran on until its process ended; its
//! agent told gateways in the same instant that its runs were lost, and they started them
//! elsewhere 1 ms later.
//! Cause: an end that is believed without a proof. The same cause stood in two more places: a
//! session that opened counted as its gateway's word, and a stop as done after 100 ms.
//! Proof: the soak of leaving workers (`no_task_runs_beside_itself_where_workers_leave`) broke
//! the rule in each of its first seeds, and not without deregistrations; the tests here fail one by
//! one without the repairs.

mod leased_support;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{CommandError, RunLists, WorkerEndKind};
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{EndKind, FromAgentBody, ToAgentBody, ToPeer};
use laurelstile_core::leased::task::{JobId, RunId, RunNumber, TaskId};
use laurelstile_core::leased::timing::{AGENT_EXPIRY, OWNER_TIMEOUT};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use leased_support::{AgentRig, GATEWAY, GatewayRig, at, cpu, job, lists, task, worker_clock};
use rstest::rstest;

/// An agent with two cores and a run on each, started at 10 ms.
fn with_two_runs() -> (AgentRig, Vec<RunId>) {
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
fn a_deregistration_is_answered_when_what_runs_is_proved_to_have_ended() {
    let (mut rig, runs) = with_two_runs();
    rig.deregister(at(50));
    assert_eq!(rig.take_stops(), runs);
    assert!(rig.ends().is_empty(), "its process is still up");
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
    let told = [
        (runs[0].task, EndKind::Done),
        (runs[1].task, EndKind::Stopped),
    ];
    assert_eq!(rig.ends(), told);
    assert_eq!(rig.deregistrations, ["life-1"]);
}

/// The worker waits for its answer for a second; leases are over 0.8 s after the last renewal.
#[test]
fn a_deregistration_of_a_worker_that_answers_no_more_ends_with_its_leases() {
    let (mut rig, runs) = with_two_runs();
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
fn a_deregistration_where_nothing_runs_is_answered_at_once() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.deregister(at(50));
    assert_eq!(rig.deregistrations, ["life-1"]);
}

/// A heartbeat that overtakes the deregistration, or is held back by a cut.
#[test]
fn a_life_that_has_deregistered_is_given_nothing_by_a_late_heartbeat() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.deregister(at(50));
    rig.register(at(60), "life-1", cpu(1_000), false);
    rig.answer_watch(at(61), RunLists::default());
    assert!(!rig.is_available());
    rig.register(at(70), "life-2", cpu(1_000), false);
    assert_eq!(rig.take_watches().len(), 1, "the next life is taken on");
}

/// It came and left while the agent still held another life for the present one.
#[test]
fn a_life_that_has_deregistered_does_not_follow_another() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    rig.register(at(50), "life-2", cpu(1_000), false);
    let id = "life-2".into();
    rig.event(at(60), AgentEvent::Deregistration { id });
    assert_eq!(rig.deregistrations, ["life-2"]);
    rig.end_incarnation(at(70));
    assert!(rig.take_watches().is_empty(), "there is no life to ask");
}

/// A process that has died listens no more. One that leaves may close its door first.
#[rstest]
#[case::died(false, 2)]
#[case::leaves(true, 0)]
fn a_refused_watch_proves_the_end_of_a_life_that_does_not_leave(
    #[case] is_draining: bool,
    #[case] ends: usize,
) {
    let (mut rig, runs) = with_two_runs();
    rig.register(at(40), "life-1", cpu(2_000), is_draining);
    rig.refuse_watch(at(50));
    assert_eq!(rig.ends().len(), ends);
    rig.time_out_watch(at(51));
    rig.tick(at(900));
    assert_eq!(rig.ends().len(), runs.len(), "its leases are over");
}

/// Orders go over connections of their own: a door that is closed to new ones proves nothing
/// while the watch is answered.
#[test]
fn a_refused_order_ends_only_what_it_was_to_start() {
    let (mut rig, runs) = with_two_runs();
    rig.event(
        at(20),
        AgentEvent::StopAnswered {
            run: runs[0],
            incarnation: "life-1".into(),
            answer: Err(CommandError::ConnectionRefused),
        },
    );
    assert!(rig.ends().is_empty());
    assert!(!rig.take_watches().is_empty(), "the worker is asked");
}

/// A gateway that lags behind its queue sees neither that the sessions open nor what comes over
/// them, so it holds the agent for silent and places the runs anew.
#[test]
fn sessions_that_open_without_a_word_do_not_keep_runs_alive() {
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

/// A lease is the worker's: it is one for all that runs there. While a stop for a silent gateway
/// is not proved, no other gateway's run may renew it beyond the time at which the silent one
/// holds its own runs for over.
#[test]
fn a_worker_that_answers_no_stop_is_not_kept_alive_beyond_the_lapse() {
    let (other, session) = (Incarnation(8), SessionId(80));
    let mut rig = AgentRig::with_worker(cpu(2_000));
    rig.open(at(50), session, other);
    let batch = rig.batch(1, 1, 4);
    rig.message(at(100), batch);
    let left = rig.take_starts()[0];
    rig.answer_start(at(101), left, None);
    let batch = rig.batch(2, 1, 4);
    rig.message_from(at(100), session, batch);
    let kept = rig.take_starts()[0];
    rig.answer_start(at(102), kept, None);
    let lapse = worker_clock(at(100 + AGENT_EXPIRY.as_millis()));
    for millis in (110..2_000).step_by(10) {
        rig.message_from(at(millis), session, ToAgentBody::Heartbeat);
        for stop in rig.take_stops() {
            rig.answer_stop(at(millis), stop, false);
        }
        let latest = rig.leases().into_iter().max();
        assert!(latest <= Some(lapse), "at {millis} ms: {latest:?}");
        if millis < 1_000 {
            let percent = 60 + u32::try_from(millis / 50).expect("a percentage");
            rig.answer_watch(at(millis), lists(&[(left, percent), (kept, percent)], &[]));
        } else {
            rig.time_out_watch(at(millis));
        }
    }
    assert_eq!(rig.machine.run_count(), 0, "both have lapsed");
}

/// A gateway with a job of two tasks at an agent, and these as the agent holds them.
fn with_a_placed_job() -> (GatewayRig, Vec<(TaskId, RunNumber)>) {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(2_000));
    rig.submit(at(10), 1, job(1, 2, 2_000));
    let (_, batch) = rig.next_start();
    let tasks = batch.tasks.iter();
    let held = tasks.map(|(index, run)| (task(1, *index), *run));
    (rig, held.collect())
}

/// A caller that has left hands its job in again 1.3 s later, at any gateway; a run of seconds
/// that nobody stops is at work beside the next one then.
#[rstest]
#[case::no_session_open(true)]
#[case::the_stop_was_lost_with_its_session(false)]
fn what_a_caller_left_is_stopped_over_the_next_session(#[case] is_closed_before: bool) {
    let (mut rig, held) = with_a_placed_job();
    let call = CallNumber(1);
    if is_closed_before {
        rig.lose_session(at(50), 7);
        rig.event(at(60), GatewayEvent::CallerGone { call });
        assert!(rig.stops.is_empty());
    } else {
        rig.event(at(50), GatewayEvent::CallerGone { call });
        rig.stops.clear();
        rig.lose_session(at(51), 7);
    }
    rig.rejoin(at(100), 7, 71, cpu(2_000), held);
    assert_eq!(rig.stops, [task(1, 0), task(1, 1)]);
}

/// What goes on is not stopped for a session that broke.
#[test]
fn what_a_caller_waits_for_goes_on_over_the_next_session() {
    let (mut rig, held) = with_a_placed_job();
    rig.lose_session(at(50), 7);
    rig.rejoin(at(100), 7, 71, cpu(2_000), held);
    assert!(rig.stops.is_empty() && rig.starts.is_empty());
}

/// The agent's runs live on for a gateway by its readings alone, and the break of a session has
/// let the last one grow old.
#[test]
fn the_first_reading_over_a_session_is_echoed_at_once() {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(2_000));
    rig.lose_session(at(50), 7);
    rig.echoes.clear();
    rig.rejoin(at(100), 7, 71, cpu(2_000), Vec::new());
    assert_eq!(rig.echoes.last(), Some(&at(100)));
    rig.report(at(101), 71, 0, cpu(2_000), FromAgentBody::Heartbeat);
    assert_eq!(rig.echoes.last(), Some(&at(100)), "the next has time");
}

/// A gateway whose worker has one core, with a job of 2 s there and another that waits, stands
/// still until 1.5 s; the first job's end is what it reads first.
fn woken_with_a_waiting_job() -> GatewayRig {
    let mut rig = GatewayRig::new();
    rig.join(at(1), 7, "agent-7", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 2_000));
    let first = rig.next_start();
    rig.submit(at(20), 2, job(2, 1, 2_000));
    rig.end(at(1_500), &first, EndKind::Done, cpu(1_000));
    rig
}

/// The caller of the waiting job has left meanwhile and handed it in at another gateway. The
/// worker's reading, which is fresh, is taken in before the end of the caller's connection.
#[test]
fn a_gateway_that_stood_still_hears_that_callers_left_before_it_places_their_jobs() {
    let mut rig = woken_with_a_waiting_job();
    assert!(rig.starts.is_empty());
    let call = CallNumber(2);
    rig.event(at(1_505), GatewayEvent::CallerGone { call });
    rig.tick(at(1_700));
    assert!(rig.starts.is_empty());
}

#[test]
fn a_job_whose_caller_waits_is_placed_soon_after_a_standstill() {
    let mut rig = woken_with_a_waiting_job();
    assert!(rig.starts.is_empty());
    rig.report(at(1_599), 7, 1, cpu(1_000), FromAgentBody::Heartbeat);
    assert_eq!(rig.answers.len(), 1, "it is not refused meanwhile");
    rig.tick(at(1_600));
    assert_eq!(rig.starts.len(), 1);
}

/// The call waited at the sockets while the gateway was suspended, and the word that its job was
/// cancelled meanwhile at another gateway behind it.
#[test]
fn a_job_cancelled_while_its_gateway_stood_still_is_not_started() {
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
