//! Tests for the confirmations that a cancellation needs before it is acknowledged.
//!
//! They guard against tasks that start after their caller was told that the job is cancelled, since the
//! gateway that was told could reach neither the gateway that holds the job nor the agents; and against
//! cancellations that are not acknowledged although nobody can start the job.

mod leased_support;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::cancel_log::{CancelList, MAX_CANCELS};
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::policies::Policies;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::membership::page::Page;
use laurelstile_core::leased::membership::rank;
use laurelstile_core::leased::messages::{
    CancelConfirmation, CancelRequest, CancelRoundId, ClaimMessage, FromAgent, FromAgentBody,
    HeldJobs, Introduction, Member, ToAgent, ToAgentBody, ToPeer,
};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::CANCEL_RETENTION;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{
    AgentRig, FIRST_AGENT, GatewayRig, SESSION, at, configuration, cpu, patient_job,
};
use rstest::rstest;

/// Sessions to two peers.
const PEERS: [SessionId; 2] = [SessionId(900), SessionId(901)];
/// The two agents, by the numbers of their sessions.
const AGENTS: [u64; 2] = [FIRST_AGENT, FIRST_AGENT + 1];
/// Call of a caller that cancels a job.
const CALL: CallNumber = CallNumber(99);
/// When the first job is cancelled: all agents have connected long before.
const CANCELLED_MILLIS: u64 = 10_000;
/// Time within which each cancellation has to be answered, in milliseconds.
const ANSWERED_MILLIS: u64 = 1_000;

fn peer(index: usize) -> Member {
    Member {
        name: format!("peer-{index}"),
        address: ([127, 0, 0, 2 + u8::try_from(index).expect("small")], 1).into(),
        zone: "here".into(),
    }
}

fn hash_of_peer(index: usize) -> Digest {
    Digest(rank::hash_of(&peer(index)))
}

fn introduce(rig: &mut GatewayRig, index: usize, confirms_cancels: bool) {
    rig.open_peer(at(1), PEERS[index]);
    let introduction = Introduction {
        confirms_cancels,
        ..Introduction::new(&peer(index), Digest::default())
    };
    rig.peer_message(at(1), PEERS[index], ToPeer::Introduction(introduction));
}

/// A gateway with two peers and two agents.
fn connected() -> GatewayRig {
    let mut rig = GatewayRig::new();
    for index in 0..PEERS.len() {
        introduce(&mut rig, index, true);
    }
    for agent in AGENTS {
        rig.join(at(2), agent, &format!("agent-{agent}"), cpu(8_000));
        agent_confirms(&mut rig, 3, agent, 0);
    }
    rig.to_peers.clear();
    rig
}

fn agent_message(cancels_received: Option<u64>, is_ending: bool, millis: u64) -> FromAgent {
    FromAgent {
        clock: at(millis),
        report: None,
        offers: Vec::new(),
        candidates: None,
        notices: Vec::new(),
        cancels_received,
        cancel_ages: Vec::new(),
        is_ending,
        usage: None,
        served: None,
        body: FromAgentBody::Heartbeat,
    }
}

/// An agent confirms the cancellations up to a position.
fn agent_confirms(rig: &mut GatewayRig, millis: u64, agent: u64, position: u64) {
    let session = SessionId(agent);
    let message = agent_message(Some(position), false, millis);
    rig.event(at(millis), GatewayEvent::AgentMessage { session, message });
}

/// Both agents confirm all cancellations that they were sent.
fn agents_confirm(rig: &mut GatewayRig, millis: u64) {
    for agent in AGENTS {
        let sent = rig.to_agents.iter();
        let sent = sent.filter(|(session, _)| session.0 == agent);
        let position = sent
            .filter_map(|(_, message)| message.cancel_position)
            .max();
        agent_confirms(rig, millis, agent, position.unwrap_or(0));
    }
}

fn cancel(rig: &mut GatewayRig, millis: u64, job: u64) {
    let cancel = GatewayEvent::Cancel {
        call: CALL,
        job: JobId(job),
    };
    rig.event(at(millis), cancel);
}

/// The requests sent to a peer that have not been taken by [`answer_of`].
fn requests_to(rig: &GatewayRig, session: SessionId) -> Vec<CancelRequest> {
    let sent = rig.to_peers.iter().filter(|(to, _)| *to == session);
    let requests = sent.filter_map(|(_, message)| match message {
        ToPeer::CancelRequested(request) => Some(*request),
        _ => None,
    });
    requests.collect()
}

/// A peer confirms the cancellations that it was requested to.
fn peer_confirms(rig: &mut GatewayRig, millis: u64, index: usize, answer: PeerAnswer) {
    let session = PEERS[index];
    for request in requests_to(rig, session) {
        let confirmation = CancelConfirmation {
            round: request.round,
            reached: hash_of_peer(index),
            was_held: answer == PeerAnswer::Held,
            has_unconfirmed_agents: answer == PeerAnswer::AgentsUnconfirmed,
        };
        rig.peer_message(at(millis), session, ToPeer::CancelConfirmed(confirmation));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerAnswer {
    Recorded,
    Held,
    AgentsUnconfirmed,
}

/// The answer to the latest cancellation, if there is one.
fn answer(rig: &GatewayRig) -> Option<Answer> {
    let answers = rig.answers.iter();
    let mut cancels = answers.filter(|(call, _)| *call == CALL);
    cancels.next_back().map(|(_, answer)| *answer)
}

fn is_unacknowledged(rig: &GatewayRig) -> bool {
    matches!(answer(rig), Some(Answer::CancelUnacknowledged { .. }))
}

/// Lets time pass at a gateway; the given agents send heartbeats.
fn pass_time(rig: &mut GatewayRig, from_millis: u64, to_millis: u64, agents: &[u64]) {
    for millis in (from_millis..to_millis).step_by(50) {
        for agent in agents {
            let session = SessionId(*agent);
            let message = agent_message(None, false, millis);
            rig.event(at(millis), GatewayEvent::AgentMessage { session, message });
        }
        rig.tick(at(millis));
    }
}

/// Guards against an acknowledgement before the gateway that holds the job knows.
#[test]
fn a_cancellation_is_acknowledged_once_all_gateways_have_confirmed() {
    let mut rig = connected();
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    assert_eq!(answer(&rig), None);
    peer_confirms(&mut rig, CANCELLED_MILLIS + 1, 0, PeerAnswer::Recorded);
    assert_eq!(answer(&rig), None);
    peer_confirms(&mut rig, CANCELLED_MILLIS + 2, 1, PeerAnswer::Recorded);
    assert_eq!(answer(&rig), Some(Answer::Unknown));
}

/// Guards against a wait for gateways that cannot start the job.
#[test]
fn the_confirmation_of_the_holder_suffices() {
    let mut rig = connected();
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    peer_confirms(&mut rig, CANCELLED_MILLIS + 1, 1, PeerAnswer::Held);
    assert_eq!(answer(&rig), Some(Answer::Unknown));
}

/// Guards against the acknowledgement of a job that was submitted again, by its earlier holder, which is cut
/// off and goes on holding it. Seen with emulated gateways whose callers' connections break.
#[rstest]
#[case::by_the_holder(None)]
#[case::by_a_peer(Some(PEERS[0]))]
fn a_holder_that_reaches_few_agents_does_not_confirm_alone(#[case] requester: Option<SessionId>) {
    let mut rig = connected();
    rig.submit(at(CANCELLED_MILLIS - 20), 1, patient_job(10_000, 25));
    assert!(rig.machine.has_job(JobId(1)));
    rig.to_peers.clear();
    match requester {
        None => cancel(&mut rig, CANCELLED_MILLIS, 1),
        Some(session) => {
            let request = CancelRequest {
                job: JobId(1),
                ..request(1, false)
            };
            let requested = ToPeer::CancelRequested(request);
            rig.peer_message(at(CANCELLED_MILLIS), session, requested);
        }
    }
    pass_time(
        &mut rig,
        CANCELLED_MILLIS,
        CANCELLED_MILLIS + ANSWERED_MILLIS,
        &[],
    );
    if let Some(session) = requester {
        let sent = confirmations(&rig, session);
        assert!(!sent[0].was_held);
    } else {
        assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
    }
}

/// Guards against cancellations of held jobs that are refused since some processes are down.
#[test]
fn a_holder_confirms_once_most_of_its_agents_have() {
    let mut rig = connected();
    rig.join(at(2), FIRST_AGENT + 2, "agent-9", cpu(8_000));
    agent_confirms(&mut rig, 3, FIRST_AGENT + 2, 0);
    rig.lose_session(at(5_000), FIRST_AGENT + 2);
    rig.submit(at(CANCELLED_MILLIS - 20), 1, patient_job(10_000, 25));
    assert!(rig.machine.has_job(JobId(1)));
    cancel(&mut rig, CANCELLED_MILLIS, 1);
    assert_eq!(answer(&rig), None);
    agents_confirm(&mut rig, CANCELLED_MILLIS + 1);
    assert_eq!(answer(&rig), Some(Answer::Cancelled));
}

/// Guards against acknowledgements by a gateway that is cut off from all others, and against calls that
/// wait although it is known by then.
#[test]
fn a_gateway_that_reaches_nobody_acknowledges_nothing() {
    let mut rig = connected();
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    let answered = CANCELLED_MILLIS + ANSWERED_MILLIS;
    pass_time(&mut rig, CANCELLED_MILLIS, answered, &[]);
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
    rig.answers.clear();
    cancel(&mut rig, answered, 6);
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against the same once its sessions have closed.
#[test]
fn a_gateway_without_sessions_acknowledges_nothing() {
    let mut rig = connected();
    for session in PEERS {
        rig.event(at(CANCELLED_MILLIS), GatewayEvent::PeerClosed { session });
    }
    for agent in AGENTS {
        rig.lose_session(at(CANCELLED_MILLIS), agent);
    }
    cancel(&mut rig, CANCELLED_MILLIS + 1_000, 5);
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against cancellations that are refused, or answered late, while a gateway is down or stands
/// still: the agents refuse its starts.
#[test]
fn the_confirmations_of_all_agents_stand_for_those_of_a_silent_gateway() {
    let mut rig = connected();
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    for millis in (CANCELLED_MILLIS..CANCELLED_MILLIS + ANSWERED_MILLIS).step_by(50) {
        peer_confirms(&mut rig, millis, 0, PeerAnswer::Recorded);
        agents_confirm(&mut rig, millis);
        rig.tick(at(millis));
    }
    assert_eq!(answer(&rig), Some(Answer::Unknown));
    rig.answers.clear();
    let later = CANCELLED_MILLIS + ANSWERED_MILLIS;
    cancel(&mut rig, later, 6);
    peer_confirms(&mut rig, later + 1, 0, PeerAnswer::Recorded);
    agents_confirm(&mut rig, later + 2);
    assert_eq!(answer(&rig), Some(Answer::Unknown), "without a wait");
}

/// What keeps the agents' confirmations from standing for those of a silent gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gap {
    /// An agent does not confirm.
    SilentAgent,
    /// The session of an agent has closed; it may run beyond a partition.
    LostAgent,
    /// An agent of the other gateway has not confirmed to it.
    AgentOfPeer,
}

/// Guards against the start of a cancelled job at an agent that does not know, by a gateway that does
/// not know.
#[rstest]
fn a_silent_gateway_and_an_agent_that_does_not_know_prevent_the_acknowledgement(
    #[values(Gap::SilentAgent, Gap::LostAgent, Gap::AgentOfPeer)] gap: Gap,
) {
    let mut rig = connected();
    if gap == Gap::LostAgent {
        rig.lose_session(at(CANCELLED_MILLIS - 500), AGENTS[1]);
    }
    let answer_of_peer = match gap {
        Gap::AgentOfPeer => PeerAnswer::AgentsUnconfirmed,
        _ => PeerAnswer::Recorded,
    };
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    for millis in (CANCELLED_MILLIS..CANCELLED_MILLIS + ANSWERED_MILLIS).step_by(50) {
        peer_confirms(&mut rig, millis, 0, answer_of_peer);
        match gap {
            Gap::SilentAgent => agent_confirms(&mut rig, millis, AGENTS[0], 100),
            Gap::LostAgent => agent_confirms(&mut rig, millis, AGENTS[0], 100),
            Gap::AgentOfPeer => agents_confirm(&mut rig, millis),
        }
        rig.tick(at(millis));
    }
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against refused cancellations while agents restart as planned.
#[test]
fn an_agent_that_has_announced_its_end_is_not_waited_for() {
    let mut rig = connected();
    let session = SessionId(AGENTS[1]);
    let message = agent_message(None, true, CANCELLED_MILLIS - 500);
    let now = at(CANCELLED_MILLIS - 500);
    rig.event(now, GatewayEvent::AgentMessage { session, message });
    rig.lose_session(now, AGENTS[1]);
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    for millis in (CANCELLED_MILLIS..CANCELLED_MILLIS + ANSWERED_MILLIS).step_by(50) {
        peer_confirms(&mut rig, millis, 0, PeerAnswer::Recorded);
        agent_confirms(&mut rig, millis, AGENTS[0], 100);
        rig.tick(at(millis));
    }
    assert_eq!(answer(&rig), Some(Answer::Unknown));
}

/// Guards against an acknowledgement by a gateway that does not know the others yet.
#[test]
fn a_gateway_that_has_heard_of_no_other_acknowledges_nothing() {
    let policies = Policies::default();
    let mut rig = GatewayRig::unconfigured("gateway", Incarnation(0), policies);
    rig.event(at(0), GatewayEvent::Configuration(configuration(1)));
    cancel(&mut rig, 10, 5);
    pass_time(&mut rig, 10, 10 + ANSWERED_MILLIS, &[]);
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against an acknowledgement before it is known which gateway has just opened a session.
#[test]
fn a_peer_that_has_not_introduced_itself_may_hold_the_job() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(CANCELLED_MILLIS), PEERS[0]);
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    let end = CANCELLED_MILLIS + ANSWERED_MILLIS;
    pass_time(&mut rig, CANCELLED_MILLIS, end, &[]);
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against jobs that a gateway starts which was out of reach when they were cancelled.
#[test]
fn a_gateway_that_returns_is_told_what_was_cancelled_and_how_long_ago() {
    let mut rig = connected();
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    rig.to_peers.clear();
    let session = SessionId(902);
    let now = at(CANCELLED_MILLIS + 11_500);
    rig.open_peer(now, session);
    let introduction = Introduction::new(&peer(0), Digest::default());
    rig.peer_message(now, session, ToPeer::Introduction(introduction));
    let list = CancelList {
        jobs: vec![JobId(5)],
        ages_seconds: vec![12],
    };
    let is_told = |(to, message): &(SessionId, ToPeer)| {
        *to == session && matches!(message, ToPeer::CancelledEarlier(told) if *told == list)
    };
    assert!(rig.to_peers.iter().any(is_told));
}

/// Guards against reliance on the agents before all of them can have connected.
#[test]
fn a_gateway_that_has_just_started_does_not_rely_on_its_agents() {
    let mut rig = connected();
    cancel(&mut rig, 100, 5);
    for millis in (100..100 + ANSWERED_MILLIS).step_by(50) {
        peer_confirms(&mut rig, millis, 0, PeerAnswer::Recorded);
        agents_confirm(&mut rig, millis);
        rig.tick(at(millis));
    }
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against reliance on the agents on its side by a gateway that has started beyond a partition.
/// Seen with emulated gateways (`--cancels`, seed 1506).
#[test]
fn a_gateway_that_has_never_met_the_others_does_not_rely_on_its_agents() {
    let mut rig = GatewayRig::unconfigured("gateway", Incarnation(0), Policies::default());
    rig.event(at(0), GatewayEvent::Configuration(configuration(1)));
    let page = Page {
        from: String::new(),
        until: None,
        members: vec![peer(0), peer(1)],
    };
    rig.event(at(1), GatewayEvent::ListPage(page));
    rig.join(at(2), AGENTS[0], "agent-7", cpu(8_000));
    agent_confirms(&mut rig, 3, AGENTS[0], 0);
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    let end = CANCELLED_MILLIS + ANSWERED_MILLIS;
    for millis in (CANCELLED_MILLIS..end).step_by(50) {
        agent_confirms(&mut rig, millis, AGENTS[0], 100);
        rig.tick(at(millis));
    }
    assert!(is_unacknowledged(&rig), "{:?}", answer(&rig));
}

/// Guards against a wait for a peer whose version cannot confirm.
#[test]
fn a_peer_of_an_older_version_is_told_and_not_waited_for() {
    let mut rig = GatewayRig::new();
    introduce(&mut rig, 0, true);
    introduce(&mut rig, 1, false);
    rig.to_peers.clear();
    cancel(&mut rig, CANCELLED_MILLIS, 5);
    assert!(requests_to(&rig, PEERS[1]).is_empty());
    let is_told = |(to, message): &(SessionId, ToPeer)| {
        *to == PEERS[1] && matches!(message, ToPeer::Cancelled(jobs) if jobs == &[JobId(5)])
    };
    assert!(rig.to_peers.iter().any(is_told));
    peer_confirms(&mut rig, CANCELLED_MILLIS + 1, 0, PeerAnswer::Recorded);
    assert_eq!(answer(&rig), Some(Answer::Unknown));
}

/// Guards against the acknowledgement of a job that another gateway, which has claimed it, may start
/// again.
#[test]
fn a_held_job_that_another_gateway_has_claimed_needs_its_confirmation() {
    let mut rig = connected();
    let claim = ClaimMessage::Claimed(vec![HeldJobs {
        holder: "peer-0".into(),
        jobs: vec![JobId(1)],
        number: None,
        reaches_all: false,
    }]);
    rig.peer_message(at(CANCELLED_MILLIS), PEERS[0], ToPeer::Claim(claim));
    rig.submit(at(CANCELLED_MILLIS), 1, patient_job(1_000, 25));
    cancel(&mut rig, CANCELLED_MILLIS, 1);
    assert_eq!(answer(&rig), None);
    peer_confirms(&mut rig, CANCELLED_MILLIS + 1, 0, PeerAnswer::Held);
    assert_eq!(answer(&rig), Some(Answer::Unknown));
}

fn request(number: u64, includes_agents: bool) -> CancelRequest {
    CancelRequest {
        round: CancelRoundId {
            origin: Incarnation(77),
            number,
        },
        job: JobId(5),
        includes_agents,
    }
}

fn confirmations(rig: &GatewayRig, session: SessionId) -> Vec<CancelConfirmation> {
    let sent = rig.to_peers.iter().filter(|(to, _)| *to == session);
    let confirmations = sent.filter_map(|(_, message)| match message {
        ToPeer::CancelConfirmed(confirmation) => Some(*confirmation),
        _ => None,
    });
    confirmations.collect()
}

/// Guards against confirmations in the name of gateways that have not been reached.
#[test]
fn a_request_is_answered_once_the_gateways_behind_have_answered() {
    let mut rig = connected();
    let requested = ToPeer::CancelRequested(request(1, false));
    rig.peer_message(at(CANCELLED_MILLIS), PEERS[0], requested.clone());
    assert_eq!(requests_to(&rig, PEERS[1]), [request(1, false)]);
    assert!(confirmations(&rig, PEERS[0]).is_empty());
    peer_confirms(&mut rig, CANCELLED_MILLIS + 1, 1, PeerAnswer::Recorded);
    let sent = confirmations(&rig, PEERS[0]);
    let own = rig
        .machine
        .known_members()
        .find(|one| one.name == "gateway");
    let own = Digest(rank::hash_of(own.expect("itself")));
    let reached: Vec<Digest> = sent.iter().map(|one| one.reached).collect();
    assert_eq!(reached, [own.with(hash_of_peer(1))]);
    // The same request over another session: the answer above speaks for this gateway.
    rig.peer_message(at(CANCELLED_MILLIS + 2), PEERS[1], requested);
    let sent = confirmations(&rig, PEERS[1]);
    let reached: Vec<Digest> = sent.iter().map(|one| one.reached).collect();
    assert_eq!(reached, [Digest::default()]);
}

/// Guards against confirmations that wait for a gateway that does not answer.
#[test]
fn a_request_is_answered_in_time_for_a_silent_gateway_behind() {
    let mut rig = connected();
    let requested = ToPeer::CancelRequested(request(1, false));
    rig.peer_message(at(CANCELLED_MILLIS), PEERS[0], requested);
    pass_time(&mut rig, CANCELLED_MILLIS, CANCELLED_MILLIS + 300, &AGENTS);
    assert_eq!(confirmations(&rig, PEERS[0]).len(), 1);
    let later = CANCELLED_MILLIS + 1_000;
    let requested = ToPeer::CancelRequested(request(2, false));
    rig.peer_message(at(later), PEERS[0], requested);
    assert_eq!(confirmations(&rig, PEERS[0]).len(), 2, "without a wait");
}

/// Guards against a gateway that speaks for agents which have not recorded the cancellation.
#[test]
fn a_gateway_confirms_for_its_agents_once_they_have_confirmed() {
    let mut rig = connected();
    let requested = ToPeer::CancelRequested(request(1, true));
    rig.peer_message(at(CANCELLED_MILLIS), PEERS[0], requested);
    peer_confirms(&mut rig, CANCELLED_MILLIS + 1, 1, PeerAnswer::Recorded);
    assert!(confirmations(&rig, PEERS[0]).is_empty());
    agents_confirm(&mut rig, CANCELLED_MILLIS + 2);
    let sent = confirmations(&rig, PEERS[0]);
    assert!(!sent[0].has_unconfirmed_agents);
    let requested = ToPeer::CancelRequested(request(2, true));
    rig.peer_message(at(CANCELLED_MILLIS + 10), PEERS[0], requested);
    peer_confirms(&mut rig, CANCELLED_MILLIS + 11, 1, PeerAnswer::Recorded);
    let end = CANCELLED_MILLIS + 10 + ANSWERED_MILLIS;
    pass_time(&mut rig, CANCELLED_MILLIS + 20, end, &AGENTS);
    let sent = confirmations(&rig, PEERS[0]);
    assert!(sent[1].has_unconfirmed_agents, "they are silent");
}

/// A gateway tells an agent of cancelled jobs.
fn tell_agent(rig: &mut AgentRig, now: Timestamp, jobs: Vec<JobId>, position: u64) {
    let message = ToAgent {
        echo: now,
        acknowledged: 0,
        cancelled: jobs,
        cancel_position: Some(position),
        cancel_ages: Vec::new(),
        served: Vec::new(),
        body: ToAgentBody::Heartbeat,
    };
    let session = SESSION;
    rig.event(now, AgentEvent::Message { session, message });
}

fn confirmed_by(rig: &AgentRig) -> Vec<u64> {
    let messages = rig.sent.iter().map(|(_, message)| message);
    messages.filter_map(|one| one.cancels_received).collect()
}

/// Guards against the confirmation of a cancellation that the agent will not remember, and against
/// confirmations that wait for the next heartbeat.
#[test]
fn an_agent_confirms_at_once_what_it_has_recorded() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.sent.clear();
    tell_agent(&mut rig, at(10), vec![JobId(1)], 4);
    assert_eq!(confirmed_by(&rig), [4]);
    let all = (0..MAX_CANCELS as u64).map(JobId).collect();
    tell_agent(&mut rig, at(20), all, 5);
    assert_eq!(confirmed_by(&rig), [4, 5]);
    tell_agent(&mut rig, at(30), vec![JobId(u64::MAX)], 6);
    assert_eq!(confirmed_by(&rig), [4, 5], "the log is full");
    // One is forgotten and another recorded, but still not the one before.
    let later = at(20).after(CANCEL_RETENTION).after(Span::from_millis(20));
    tell_agent(&mut rig, later, vec![JobId(u64::MAX - 1)], 7);
    assert!(!confirmed_by(&rig).contains(&7));
    rig.sent.clear();
    rig.open(later, SessionId(71), leased_support::GATEWAY);
    let message = ToAgent {
        echo: later,
        acknowledged: 0,
        cancelled: vec![JobId(u64::MAX), JobId(u64::MAX - 1)],
        cancel_position: Some(7),
        cancel_ages: Vec::new(),
        served: Vec::new(),
        body: ToAgentBody::Heartbeat,
    };
    let session = SessionId(71);
    rig.event(later, AgentEvent::Message { session, message });
    assert_eq!(confirmed_by(&rig), [5, 7], "told again on a new session");
}

/// Guards against gateways that take an agent for one of an older version, which cannot confirm.
#[test]
fn the_first_message_of_a_session_tells_what_the_agent_has_recorded() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    tell_agent(&mut rig, at(10), vec![JobId(1)], 4);
    rig.sent.clear();
    rig.open(at(100), SessionId(71), leased_support::GATEWAY);
    let first = rig.sent.first().map(|(_, message)| message);
    assert_eq!(first.and_then(|one| one.cancels_received), Some(4));
}

/// Guards against gateways that wait for the confirmations of an agent that has ended as planned.
#[test]
fn an_agent_announces_its_end() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.sent.clear();
    rig.event(at(10), AgentEvent::Stop);
    rig.event(at(20), AgentEvent::Tick);
    assert!(rig.stopped);
    let announced = rig.sent.iter().filter(|(_, message)| message.is_ending);
    let sessions: Vec<SessionId> = announced.map(|(session, _)| *session).collect();
    assert_eq!(sessions, [SESSION]);
}
