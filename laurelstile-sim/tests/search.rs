//! No single fault that the platform's documents state lets a task run twice at the same time.

use laurelstile_sim::search::fault::{
    CommandType, Fault, LateLease, LateSession, ScheduledFault, TokenStart,
};
use laurelstile_sim::search::{
    Detail, Mechanism, SUBMITTED_AT, SearchOptions, Setup, play, search,
};
use rstest::rstest;

/// All kinds of faults at some of the times and durations; `laurelstile-sim search` plays all.
fn one_stated_fault(setup: Setup, stride: usize) -> SearchOptions {
    SearchOptions {
        faults: 1,
        setup,
        detail: Some(Detail::Medium),
        threads: 1,
        only_stated: true,
        kinds: Vec::new(),
        first: String::new(),
        stride,
    }
}

#[test]
fn without_faults_the_task_runs_once() {
    assert!(play(Setup::default(), &[]).is_none());
}

/// Guards against two runs of a task at the same time.
#[rstest]
#[case::new_id_at_each_start(false)]
#[case::same_id_and_start_time(true)]
fn one_stated_fault_keeps_the_task_to_one_run(#[case] has_start_times: bool) {
    let setup = Setup {
        has_start_times,
        ..Setup::default()
    };
    let report = search(&one_stated_fault(setup, 1));
    assert!(report.played > 1_000, "{} histories", report.played);
    assert!(report.classes.is_empty(), "{:#?}", report.classes);
}

/// The first snapshot of a session that the agent had left, which reached the gateway late, ended the
/// run that was started on its next session.
#[rstest]
#[case::left(LateSession::Left)]
#[case::left_for_an_earlier_dial(LateSession::LeftForEarlierDial)]
fn a_late_handshake_of_a_session_that_was_left_ends_no_run(#[case] late: LateSession) {
    let handshake = ScheduledFault {
        at: SUBMITTED_AT - 425_000,
        fault: Fault::LateHandshake(0, 0, late, 450_000),
    };
    assert!(play(Setup::default(), &[handshake]).is_none());
}

/// A delayed start of the previous agent process took effect after the present one, whose first
/// token equalled the last one of the previous process, had reported the run as lost.
#[test]
fn a_start_under_a_token_that_the_next_agent_uses_again_takes_no_effect() {
    let late_start = ScheduledFault {
        at: SUBMITTED_AT,
        fault: Fault::CarriedOutLate(0, CommandType::Start, 100_000, LateLease::Absolute),
    };
    let restart = ScheduledFault {
        at: SUBMITTED_AT + 25_000,
        fault: Fault::AgentKilled(0, 50_000, TokenStart::Equal, true),
    };
    assert!(play(Setup::default(), &[late_start, restart]).is_none());
}

/// The search finds what the mechanisms prevent.
#[rstest]
#[case::leases(Mechanism::Leases, "agent frozen")]
#[case::owner_timeout(Mechanism::OwnerTimeout, "agent cut off from all gateways")]
fn without_a_mechanism_one_fault_breaks_the_rule(#[case] without: Mechanism, #[case] kind: &str) {
    let setup = Setup {
        without: Some(without),
        ..Setup::default()
    };
    let report = search(&one_stated_fault(setup, 4));
    let is_found = report.classes.iter().any(|class| class.kinds == [kind]);
    assert!(is_found, "{:#?}", report.classes);
}
