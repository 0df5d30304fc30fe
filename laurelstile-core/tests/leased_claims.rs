//! Jobs that are submitted again to another gateway while their first gateway still holds them.
//!
//! The first gateway has not noticed that its caller's connection ended. The tests guard against a
//! job that runs at two gateways, and against jobs that wait for a gateway that has ended.

mod leased_support;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::messages::{
    ClaimMessage, EndKind, FromAgentBody, Introduction, Member, ToPeer,
};
use laurelstile_core::leased::timing::CLAIM_HONOR_TIME;
use laurelstile_types::time::Span;
use leased_support::{
    FIRST_AGENT, GatewayRig, Gateways, RESUBMITTED_MILLIS, agent_of, at, cpu, job, patient_job,
    session_to, task,
};
use rstest::rstest;

/// When the last claim of a job that was submitted at 10 ms arrives, if the time passes until
/// [`RESUBMITTED_MILLIS`] - 50 ms.
const LAST_CLAIM_MILLIS: u64 = 1_220;
/// How much later than gateways agents may be sent a claim.
const AGENTS_ASKED_MILLIS: u64 = 300;

/// The second gateway starts the task once the run at the first one has ended, with a higher number.
#[test]
fn a_job_does_not_run_at_two_gateways() {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.resubmit(1);
    gateways.pass_time(RESUBMITTED_MILLIS + 1, 2_000);
    assert_eq!(gateways.rigs[0].stops, [task(1, 0)]);
    assert_eq!(gateways.rigs[0].answers, [(CallNumber(1), Answer::GivenUp)]);
    assert_eq!(gateways.starts_at(1), 0, "started beside the first run");
    gateways.rigs[0].end(at(2_001), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_002);
    let (_, batch) = gateways.rigs[1].next_start();
    assert!(batch.tasks[0].1 > first_run.1.tasks[0].1);
    gateways.pass_time(2_010, 3_000);
    assert_eq!(gateways.starts_at(0) + gateways.starts_at(1), 0);
}

/// The first gateway noticed the end of the connection late, and its agent has not confirmed the
/// stop when the job is submitted again.
#[test]
fn a_job_that_is_being_stopped_does_not_run_at_another_gateway() {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.submit_to_first();
    gateways.pass_time(20, 700);
    let call = CallNumber(1);
    gateways.rigs[0].event(at(700), GatewayEvent::CallerDisconnected { call });
    gateways.pass_time(710, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, job(1, 1, 1_000));
    gateways.pass_time(RESUBMITTED_MILLIS + 1, 1_600);
    assert_eq!(gateways.starts_at(1), 0, "started beside the first run");
    gateways.rigs[0].end(at(1_601), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(1_602);
    assert_eq!(gateways.starts_at(1), 1);
}

/// The release is confirmed by the expiry of an agent that is silent.
#[test]
fn a_job_at_a_silent_agent_is_released_when_the_agent_expires() {
    let mut gateways = Gateways::new(2);
    gateways.resubmit(1);
    for millis in (RESUBMITTED_MILLIS + 1..2_500).step_by(50) {
        let heartbeat = FromAgentBody::Heartbeat;
        gateways.rigs[1].report(at(millis), agent_of(1), 0, cpu(1_000), heartbeat);
        gateways.deliver(millis);
        assert_eq!(gateways.starts_at(1), 0, "at {millis} ms");
    }
    gateways.rigs[0].tick(at(2_700));
    gateways.deliver(2_701);
    assert_eq!(gateways.starts_at(1), 1);
}

#[test]
fn claims_and_releases_reach_gateways_without_a_session_to_the_holder() {
    let mut gateways = Gateways::linked(4, vec![(0, 1), (1, 2), (2, 3), (1, 3)]);
    let first_run = gateways.resubmit(3);
    gateways.pass_time(RESUBMITTED_MILLIS + 1, 2_000);
    assert_eq!(gateways.starts_at(3), 0, "started beside the first run");
    gateways.rigs[0].end(at(2_001), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_002);
    assert_eq!(gateways.starts_at(3), 1);
}

/// The process of the first gateway has ended, or it is suspended, or it goes on beyond a network
/// partition until the others honor its last claim no longer.
#[rstest]
#[case::ended_soon_after_its_claim(Some(1_351))]
#[case::ended_later(Some(1_390))]
#[case::suspended(None)]
fn a_job_whose_holder_does_not_answer_is_placed_when_its_claim_is_over(
    #[case] closed_at_millis: Option<u64>,
) {
    let mut gateways = Gateways::new(2);
    gateways.submit_to_first();
    gateways.pass_time(20, RESUBMITTED_MILLIS - 50);
    let second = &mut gateways.rigs[1];
    if let Some(millis) = closed_at_millis {
        let session = session_to(0);
        second.event(at(millis), GatewayEvent::PeerClosed { session });
    }
    second.submit(at(RESUBMITTED_MILLIS), 1, patient_job(1_000, 10));
    let placed_at = LAST_CLAIM_MILLIS + CLAIM_HONOR_TIME.as_millis() + AGENTS_ASKED_MILLIS;
    for millis in (RESUBMITTED_MILLIS..placed_at).step_by(50) {
        second.report(
            at(millis),
            agent_of(1),
            0,
            cpu(1_000),
            FromAgentBody::Heartbeat,
        );
        assert!(second.starts.is_empty(), "at {millis} ms");
    }
    second.report(
        at(placed_at),
        agent_of(1),
        0,
        cpu(1_000),
        FromAgentBody::Heartbeat,
    );
    assert_eq!(second.starts.len(), 1);
}

/// The caller lost the answer.
#[test]
fn a_job_that_has_ended_at_its_holder_is_placed_at_once() {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.submit_to_first();
    gateways.pass_time(20, 1_000);
    gateways.rigs[0].end(at(1_000), &first_run, EndKind::Done, cpu(1_000));
    gateways.pass_time(1_010, 2_300);
    gateways.rigs[1].submit(at(2_300), 1, job(1, 1, 1_000));
    assert_eq!(gateways.starts_at(1), 0);
    gateways.deliver(2_301);
    assert_eq!(gateways.starts_at(1), 1);
}

/// The second gateway read the submission before the claim.
#[test]
fn a_claim_of_a_job_that_was_submitted_here_before_has_it_released() {
    let mut gateways = Gateways::new(2);
    gateways.submit_to_first();
    for number in [0, 1] {
        gateways.pass_time_at(number, 20, RESUBMITTED_MILLIS);
    }
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, job(1, 1, 1_000));
    gateways.deliver(RESUBMITTED_MILLIS + 1);
    assert_eq!(gateways.rigs[0].stops, [task(1, 0)]);
    assert!(
        gateways.rigs[1].stops.is_empty(),
        "the later submission goes on"
    );
}

/// The job is at the second gateway by now; the first one repeats its claim to a peer that reconnects.
#[test]
fn a_released_job_is_not_claimed_to_a_new_peer() {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.resubmit(1);
    gateways.deliver(RESUBMITTED_MILLIS + 1);
    let first = &mut gateways.rigs[0];
    first.end(at(1_410), &first_run, EndKind::Stopped, cpu(1_000));
    first.to_peers.clear();
    let session = session_to(1);
    first.event(at(1_420), GatewayEvent::PeerClosed { session });
    first.open_peer(at(1_430), session);
    introduce(first, 1_431, true);
    assert_eq!(claims_sent(first), 0);
}

/// The caller submits its job to a third gateway while two others have claimed it.
#[test]
fn a_job_is_placed_once_all_holders_have_released_it() {
    let mut gateways = Gateways::new(3);
    let first_run = gateways.resubmit(1);
    gateways.pass_time(RESUBMITTED_MILLIS + 1, 1_450);
    gateways.rigs[0].end(at(1_450), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(1_451);
    let second_run = gateways.rigs[1].next_start();
    gateways.pass_time(1_460, 2_700);
    gateways.rigs[2].submit(at(2_700), 1, job(1, 1, 1_000));
    gateways.pass_time(2_701, 2_900);
    assert_eq!(gateways.starts_at(2), 0, "started beside the second run");
    gateways.rigs[1].end(at(2_900), &second_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_901);
    assert_eq!(gateways.starts_at(2), 1);
}

/// The first gateway was suspended, and reads a submission whose caller has already submitted the job
/// to the second gateway.
#[test]
fn a_submission_that_waited_while_its_gateway_was_suspended_is_released() {
    let mut gateways = Gateways::new(2);
    gateways.pass_time(10, 100);
    gateways.pass_time_at(1, 100, 1_500);
    gateways.rigs[1].submit(at(1_500), 1, job(1, 1, 1_000));
    gateways.rigs[0].submit(at(1_550), 1, job(1, 1, 1_000));
    gateways.pass_time(1_551, 1_900);
    assert_eq!(
        gateways.starts_at(0),
        0,
        "started beside the later submission"
    );
    assert_eq!(gateways.starts_at(1), 1);
    assert_eq!(gateways.rigs[0].answers, [(CallNumber(1), Answer::GivenUp)]);
}

/// Both gateways were suspended, and neither knows which submission is the later one.
#[test]
fn one_of_two_submissions_that_waited_goes_on() {
    let mut gateways = Gateways::new(2);
    for number in [0, 1] {
        gateways.rigs[number].submit(at(1_500), 1, job(1, 1, 1_000));
    }
    gateways.pass_time(1_501, 1_900);
    assert_eq!(gateways.starts_at(0) + gateways.starts_at(1), 1);
}

/// A task may have started at the first gateway, so the answer must not say that none has.
#[test]
fn a_job_that_waits_for_its_release_is_not_refused_as_not_run() {
    let mut gateways = Gateways::new(2);
    gateways.resubmit(1);
    gateways.pass_time(RESUBMITTED_MILLIS + 1, 6_000);
    let answers = &gateways.rigs[1].answers;
    assert_eq!(*answers, [(CallNumber(1), Answer::GivenUp)]);
}

/// Claims would be a message for every job.
#[test]
fn a_job_that_ends_before_its_caller_can_resubmit_it_is_not_claimed() {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, job(1, 1, 500));
    let run = gateways.rigs[0].next_start();
    gateways.rigs[0].end(at(800), &run, EndKind::Done, cpu(1_000));
    for millis in (850..4_000).step_by(50) {
        gateways.rigs[0].report(
            at(millis),
            FIRST_AGENT,
            1,
            cpu(1_000),
            FromAgentBody::Heartbeat,
        );
        assert_eq!(claims_sent(&gateways.rigs[0]), 0, "at {millis} ms");
    }
}

/// A job is claimed for as long as it is held, every 300 ms: peers honor a claim for a short time.
#[test]
fn a_job_that_is_held_for_long_is_claimed_again() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    introduce(&mut rig, 1, true);
    rig.join(at(2), FIRST_AGENT, "agent-7", cpu(1_000));
    let mut long = job(1, 1, 9_000);
    long.time_left = Span::from_secs(20);
    rig.submit(at(10), 1, long);
    for millis in (50..9_000).step_by(50) {
        rig.report(at(millis), FIRST_AGENT, 1, cpu(0), FromAgentBody::Heartbeat);
    }
    assert!(rig.answers.is_empty());
    assert_eq!(claims_sent(&rig), 28);
}

/// An older version would close the session on a message that it can't decode.
#[test]
fn a_peer_of_an_older_version_is_sent_no_claims() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    introduce(&mut rig, 1, false);
    rig.join(at(2), FIRST_AGENT, "agent-7", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 3_000));
    for millis in (50..3_000).step_by(50) {
        rig.report(at(millis), FIRST_AGENT, 1, cpu(0), FromAgentBody::Heartbeat);
    }
    assert_eq!(claims_sent(&rig), 0);
}

/// A peer that connects after a claim receives it.
#[test]
fn a_new_peer_is_sent_the_claims() {
    let mut rig = GatewayRig::new();
    rig.join(at(2), FIRST_AGENT, "agent-7", cpu(1_000));
    rig.submit(at(10), 1, job(1, 1, 3_000));
    for millis in (50..1_000).step_by(50) {
        rig.report(at(millis), FIRST_AGENT, 1, cpu(0), FromAgentBody::Heartbeat);
    }
    rig.open_peer(at(1_000), session_to(1));
    introduce(&mut rig, 1_001, true);
    assert_eq!(claims_sent(&rig), 1);
}

fn introduce(rig: &mut GatewayRig, millis: u64, understands_claims: bool) {
    let member = Member {
        name: "gateway-1".into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "here".into(),
    };
    // The test answers no claims, as a peer of an older version.
    let introduction = Introduction {
        understands_claims,
        confirms_cancels: understands_claims,
        confirms_claims: false,
        ..Introduction::new(&member, Digest::default())
    };
    rig.peer_message(
        at(millis),
        session_to(1),
        ToPeer::Introduction(introduction),
    );
}

fn claims_sent(rig: &GatewayRig) -> usize {
    let messages = rig.to_peers.iter().map(|(_, message)| message);
    let is_claim = |message: &&ToPeer| matches!(message, ToPeer::Claim(ClaimMessage::Claimed(_)));
    messages.filter(is_claim).count()
}
