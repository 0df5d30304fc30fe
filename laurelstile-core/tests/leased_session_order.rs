//! Sessions and processes of an agent whose handshakes reach the gateway late or in another order
//! than that in which the agent opened them. Messages pass between an agent's and a gateway's state
//! machine.

mod leased_support;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{FenceToken, Rejection, RunLists};
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::messages::{FromAgentBody, StartBatch, ToAgentBody};
use laurelstile_core::leased::timing::AGENT_EXPIRY;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use leased_support::{AgentRig, GATEWAY, GatewayRig, SESSION, TOKEN_FLOOR, at, cpu, job};
use rstest::rstest;

/// Name of the agent.
const NAME: &str = "agent-7";

/// The gateway reads the last message of a handshake, whose hello had this uptime, and what the agent
/// has sent on the session since.
fn open_at_gateway(
    gateway: &mut GatewayRig,
    agent: &mut AgentRig,
    millis: u64,
    process: Incarnation,
    session: SessionId,
    uptime_millis: u64,
) {
    let uptime = Span::from_millis(uptime_millis);
    gateway.open_agent(at(millis), session.0, NAME, process, uptime);
    deliver(gateway, agent, millis, session);
}

/// The gateway reads what the agent has sent on the session.
fn deliver(gateway: &mut GatewayRig, agent: &mut AgentRig, millis: u64, session: SessionId) {
    let sent = std::mem::take(&mut agent.sent);
    for (to, message) in sent {
        if to == session {
            let event = GatewayEvent::AgentMessage { session, message };
            gateway.event(at(millis), event);
        } else {
            agent.sent.push((to, message));
        }
    }
}

/// The agent reads the starts that the gateway has sent, and its worker carries them out.
fn start_tasks(gateway: &mut GatewayRig, agent: &mut AgentRig, millis: u64) -> Vec<StartBatch> {
    let mut batches = Vec::new();
    for (session, batch) in gateway.starts.drain(..) {
        batches.push(batch.clone());
        agent.message_from(at(millis), session, ToAgentBody::Start(batch));
    }
    for run in agent.take_starts() {
        agent.answer_start(at(millis), run, None);
    }
    batches
}

/// The session ends at both sides.
fn break_session(gateway: &mut GatewayRig, agent: &mut AgentRig, millis: u64, session: SessionId) {
    agent.event(at(millis), AgentEvent::Closed { session });
    gateway.lose_session(at(millis), session.0);
}

/// Guards against a second run of a task beside one that was started on the agent's latest session:
/// it dials two addresses of a gateway, and the dial that began last was the first to end.
#[test]
fn of_two_dials_that_overlap_the_one_that_the_agent_left_ends_no_runs() {
    let process = Incarnation(7);
    let (left, latest) = (SessionId(72), SessionId(71));
    let mut gateway = GatewayRig::new();
    let mut agent = AgentRig::with_worker(cpu(1_000));
    open_at_gateway(&mut gateway, &mut agent, 1, process, SESSION, 1);
    break_session(&mut gateway, &mut agent, 50, SESSION);
    agent.open(at(103), left, GATEWAY);
    agent.open(at(105), latest, GATEWAY);
    assert_eq!(agent.closed, [left]);
    open_at_gateway(&mut gateway, &mut agent, 106, process, latest, 100);
    gateway.submit(at(110), 1, job(1, 1, 2_000));
    let batches = start_tasks(&mut gateway, &mut agent, 111);
    assert_eq!(batches.len(), 1);
    assert_eq!(agent.machine.run_count(), 1);
    gateway.join(at(120), 8, "agent-8", cpu(1_000));
    open_at_gateway(&mut gateway, &mut agent, 300, process, left, 101);
    gateway.tick(at(301));
    assert_eq!(gateway.closed, [latest, left]);
    assert!(gateway.lost.is_empty(), "{:?}", gateway.lost);
    assert!(gateway.starts.is_empty(), "started beside the first run");
    break_session(&mut gateway, &mut agent, 302, latest);
    let next = SessionId(73);
    agent.open(at(330), next, GATEWAY);
    open_at_gateway(&mut gateway, &mut agent, 331, process, next, 330);
    assert!(gateway.lost.is_empty(), "{:?}", gateway.lost);
    assert!(gateway.stops.is_empty(), "{:?}", gateway.stops);
    assert!(agent.take_stops().is_empty());
}

/// Guards against a second run of a task beside one of the present agent process: the process before
/// it was ended soon after its start, and its handshake is so late that it seems to have started later.
#[test]
fn a_late_session_of_an_agent_process_that_seems_to_have_started_last_ends_no_runs() {
    let (previous, present) = (Incarnation(6), Incarnation(7));
    let (late, session) = (SessionId(60), SessionId(71));
    let mut gateway = GatewayRig::new();
    let mut ended = AgentRig::with_worker(cpu(1_000));
    ended.open(at(20), late, GATEWAY);
    let token_floor = FenceToken(TOKEN_FLOOR.0 + 300);
    let mut agent = AgentRig::with_worker_and_token_floor(cpu(1_000), token_floor);
    agent.open(at(300), session, GATEWAY);
    open_at_gateway(&mut gateway, &mut agent, 301, present, session, 1);
    gateway.submit(at(310), 1, job(1, 1, 2_000));
    assert_eq!(start_tasks(&mut gateway, &mut agent, 311).len(), 1);
    gateway.join(at(320), 8, "agent-8", cpu(1_000));
    break_session(&mut gateway, &mut agent, 650, session);
    open_at_gateway(&mut gateway, &mut ended, 700, previous, late, 20);
    gateway.tick(at(701));
    assert!(gateway.lost.is_empty(), "{:?}", gateway.lost);
    assert!(gateway.starts.is_empty(), "started beside the first run");
}

/// Which of two agent processes is of a version whose snapshots name neither session nor control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OlderVersion {
    Ended,
    Present,
}

/// Turns the snapshots of an agent into those of the older version.
fn downgrade_snapshots(agent: &mut AgentRig) {
    for (_, message) in &mut agent.sent {
        if let FromAgentBody::Snapshot(snapshot) = &mut message.body {
            snapshot.session = None;
            snapshot.control = None;
        }
    }
}

/// Guards against a second run of a task beside one of the present agent process: the process before
/// it was of another version, and was ended by an update or a rollback.
#[rstest]
#[case::update(OlderVersion::Ended)]
#[case::rollback(OlderVersion::Present)]
fn a_late_session_of_an_ended_process_of_another_version_ends_no_runs(
    #[case] older_version: OlderVersion,
) {
    let (previous, present) = (Incarnation(6), Incarnation(7));
    let (late, session) = (SessionId(60), SessionId(71));
    let mut gateway = GatewayRig::new();
    let mut ended = AgentRig::with_worker(cpu(1_000));
    ended.open(at(20), late, GATEWAY);
    let token_floor = FenceToken(TOKEN_FLOOR.0 + 300);
    let mut agent = AgentRig::with_worker_and_token_floor(cpu(1_000), token_floor);
    agent.open(at(300), session, GATEWAY);
    match older_version {
        OlderVersion::Ended => downgrade_snapshots(&mut ended),
        OlderVersion::Present => downgrade_snapshots(&mut agent),
    }
    open_at_gateway(&mut gateway, &mut agent, 301, present, session, 1);
    gateway.submit(at(310), 1, job(1, 1, 2_000));
    assert_eq!(start_tasks(&mut gateway, &mut agent, 311).len(), 1);
    gateway.join(at(320), 8, "agent-8", cpu(1_000));
    break_session(&mut gateway, &mut agent, 650, session);
    open_at_gateway(&mut gateway, &mut ended, 700, previous, late, 20);
    gateway.tick(at(701));
    assert!(gateway.lost.is_empty(), "{:?}", gateway.lost);
    assert!(gateway.starts.is_empty(), "started beside the first run");
}

/// The next process takes the tasks of the one before over at once: its token is higher.
#[test]
fn a_later_process_ends_the_runs_of_one_whose_session_has_closed() {
    let (previous, present) = (Incarnation(6), Incarnation(7));
    let session = SessionId(71);
    let mut gateway = GatewayRig::new();
    let mut ended = AgentRig::with_worker(cpu(1_000));
    open_at_gateway(&mut gateway, &mut ended, 1, previous, SESSION, 1);
    gateway.submit(at(10), 1, job(1, 1, 2_000));
    assert_eq!(start_tasks(&mut gateway, &mut ended, 11).len(), 1);
    break_session(&mut gateway, &mut ended, 200, SESSION);
    let token_floor = FenceToken(TOKEN_FLOOR.0 + 300);
    let mut agent = AgentRig::with_worker_and_token_floor(cpu(1_000), token_floor);
    agent.open(at(300), session, GATEWAY);
    open_at_gateway(&mut gateway, &mut agent, 301, present, session, 1);
    assert_eq!(gateway.lost.len(), 1);
    assert_eq!(gateway.starts.len(), 1);
}

/// Guards against a second run of a task beside one of the present agent process: worker and agent
/// restarted, the clock was set back, and the handshake of the agent's earlier process arrives late, with
/// a token that is higher but of the worker's earlier incarnation.
#[test]
fn a_late_session_with_a_higher_token_of_an_earlier_worker_incarnation_ends_no_runs() {
    let (previous, present) = (Incarnation(6), Incarnation(7));
    let (late, session) = (SessionId(60), SessionId(71));
    let mut gateway = GatewayRig::new();
    let later_clock = FenceToken(TOKEN_FLOOR.0 + 9_000);
    let mut ended = AgentRig::with_worker_and_token_floor(cpu(1_000), later_clock);
    ended.open(at(20), late, GATEWAY);
    let mut agent = AgentRig::new();
    agent.incarnation = "life-2".into();
    agent.register(at(200), "life-2", cpu(1_000), false);
    agent.answer_watch(at(201), RunLists::default());
    agent.open(at(300), session, GATEWAY);
    open_at_gateway(&mut gateway, &mut agent, 301, present, session, 1);
    gateway.submit(at(310), 1, job(1, 1, 2_000));
    assert_eq!(start_tasks(&mut gateway, &mut agent, 311).len(), 1);
    gateway.join(at(320), 8, "agent-8", cpu(1_000));
    break_session(&mut gateway, &mut agent, 650, session);
    open_at_gateway(&mut gateway, &mut ended, 700, previous, late, 20);
    gateway.tick(at(701));
    assert!(gateway.lost.is_empty(), "{:?}", gateway.lost);
    assert!(gateway.starts.is_empty(), "started beside the first run");
}

/// The token of a snapshot is that of the run lists that it rests on.
#[test]
fn a_raised_token_is_reported_once_run_lists_were_received_under_it() {
    let mut rig = AgentRig::with_worker(cpu(1_000));
    let tokens = |rig: &AgentRig| {
        let bodies = rig.sent.iter().map(|(_, message)| &message.body);
        let snapshots = bodies.filter_map(|body| match body {
            FromAgentBody::Snapshot(snapshot) => Some(snapshot.control.as_ref()?.token),
            _ => None,
        });
        snapshots.collect::<Vec<_>>()
    };
    let first = tokens(&rig);
    assert_eq!(first.len(), 1);
    rig.register(at(9), "life-1", cpu(1_000), false);
    let batch = rig.batch(1, 1, 4);
    rig.message(at(10), batch);
    let run = rig.take_starts()[0];
    rig.answer_start(at(11), run, Some(Rejection::Fenced));
    rig.answer_watch(at(12), RunLists::default());
    assert_eq!(tokens(&rig), first);
    rig.answer_watch(at(13), RunLists::default());
    let reported = tokens(&rig);
    assert_eq!(reported.len(), 2);
    assert!(reported[1] > reported[0], "{reported:?}");
}

/// Guards against a delayed start of the previous agent process that takes effect after its run was
/// taken for lost: it was sent under a token that no snapshot has told yet, and the next process uses
/// the same one, since the wall clock was set back.
#[test]
fn a_start_under_a_token_that_the_gateway_has_not_heard_of_is_not_lost_at_once() {
    let (previous, present) = (Incarnation(6), Incarnation(7));
    let session = SessionId(71);
    let mut gateway = GatewayRig::new();
    let mut ended = AgentRig::with_worker(cpu(1_000));
    open_at_gateway(&mut gateway, &mut ended, 1, previous, SESSION, 1);
    gateway.submit(at(10), 1, job(1, 1, 2_000));
    ended.register(at(11), "life-2", cpu(1_000), false);
    ended.end_incarnation(at(12));
    ended.incarnation = "life-2".into();
    ended.answer_watch(at(13), RunLists::default());
    let (_, batch) = gateway.next_start();
    ended.message(at(14), ToAgentBody::Start(batch));
    let token = ended.last_token().expect("a start was sent");
    assert_eq!(ended.take_starts().len(), 1);
    gateway.lose_session(at(15), SESSION.0);
    let token_floor = FenceToken(token - 1);
    let mut agent = AgentRig::with_worker_and_token_floor(cpu(1_000), token_floor);
    agent.open(at(300), session, GATEWAY);
    open_at_gateway(&mut gateway, &mut agent, 301, present, session, 1);
    assert!(gateway.lost.is_empty(), "{:?}", gateway.lost);
    let expiry = 1 + AGENT_EXPIRY.as_millis() + 1;
    for millis in (310..expiry).step_by(10) {
        gateway.tick(at(millis));
        assert!(gateway.starts.is_empty(), "at {millis} ms");
    }
    gateway.report(
        at(expiry),
        session.0,
        0,
        cpu(1_000),
        FromAgentBody::Heartbeat,
    );
    assert_eq!(gateway.starts.len(), 1, "the leases have expired");
}
