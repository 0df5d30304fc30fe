//! Releases of jobs between gateways under loss, suspension and repetition.
//!
//! The tests guard against jobs that run at two gateways since a request or an answer was lost, late
//! or for an earlier submission, and against jobs that are held back or given up without need.

mod leased_support;

use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::messages::{
    ClaimMessage, EndKind, FromAgentBody, HeldJobs, Introduction, Member, ReleaseRequest,
    StartBatch, ToPeer,
};
use laurelstile_core::leased::task::{JobId, RunNumber};
use laurelstile_core::leased::timing::AGENT_EXPIRY;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use leased_support::{
    FIRST_AGENT, GatewayRig, Gateways, RESUBMITTED_MILLIS, agent_of, at, cpu, job, patient_job,
    session_to, task,
};
use rstest::rstest;

/// The job's run at the first gateway was lost once, so that its second run has a higher number
/// than the run at the second gateway.
fn with_second_run_at_first() -> (Gateways, (SessionId, StartBatch)) {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.submit_to_first();
    gateways.rigs[0].end(at(50), &first_run, EndKind::Stopped, cpu(1_000));
    for number in [0, 1] {
        gateways.pass_time_at(number, 60, RESUBMITTED_MILLIS);
    }
    let second_run = gateways.rigs[0].next_start();
    (gateways, second_run)
}

/// The second gateway had started the task before it read the claim.
#[test]
fn a_late_release_does_not_renumber_a_run() {
    let (mut gateways, first_run) = with_second_run_at_first();
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, job(1, 1, 1_000));
    let run = gateways.rigs[1].next_start();
    gateways.deliver(RESUBMITTED_MILLIS + 1);
    gateways.rigs[0].end(at(1_410), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(1_411);
    gateways.rigs[1].end(at(2_001), &run, EndKind::Done, cpu(1_000));
    let answers = &gateways.rigs[1].answers;
    assert_eq!(*answers, [(CallNumber(1), Answer::Completed)]);
}

/// The request or its session was lost, and the sessions open again later.
#[rstest]
#[case::no_session_at_the_submission(1_200, 1_500)]
#[case::lost_with_its_session(1_401, 1_450)]
fn a_release_is_requested_until_it_is_confirmed(
    #[case] separated_millis: u64,
    #[case] reconnected_millis: u64,
) {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(3_000, 10));
    gateways.rigs[0].next_start();
    gateways.pass_time(20, RESUBMITTED_MILLIS.min(separated_millis));
    if separated_millis < RESUBMITTED_MILLIS {
        gateways.separate(separated_millis);
        for number in [0, 1] {
            gateways.pass_time_at(number, separated_millis, RESUBMITTED_MILLIS);
        }
        gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 10));
    } else {
        gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 10));
        gateways.separate(separated_millis);
    }
    gateways.reconnect(reconnected_millis);
    gateways.pass_time(1_500, 2_500);
    assert_eq!(gateways.rigs[0].stops, [task(1, 0)]);
    assert_eq!(gateways.rigs[0].answers, [(CallNumber(1), Answer::GivenUp)]);
}

/// The job has been submitted to the first gateway, the second one and the first one again, which
/// runs it; each end of the caller's connection went unnoticed. Returns the messages of the first
/// release as well.
fn back_at_first() -> (Gateways, (SessionId, StartBatch), Vec<ToPeer>) {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(3_000, 10));
    let first_run = gateways.rigs[0].next_start();
    gateways.pass_time(20, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 10));
    let mut messages: Vec<ToPeer> = messages_of(&gateways.rigs[1]);
    gateways.deliver(1_401);
    gateways.rigs[0].end(at(1_410), &first_run, EndKind::Stopped, cpu(1_000));
    messages.extend(messages_of(&gateways.rigs[0]));
    gateways.deliver(1_411);
    let second_run = gateways.rigs[1].next_start();
    gateways.pass_time(1_450, 2_800);
    gateways.rigs[0].submit(at(2_800), 2, patient_job(3_000, 10));
    gateways.deliver(2_801);
    gateways.rigs[1].end(at(2_810), &second_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_811);
    let third_run = gateways.rigs[0].next_start();
    (gateways, third_run, messages)
}

fn messages_of(rig: &GatewayRig) -> Vec<ToPeer> {
    let messages = rig.to_peers.iter().map(|(_, message)| message.clone());
    messages.collect()
}

#[test]
fn a_job_that_comes_back_is_released_again() {
    let (mut gateways, third_run, _) = back_at_first();
    gateways.pass_time(2_850, 4_200);
    gateways.rigs[1].submit(at(4_200), 2, patient_job(3_000, 10));
    gateways.pass_time(4_201, 4_400);
    assert_eq!(gateways.starts_at(1), 0, "started beside the third run");
    gateways.rigs[0].end(at(4_400), &third_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(4_401);
    assert_eq!(gateways.starts_at(1), 1);
}

/// Guards against a start beside a run at another gateway: its claim arrived soon after its release of
/// an earlier submission, and was taken for older than that.
#[test]
fn a_claim_of_a_new_submission_soon_after_a_release_is_recorded() {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(3_000, 10));
    let first_run = gateways.rigs[0].next_start();
    gateways.pass_time(20, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 10));
    gateways.deliver(1_401);
    gateways.pass_time(1_450, 2_650);
    assert_eq!(gateways.starts_at(1), 0, "waits for the release");
    gateways.rigs[0].end(at(2_660), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_661);
    let second_run = gateways.rigs[1].next_start();
    gateways.rigs[0].submit(at(2_710), 2, patient_job(3_000, 10));
    gateways.deliver(2_711);
    gateways.rigs[1].end(at(2_720), &second_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_721);
    gateways.rigs[0].next_start();
    gateways.pass_time(2_750, 4_020);
    gateways.rigs[1].submit(at(4_020), 2, patient_job(3_000, 10));
    gateways.deliver(4_021);
    gateways.pass_time(4_050, 4_100);
    assert_eq!(gateways.starts_at(1), 0, "started beside the third run");
}

/// Copies of the first release arrive over other gateways after the caller has come back.
#[test]
fn late_copies_of_a_release_have_no_effect() {
    let (mut gateways, _, messages) = back_at_first();
    for message in &messages {
        gateways.rigs[0].peer_message(at(2_900), session_to(1), message.clone());
    }
    assert!(
        gateways.rigs[0].machine.has_job(JobId(1)),
        "given up by both"
    );
    gateways.pass_time(2_950, 4_200);
    gateways.rigs[1].submit(at(4_200), 2, patient_job(3_000, 10));
    for message in messages {
        gateways.rigs[1].peer_message(at(4_210), session_to(0), message);
    }
    gateways.pass_time_at(1, 4_220, 4_400);
    assert_eq!(gateways.starts_at(1), 0, "started beside the third run");
}

/// A copy of a claim that was forwarded more slowly than the release.
#[test]
fn a_late_copy_of_a_claim_does_not_delay_a_released_job() {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.submit_to_first();
    gateways.pass_time(20, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, job(1, 2, 1_000));
    gateways.deliver(1_401);
    gateways.rigs[0].end(at(1_405), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(1_406);
    let one_task = gateways.rigs[1].next_start();
    gateways.rigs[1].peer_message(at(1_420), session_to(0), claim_of_first());
    gateways.pass_time(1_430, 1_600);
    gateways.rigs[1].end(at(1_600), &one_task, EndKind::Done, cpu(1_000));
    assert_eq!(gateways.starts_at(1), 1, "the other task waits");
}

fn claim_of_first() -> ToPeer {
    let held = HeldJobs {
        holder: "gateway-0".into(),
        jobs: vec![JobId(1)],
        number: None,
        reaches_all: false,
    };
    ToPeer::Claim(ClaimMessage::Claimed(vec![held]))
}

/// The holder never answers, but its claims go on arriving.
#[test]
fn repeated_claims_do_not_hold_a_job_back() {
    let mut gateways = Gateways::new(2);
    gateways.rigs[1].peer_message(at(900), session_to(0), claim_of_first());
    gateways.pass_time_at(1, 910, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(9_000, 30));
    let placed_by = RESUBMITTED_MILLIS + AGENT_EXPIRY.as_millis() + 100;
    for millis in (RESUBMITTED_MILLIS + 10..placed_by).step_by(500) {
        gateways.rigs[1].peer_message(at(millis), session_to(0), claim_of_first());
        gateways.pass_time_at(1, millis, millis + 500);
    }
    assert_eq!(gateways.starts_at(1), 1);
}

/// The holder has been suspended, for longer than its claim is kept in the second case.
#[rstest]
#[case::for_less(2_800, 5_000, 6_200)]
#[case::for_longer(1_100, 5_500, 7_100)]
fn a_holder_that_was_suspended_gives_the_job_up_as_it_resumes(
    #[case] suspended_millis: u64,
    #[case] resubmitted_millis: u64,
    #[case] resumed_millis: u64,
) {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(9_000, 20));
    gateways.rigs[0].next_start();
    gateways.pass_time(20, suspended_millis);
    gateways.pass_time_at(1, suspended_millis, resubmitted_millis);
    gateways.rigs[1].submit(at(resubmitted_millis), 1, patient_job(9_000, 20));
    gateways.pass_time_at(1, resubmitted_millis + 10, resumed_millis);
    gateways.deliver(resumed_millis);
    gateways.pass_time(resumed_millis + 50, resumed_millis + 1_500);
    assert!(
        gateways.rigs[1].answers.is_empty(),
        "the later submission goes on"
    );
    assert_eq!(gateways.starts_at(0), 0, "started beside the later run");
}

/// The holder is suspended. Its runs go on for longer than a request takes over several hops.
#[test]
fn a_holder_without_a_session_is_waited_for_until_its_runs_are_over() {
    let mut gateways = Gateways::linked(3, vec![(0, 1), (1, 2)]);
    gateways.submit_to_first();
    gateways.pass_time(20, RESUBMITTED_MILLIS);
    gateways.rigs[2].submit(at(RESUBMITTED_MILLIS), 1, job(1, 1, 1_000));
    gateways.pass_time_at(2, RESUBMITTED_MILLIS + 10, RESUBMITTED_MILLIS + 1_200);
    assert_eq!(gateways.starts_at(2), 0);
}

/// The second gateway was suspended: a cancel may be queued behind the submission.
#[test]
fn a_release_does_not_end_the_delay_after_a_suspension() {
    let mut gateways = Gateways::new(2);
    let first_run = gateways.submit_to_first();
    gateways.pass_time(20, 1_250);
    gateways.pass_time_at(0, 1_250, 2_300);
    gateways.rigs[1].submit(at(2_300), 1, job(1, 1, 1_000));
    gateways.deliver(2_301);
    gateways.rigs[0].end(at(2_302), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(2_303);
    assert_eq!(gateways.starts_at(1), 0, "the backlog has not been read");
    gateways.pass_time(2_350, 2_500);
    assert_eq!(gateways.starts_at(1), 1);
}

/// No run of the job started at either gateway, and there is no room at the second one.
#[test]
fn a_released_job_that_has_not_run_is_refused() {
    let mut gateways = Gateways::new(2);
    for number in [0, 1] {
        let rig = &mut gateways.rigs[number];
        rig.report(at(3), agent_of(number), 0, cpu(0), FromAgentBody::Heartbeat);
    }
    let full = |gateways: &mut Gateways, from: u64, to: u64| {
        for millis in (from..to).step_by(50) {
            for number in [0, 1] {
                let rig = &mut gateways.rigs[number];
                rig.report(
                    at(millis),
                    agent_of(number),
                    0,
                    cpu(0),
                    FromAgentBody::Heartbeat,
                );
            }
            gateways.deliver(millis);
        }
    };
    gateways.rigs[0].submit(at(10), 1, patient_job(6_000, 12));
    full(&mut gateways, 20, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(6_000, 12));
    full(&mut gateways, RESUBMITTED_MILLIS + 1, 5_000);
    let answers = &gateways.rigs[1].answers;
    assert!(
        matches!(answers[..], [(_, Answer::Refused { .. })]),
        "{answers:?}"
    );
}

/// Each submission of a job replaces the claims of the one before.
#[test]
fn a_resubmitted_job_is_not_claimed_more_often() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    let member = Member {
        name: "gateway-1".into(),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "here".into(),
    };
    let introduction = Introduction::new(&member, Digest::default());
    rig.peer_message(at(1), session_to(1), ToPeer::Introduction(introduction));
    rig.join(at(2), FIRST_AGENT, "agent-7", cpu(1_000));
    let pass_time = |rig: &mut GatewayRig, from: u64, to: u64| {
        for millis in (from..to).step_by(50) {
            rig.report(at(millis), FIRST_AGENT, 0, cpu(0), FromAgentBody::Heartbeat);
        }
    };
    for (number, millis) in (0..4).zip((10..).step_by(1_500)) {
        rig.submit(at(millis), number, patient_job(15_000, 40));
        pass_time(&mut rig, millis, millis + 1_400);
        let call = CallNumber(number);
        rig.event(
            at(millis + 1_400),
            GatewayEvent::CallerDisconnected { call },
        );
    }
    rig.submit(at(6_010), 4, patient_job(15_000, 40));
    rig.to_peers.clear();
    pass_time(&mut rig, 6_020, 16_000);
    let is_claim = |message: &ToPeer| matches!(message, ToPeer::Claim(ClaimMessage::Claimed(_)));
    let claims = messages_of(&rig).into_iter().filter(is_claim).count();
    assert_eq!(claims, 32);
}

/// An older version would close the session on a message that it can't decode.
#[test]
fn a_peer_of_an_older_version_is_sent_no_requests() {
    let mut rig = GatewayRig::new();
    rig.open_peer(at(1), session_to(1));
    rig.join(at(2), FIRST_AGENT, "agent-7", cpu(1_000));
    rig.peer_message(at(900), session_to(2), claim_of_first());
    rig.submit(at(950), 1, job(1, 1, 1_000));
    let request = ReleaseRequest {
        job: JobId(2),
        holder: "gateway-3".into(),
        requester: "gateway-2".into(),
        number: 1,
    };
    let message = ToPeer::Claim(ClaimMessage::ReleaseRequested(request));
    rig.peer_message(at(960), session_to(2), message);
    rig.tick(at(1_200));
    let is_claim = |message: &ToPeer| matches!(message, ToPeer::Claim(_));
    assert!(!messages_of(&rig).iter().any(is_claim));
}

/// The claims and releases that one gateway has sent to the others.
fn claims_of(rig: &GatewayRig) -> Vec<ToPeer> {
    let is_claim = |message: &ToPeer| matches!(message, ToPeer::Claim(_));
    messages_of(rig).into_iter().filter(is_claim).collect()
}

/// Guards against work that is held back: a copy of a claim that was forwarded for longer than a second
/// was taken for a claim of a new submission, and its holder was asked for a release.
#[test]
fn a_copy_of_a_claim_that_is_older_than_the_release_is_ignored_however_late() {
    let mut gateways = Gateways::new(2);
    gateways.rigs[0].submit(at(10), 1, patient_job(3_000, 10));
    let first_run = gateways.rigs[0].next_start();
    gateways.hear_agents(950);
    let claim = claims_of(&gateways.rigs[0]);
    assert!(!claim.is_empty());
    gateways.deliver(951);
    gateways.pass_time(960, RESUBMITTED_MILLIS);
    gateways.rigs[1].submit(at(RESUBMITTED_MILLIS), 1, patient_job(3_000, 10));
    gateways.deliver(1_401);
    gateways.rigs[0].end(at(1_405), &first_run, EndKind::Stopped, cpu(1_000));
    gateways.deliver(1_406);
    let second_run = gateways.rigs[1].next_start();
    gateways.pass_time(1_450, 2_500);
    for message in claim {
        gateways.rigs[1].peer_message(at(2_500), session_to(0), message);
    }
    gateways.rigs[1].end(at(2_550), &second_run, EndKind::Stopped, cpu(1_000));
    assert_eq!(gateways.starts_at(1), 1, "waits for a holder that has gone");
}

/// Guards against a start beside a run at another gateway: the claim of the new submission came over a
/// faster path than the release of the earlier one, which then removed it.
#[test]
fn a_claim_that_overtakes_the_release_before_it_is_kept() {
    let mut gateways = Gateways::new(2);
    gateways.submit_to_first();
    gateways.pass_time(20, 1_000);
    let request = ReleaseRequest {
        job: JobId(1),
        holder: "gateway-0".into(),
        requester: "gateway-2".into(),
        number: 1,
    };
    let request = ToPeer::Claim(ClaimMessage::ReleaseRequested(request));
    gateways.rigs[0].peer_message(at(1_010), session_to(1), request);
    gateways.rigs[0].to_peers.clear();
    let agent = agent_of(0);
    gateways.rigs[0].lose_session(at(1_020), agent);
    gateways.rigs[0].tick(at(3_000));
    let release = claims_of(&gateways.rigs[0]);
    let is_release =
        |message: &&ToPeer| matches!(message, ToPeer::Claim(ClaimMessage::Released { .. }));
    assert_eq!(release.iter().filter(is_release).count(), 1);
    gateways.rigs[0].to_peers.clear();
    gateways.rigs[0].submit(at(3_010), 2, patient_job(3_000, 10));
    gateways.rigs[0].tick(at(4_000));
    let claim = claims_of(&gateways.rigs[0]);
    for (millis, message) in (4_010..).zip(claim.into_iter().chain(release)) {
        gateways.rigs[1].peer_message(at(millis), session_to(0), message);
    }
    gateways.rigs[1].to_peers.clear();
    gateways.rigs[1].submit(at(4_400), 3, patient_job(3_000, 10));
    let requests = claims_of(&gateways.rigs[1]);
    let is_request =
        |message: &&ToPeer| matches!(message, ToPeer::Claim(ClaimMessage::ReleaseRequested(_)));
    assert_eq!(requests.iter().filter(is_request).count(), 1);
    assert_eq!(gateways.starts_at(1), 0, "started beside the second run");
}

/// Guards against a start beside a run at another gateway: the answer to a request of the earlier
/// process arrived late, and was taken for the answer to one of the present process.
#[test]
fn an_answer_to_an_earlier_process_confirms_no_release() {
    let mut gateways = Gateways::new(2);
    gateways.submit_to_first();
    gateways.pass_time(20, RESUBMITTED_MILLIS);
    gateways.rigs[1] = GatewayRig::of_process("gateway-1", Incarnation(u64::MAX));
    gateways.rigs[1].open_peer(at(1_400), session_to(0));
    gateways.rigs[1].join(at(1_401), agent_of(1), "agent-1", cpu(1_000));
    gateways.rigs[1].peer_message(at(1_402), session_to(0), claim_of_first());
    gateways.rigs[1].submit(at(1_410), 1, patient_job(3_000, 10));
    for number in 1..=2 {
        let request = ReleaseRequest {
            job: JobId(1),
            holder: "gateway-0".into(),
            requester: "gateway-1".into(),
            number,
        };
        let released = ClaimMessage::Released {
            request,
            last_run: RunNumber::default(),
            number: None,
        };
        let released = ToPeer::Claim(released);
        gateways.rigs[1].peer_message(at(1_420), session_to(0), released);
    }
    gateways.pass_time_at(1, 1_450, 2_000);
    assert_eq!(gateways.starts_at(1), 0, "started beside the first run");
}

/// Guards against gateways that forward copies of the same messages to each other without end, also when
/// nothing more is requested: more requests were under way, as after a cut, than a gateway remembers.
#[rstest]
#[case::as_many_as_are_remembered(1_000)]
#[case::half_more(1_500)]
#[case::many_more(5_000)]
fn release_requests_of_a_cut_are_forwarded_once(#[case] requests: u64) {
    let mut gateways = Gateways::new(3);
    for number in 1..=requests {
        let request = ReleaseRequest {
            job: JobId(1_000 + number),
            holder: "gateway-out-of-reach".into(),
            requester: "gateway-0".into(),
            number,
        };
        let message = ToPeer::Claim(ClaimMessage::ReleaseRequested(request));
        gateways.rigs[1].peer_message(at(10), session_to(0), message);
    }
    // Each gateway is one hop from the others.
    let rounds: Vec<usize> = (0..6).map(|_| gateways.deliver_once(10)).collect();
    assert_eq!(rounds.last(), Some(&0), "messages by round: {rounds:?}");
}
