//! Leases on held jobs: who may hold a job whose caller may have submitted it to another gateway.
//!
//! The tests guard against tasks that run twice, at the two sides of a network partition or after it,
//! and against jobs that are ended although nobody else may start them.

mod leased_support;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent, Refusal};
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::messages::{
    AgentClaims, ClaimConfirmation, ClaimMessage, ClaimNumber, EndKind, FromAgentBody, HeldJobs,
    Introduction, Member, NotStartedReason, Snapshot, ToAgentBody, ToPeer,
};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::{
    AGENT_EXPIRY, CALLER_RETRY_DELAY, CLAIM_HONOR_TIME, CLAIM_LEASE,
};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use leased_support::{
    AgentRig, FIRST_AGENT, GatewayRig, Gateways, RESUBMITTED_MILLIS, agent_of, at, cpu, job,
    patient_job, session_to, task,
};
use rstest::rstest;

/// When a gateway that was cut off reaches its agent again, in milliseconds.
const RETURNED_MILLIS: u64 = 2_000;
/// When the job of the tests with one gateway is submitted: by then its agents are known.
const SUBMITTED_MILLIS: u64 = 5_000;
const OTHER_GATEWAY: Incarnation = Incarnation(8);
const OTHER_SESSION: SessionId = SessionId(80);

/// A job runs at the first of two gateways, which is cut off from its agent and the other gateway from
/// 100 ms on. Its caller's connection has broken unnoticed, and the job is submitted to the other.
fn resubmitted_beyond_a_cut() -> Gateways {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(3_000, 10));
    gateways.rigs[0].next_start();
    gateways.pass_time(20, 100);
    gateways.pass_time_at(1, 100, RESUBMITTED_MILLIS);
    for millis in (100..RETURNED_MILLIS).step_by(50) {
        gateways.rigs[0].tick(at(millis));
    }
    gateways.rigs[0].to_peers.clear();
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 10));
    assert_eq!(gateways.starts_at(1), 1, "no claim has reached it");
    gateways
}

/// Guards against a gateway that was cut off and starts a job again which another gateway runs by then.
#[test]
fn a_gateway_that_returns_from_a_cut_does_not_start_a_resubmitted_job() {
    let mut gateways = resubmitted_beyond_a_cut();
    let session = agent_of(0) + 50;
    gateways.rigs[0].join(at(RETURNED_MILLIS), session, "agent-0", cpu(1_000));
    for millis in (RETURNED_MILLIS..4_000).step_by(50) {
        let heartbeat = FromAgentBody::Heartbeat;
        gateways.rigs[0].report(at(millis), session, 0, cpu(1_000), heartbeat);
        assert_eq!(gateways.starts_at(0), 0, "at {millis} ms");
    }
    assert_eq!(gateways.rigs[0].answers, [(CallNumber(1), Answer::GivenUp)]);
}

/// Guards against runs that go on at a gateway that reaches its agents, but no other gateway: its claim is
/// not known where the caller submits the job again.
#[test]
fn a_job_whose_claim_nobody_confirms_is_stopped_before_its_caller_may_resubmit_it() {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, job(1, 1, 3_000));
    gateways.rigs[0].next_start();
    let until = 10 + CALLER_RETRY_DELAY.as_millis();
    gateways.pass_time_at(0, 20, until);
    assert!(gateways.rigs[0].stops.is_empty());
    gateways.rigs[0].tick(at(until));
    assert_eq!(gateways.rigs[0].stops, [task(1, 0)]);
    assert_eq!(gateways.rigs[0].answers, [(CallNumber(1), Answer::GivenUp)]);
}

/// Guards against callers that wait in vain: a job that cannot be placed for want of a confirmed claim is
/// refused as not run.
#[test]
fn a_job_that_has_not_run_is_refused_if_its_claim_is_not_confirmed() {
    let mut gateways = Gateways::new(2);
    let rig = &mut gateways.rigs[0];
    rig.report(at(3), FIRST_AGENT, 0, cpu(0), FromAgentBody::Heartbeat);
    rig.submit(at(10), 1, patient_job(6_000, 20));
    for millis in (20..1_900).step_by(50) {
        rig.report(at(millis), FIRST_AGENT, 0, cpu(0), FromAgentBody::Heartbeat);
    }
    let reason = Refusal::ClaimUnconfirmed;
    assert!(
        matches!(rig.last_answer(), Some(Answer::Refused { reason: refused, .. }) if refused == reason),
        "{:?}",
        rig.answers
    );
}

/// Guards against long jobs that are ended in calm.
#[test]
fn a_job_is_held_while_the_other_gateways_confirm_its_claims() {
    let mut gateways = Gateways::new(3);
    gateways.rigs[0].submit(at(10), 1, patient_job(9_000, 20));
    let run = gateways.rigs[0].next_start();
    gateways.pass_time(20, 8_000);
    assert!(gateways.rigs[0].stops.is_empty());
    gateways.rigs[0].end(at(8_000), &run, EndKind::Done, cpu(1_000));
    assert_eq!(
        gateways.rigs[0].answers,
        [(CallNumber(1), Answer::Completed)]
    );
}

/// Guards against a lease that outlives its confirmations.
#[test]
fn a_job_is_ended_when_its_last_confirmed_claim_is_over() {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(9_000, 20));
    gateways.rigs[0].next_start();
    let last_claim_by = 1_000;
    gateways.pass_time(20, last_claim_by);
    let until = last_claim_by + CLAIM_LEASE.as_millis();
    gateways.pass_time_at(0, last_claim_by, until + 50);
    assert_eq!(gateways.rigs[0].stops, [task(1, 0)]);
}

/// How many of three agents honor the claim.
#[derive(Clone, Copy, Debug)]
struct Honoring(u64);

/// A gateway whose only peer does not answer, with three agents, of which some honor its claims.
fn with_silent_peer(honoring: Honoring) -> GatewayRig {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    let member = Member {
        name: "gateway-1".into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "here".into(),
    };
    let introduction = Introduction::new(&member, Digest::default());
    rig.peer_message(at(1), session_to(1), ToPeer::Introduction(introduction));
    for number in 0..3 {
        let session = agent_of(number);
        rig.join(at(2), session, &format!("agent-{number}"), cpu(1_000));
        let body = FromAgentBody::Snapshot(honoring_snapshot());
        rig.report(at(3), session, 0, cpu(1_000), body);
    }
    let pass = |rig: &mut GatewayRig, from: u64, to: u64| {
        for millis in (from..to).step_by(50) {
            for number in 0..3 {
                let heartbeat = FromAgentBody::Heartbeat;
                rig.report(at(millis), agent_of(number), 0, cpu(1_000), heartbeat);
            }
            answer_claims(rig, millis, honoring);
        }
    };
    pass(&mut rig, 50, SUBMITTED_MILLIS);
    rig.submit(at(SUBMITTED_MILLIS), 1, patient_job(9_000, 20));
    pass(&mut rig, SUBMITTED_MILLIS, SUBMITTED_MILLIS + 3_000);
    rig
}

fn honoring_snapshot() -> Snapshot {
    Snapshot {
        service: "parcels".into(),
        zone: "here".into(),
        capacity: cpu(1_000),
        labels: Vec::new(),
        held: Vec::new(),
        session: None,
        control: None,
        honors_claims: true,
    }
}

/// The first agents answer the claims that they were sent.
fn answer_claims(rig: &mut GatewayRig, millis: u64, honoring: Honoring) {
    for (session, claims) in std::mem::take(&mut rig.claims) {
        if claims.jobs.is_empty() || session.0 >= FIRST_AGENT + honoring.0 {
            continue;
        }
        let body = FromAgentBody::ClaimsHonored {
            number: claims.number,
            refused: Vec::new(),
        };
        rig.report(at(millis), session.0, 0, cpu(1_000), body);
    }
}

/// Guards against long jobs that are ended whenever a gateway is down, and against a gateway that holds
/// jobs on the small side of a partition.
#[rstest]
#[case::most(Honoring(2), true)]
#[case::one(Honoring(1), false)]
fn a_job_is_held_while_most_agents_honor_its_claims(
    #[case] honoring: Honoring,
    #[case] is_held: bool,
) {
    let rig = with_silent_peer(honoring);
    assert_eq!(rig.machine.has_job(JobId(1)), is_held);
    assert_eq!(rig.stops.is_empty(), is_held);
}

fn claims(number: u64, jobs: &[u64], released: &[u64]) -> ToAgentBody {
    let ids = |jobs: &[u64]| jobs.iter().copied().map(JobId).collect();
    ToAgentBody::Claims(AgentClaims {
        number,
        jobs: ids(jobs),
        released: ids(released),
    })
}

/// An agent of two gateways.
fn agent_of_two() -> AgentRig {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.open(at(1), OTHER_SESSION, OTHER_GATEWAY);
    rig
}

/// The jobs that the agent refused in its answers to claims, by the number of the claim.
fn answered(rig: &AgentRig) -> Vec<(u64, Vec<JobId>)> {
    let bodies = rig.sent.iter().map(|(_, message)| &message.body);
    bodies
        .filter_map(|body| match body {
            FromAgentBody::ClaimsHonored { number, refused } => Some((*number, refused.clone())),
            _ => None,
        })
        .collect()
}

/// Guards against a start by a gateway that cannot know the holder of the job.
#[test]
fn an_agent_rejects_the_start_of_a_job_that_another_gateway_has_claimed() {
    let mut rig = agent_of_two();
    rig.message(at(10), claims(3, &[1], &[]));
    assert_eq!(answered(&rig), [(3, Vec::new())]);
    let batch = rig.batch(1, 1, 0);
    rig.message_from(at(20), OTHER_SESSION, batch);
    assert!(rig.take_starts().is_empty());
    let duplicate = EndKind::NotStarted(NotStartedReason::Duplicate);
    assert_eq!(rig.ends(), [(task(1, 0), duplicate)]);
}

/// Guards against jobs that nobody can start any more.
#[rstest]
#[case::released(Some(30), 40)]
#[case::over(None, 10 + CLAIM_HONOR_TIME.as_millis())]
fn a_job_may_be_started_again_when_its_claim_has_ended(
    #[case] released_at_millis: Option<u64>,
    #[case] started_at_millis: u64,
) {
    let mut rig = agent_of_two();
    rig.message(at(10), claims(3, &[1], &[]));
    if let Some(millis) = released_at_millis {
        rig.message(at(millis), claims(4, &[], &[1]));
    }
    let now = at(started_at_millis);
    rig.register(now, "life-1", cpu(4_000), false);
    let batch = rig.batch(1, 1, 0);
    rig.message_from(now, OTHER_SESSION, batch);
    assert_eq!(rig.take_starts().len(), 1);
}

/// Guards against a holder that counts an agent at which the job runs for another gateway.
#[rstest]
#[case::running(false)]
#[case::claimed(true)]
fn an_agent_refuses_the_claim_of_a_job_of_another_gateway(#[case] is_claimed: bool) {
    let mut rig = agent_of_two();
    if is_claimed {
        rig.message_from(at(10), OTHER_SESSION, claims(7, &[1], &[]));
    } else {
        let batch = rig.batch(1, 1, 0);
        rig.message_from(at(10), OTHER_SESSION, batch);
        assert_eq!(rig.take_starts().len(), 1);
    }
    rig.message(at(20), claims(3, &[1, 2], &[]));
    assert_eq!(answered(&rig).last(), Some(&(3, vec![JobId(1)])));
}

/// Guards against a gateway that starts a job while its holder, which it cannot reach, goes on: the
/// holder is waited for as long as its claims are honored.
#[test]
fn a_holder_that_goes_on_claiming_a_job_is_waited_for() {
    let mut gateways = Gateways::new(2);
    gateways.submit_to_first();
    gateways.pass_time(20, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 20));
    let waited_for = RESUBMITTED_MILLIS + AGENT_EXPIRY.as_millis() + 1_000;
    for millis in (RESUBMITTED_MILLIS..waited_for).step_by(50) {
        gateways.hear_agents(millis);
        // Only the first gateway's claims arrive.
        let sent = std::mem::take(&mut gateways.rigs[0].to_peers);
        for (_, message) in sent {
            gateways.rigs[1].peer_message(at(millis), session_to(0), message);
        }
        gateways.rigs[1].to_peers.clear();
        assert_eq!(gateways.starts_at(1), 0, "at {millis} ms");
    }
}

/// Guards against a start of a job that another gateway holds, by a gateway that has just reached its
/// agents again and does not know the claims that were made in the meantime.
#[test]
fn a_gateway_that_returns_from_a_cut_waits_for_the_claims_of_the_others() {
    let mut gateways = Gateways::new(2);
    gateways.pass_time(10, 1_000);
    for millis in (1_000..4_000).step_by(50) {
        gateways.rigs[0].tick(at(millis));
    }
    gateways.rigs[0].to_peers.clear();
    gateways.rigs[0].submit(at(3_990), 1, patient_job(1_000, 10));
    let heartbeat = FromAgentBody::Heartbeat;
    gateways.rigs[0].report(at(4_000), FIRST_AGENT, 0, cpu(1_000), heartbeat);
    assert_eq!(gateways.starts_at(0), 0, "before the claims are known");
    gateways.pass_time(4_010, 4_120);
    assert_eq!(gateways.starts_at(0), 1, "they are known");
}

/// Guards against work that is held back where the other gateway is gone for good.
#[test]
fn a_gateway_that_returns_from_a_cut_does_not_wait_for_long() {
    let mut gateways = Gateways::new(2);
    gateways.pass_time(10, 1_000);
    for millis in (1_000..4_000).step_by(50) {
        gateways.rigs[0].tick(at(millis));
    }
    gateways.rigs[0].submit(at(3_990), 1, patient_job(3_000, 20));
    gateways.pass_time_at(0, 4_000, 4_550);
    assert_eq!(gateways.starts_at(0), 1);
}

/// Guards against a confirmation that says nothing: the other gateway holds the job itself.
#[test]
fn a_gateway_does_not_confirm_the_claim_of_a_job_that_it_holds() {
    let mut gateways = Gateways::new(2);
    gateways.submit_to_first();
    gateways.rigs[1].submit(at(20), 1, job(1, 1, 3_000));
    for number in [0, 1] {
        gateways.pass_time_at(number, 30, 700);
    }
    let sent = std::mem::take(&mut gateways.rigs[0].to_peers);
    gateways.rigs[1].to_peers.clear();
    for (_, message) in sent {
        gateways.rigs[1].peer_message(at(700), session_to(0), message);
    }
    let refused = gateways.rigs[1]
        .to_peers
        .iter()
        .find_map(|(_, message)| match message {
            ToPeer::Claim(ClaimMessage::Confirmed(ClaimConfirmation { refused, .. })) => {
                Some(refused)
            }
            _ => None,
        });
    assert_eq!(refused, Some(&vec![JobId(1)]));
}

/// Guards against a session that is closed by a peer of an older version, which cannot decode the
/// answer.
#[test]
fn a_peer_of_an_older_version_is_sent_no_confirmations() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    let member = Member {
        name: "gateway-1".into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "here".into(),
    };
    let introduction = Introduction {
        confirms_claims: false,
        ..Introduction::new(&member, Digest::default())
    };
    rig.peer_message(at(1), session_to(1), ToPeer::Introduction(introduction));
    let held = HeldJobs {
        holder: "gateway-1".into(),
        jobs: vec![JobId(1)],
        number: Some(ClaimNumber {
            incarnation: Incarnation(9),
            number: 1,
        }),
        reaches_all: false,
    };
    let claimed = ToPeer::Claim(ClaimMessage::Claimed(vec![held]));
    rig.peer_message(at(10), session_to(1), claimed);
    let is_confirmation =
        |message: &ToPeer| matches!(message, ToPeer::Claim(ClaimMessage::Confirmed(_)));
    assert!(
        !rig.to_peers
            .iter()
            .any(|(_, message)| is_confirmation(message))
    );
}

/// Guards against long jobs that are ended beside a peer of an older version, which does not answer
/// claims.
#[test]
fn a_peer_of_an_older_version_counts_as_if_it_confirmed() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    let member = Member {
        name: "gateway-1".into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "here".into(),
    };
    let introduction = Introduction {
        confirms_claims: false,
        ..Introduction::new(&member, Digest::default())
    };
    rig.peer_message(at(1), session_to(1), ToPeer::Introduction(introduction));
    rig.join(at(2), FIRST_AGENT, "agent-7", cpu(1_000));
    rig.submit(at(10), 1, patient_job(5_000, 20));
    for millis in (50..4_000).step_by(50) {
        rig.report(at(millis), FIRST_AGENT, 1, cpu(0), FromAgentBody::Heartbeat);
    }
    assert!(rig.machine.has_job(JobId(1)));
    let session = session_to(1);
    rig.event(at(4_000), GatewayEvent::PeerClosed { session });
    assert!(rig.stops.is_empty());
}

/// Guards against a gateway that tries one agent after another until one does not know the claim.
#[test]
fn a_gateway_ends_a_job_that_an_agent_says_is_claimed() {
    let mut agent = agent_of_two();
    agent.message(at(10), claims(3, &[1], &[]));
    agent.message_from(at(11), OTHER_SESSION, claims(0, &[], &[]));
    let batch = agent.batch(1, 1, 0);
    agent.message_from(at(20), OTHER_SESSION, batch);
    let claimed = EndKind::NotStarted(NotStartedReason::Claimed);
    assert_eq!(agent.ends(), [(task(1, 0), claimed)]);

    let mut rig = GatewayRig::new();
    rig.join(at(1), FIRST_AGENT, "agent-7", cpu(1_000));
    rig.join(at(1), FIRST_AGENT + 1, "agent-8", cpu(1_000));
    rig.submit(at(10), 1, patient_job(3_000, 10));
    let start = rig.next_start();
    rig.end(at(20), &start, claimed, cpu(1_000));
    rig.tick(at(200));
    assert!(rig.starts.is_empty());
    assert!(matches!(rig.last_answer(), Some(Answer::Refused { .. })));
}

/// Guards against a holder's run that is stopped by the start of a gateway that does not know it.
#[test]
fn a_rejected_start_of_a_claimed_job_does_not_stop_the_holders_run() {
    let mut rig = agent_of_two();
    let batch = rig.batch(1, 1, 0);
    rig.message(at(10), batch);
    let runs = rig.take_starts();
    rig.answer_start(at(11), runs[0], None);
    rig.message(at(12), claims(3, &[1], &[]));
    let batch = rig.batch(1, 1, 0);
    rig.message_from(at(20), OTHER_SESSION, batch);
    assert!(rig.take_stops().is_empty());
}
