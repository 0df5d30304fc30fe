//! The checker rejects a hand-made bad history for each of the eight points,
//! and accepts a good one.

use laurelstile_history::check::{Bounds, Point, check};
use laurelstile_history::event::{Event, Record, ResultTag};
use laurelstile_types::outcome::{Reason, RunState};
use rstest::rstest;

const SECOND: u64 = 1_000_000;

fn at(seconds: u64, node: &str, event: Event) -> Record {
    Record {
        at_micros: seconds * SECOND,
        node: node.to_owned(),
        event,
    }
}

fn submitted(seconds: u64, request: &str, tasks: u32) -> Record {
    let event = Event::Submitted {
        request: request.to_owned(),
        gateway: "gateway-1".to_owned(),
        tasks,
        key: None,
    };
    at(seconds, "caller", event)
}

fn started(seconds: u64, request: &str, task: u32, key: Option<&str>) -> Record {
    let event = Event::TaskStarted {
        submission: format!("s-{request}"),
        task,
        dispatch: format!("s-{request}.{task}@1"),
        request: request.to_owned(),
        key: key.map(Into::into),
    };
    at(seconds, "worker-1", event)
}

fn answered(seconds: u64, request: &str, results: &[(&str, u32)]) -> Record {
    let results = results
        .iter()
        .map(|(request, task)| ResultTag {
            request: (*request).to_owned(),
            task: *task,
        })
        .collect();
    let event = Event::Answered {
        request: request.to_owned(),
        results,
    };
    at(seconds, "caller", event)
}

fn failed(seconds: u64, request: &str, run_state: RunState, reason: Reason) -> Record {
    let event = Event::Failed {
        request: request.to_owned(),
        run_state,
        reason,
    };
    at(seconds, "caller", event)
}

fn in_force(seconds: u64, node: &str, revision: u64) -> Record {
    let event = Event::InForce {
        incarnation: "1".to_owned(),
        revision,
    };
    at(seconds, node, event)
}

fn change(seconds: u64, id: &str) -> Record {
    let event = Event::ChangeRequested { change: id.into() };
    at(seconds, "operator", event)
}

fn accepted(seconds: u64, id: &str, revision: u64, drains: Option<&str>) -> Record {
    let event = Event::ChangeAccepted {
        change: id.into(),
        revision,
        drains: drains.map(str::to_owned),
    };
    at(seconds, "operator", event)
}

fn stop(seconds: u64, target: &str) -> Record {
    let event = Event::StopBegan {
        target: target.to_owned(),
    };
    at(seconds, "lab", event)
}

fn claim(seconds: u64, submission: &str, granted: Option<bool>) -> Record {
    let claim = "tenant/service/key".to_owned();
    let submission = submission.to_owned();
    let event = match granted {
        None => Event::ClaimRequested { claim, submission },
        Some(granted) => Event::ClaimDecided {
            claim,
            submission,
            granted,
        },
    };
    at(seconds, "gateway-1", event)
}

fn broken(records: &[Record]) -> Vec<Point> {
    let report = check(records, Bounds::default());
    report.violations_by_point().into_keys().collect()
}

#[test]
fn a_good_history_passes() {
    let records = [
        change(0, "a"),
        accepted(1, "a", 1, None),
        in_force(1, "gateway-1", 1),
        in_force(2, "worker-1", 1),
        submitted(3, "r", 2),
        started(4, "r", 0, Some("k")),
        started(4, "r", 1, Some("k")),
        stop(5, "gateway-1"),
        answered(6, "r", &[("r", 0), ("r", 1)]),
        submitted(7, "q", 1),
        failed(8, "q", RunState::NotRun, Reason::GatewayStopping),
        change(9, "b"),
        accepted(10, "b", 2, Some("worker-1")),
        in_force(11, "worker-1", 2),
        claim(12, "s", None),
        claim(13, "s", Some(true)),
        claim(14, "t", None),
        claim(15, "t", Some(false)),
    ];
    let report = check(&records, Bounds::default());
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert_eq!((report.submissions, report.answered), (2, 1));
    assert_eq!(report.refused_not_run, 1);
}

#[rstest]
#[case::task_starts_twice(
    vec![submitted(0, "r", 1), started(1, "r", 0, None), started(2, "r", 0, None)],
    Point::StartsOnce
)]
#[case::partial_answer(
    vec![submitted(0, "r", 2), answered(1, "r", &[("r", 0)])],
    Point::WholeOrFailed
)]
#[case::answer_and_failure(
    vec![
        submitted(0, "r", 1),
        answered(1, "r", &[("r", 0)]),
        failed(2, "r", RunState::MayHaveRun, Reason::WorkerLost),
    ],
    Point::WholeOrFailed
)]
#[case::crossed_answer(
    vec![submitted(0, "r", 1), answered(1, "r", &[("q", 0)])],
    Point::OwnAnswer
)]
#[case::answer_out_of_order(
    vec![submitted(0, "r", 2), answered(1, "r", &[("r", 1), ("r", 0)])],
    Point::OwnAnswer
)]
#[case::refused_but_ran(
    vec![
        submitted(0, "r", 1),
        failed(1, "r", RunState::NotRun, Reason::Overloaded),
        started(2, "r", 0, None),
    ],
    Point::NotRunIsTrue
)]
#[case::unrepeatable_runs_twice(
    vec![
        submitted(0, "r", 1),
        submitted(0, "q", 1),
        started(1, "r", 0, Some("k")),
        started(2, "q", 0, Some("k")),
    ],
    Point::AtMostOnce
)]
#[case::claim_granted_twice(
    vec![
        claim(0, "s", None),
        claim(1, "s", Some(true)),
        claim(2, "t", None),
        claim(3, "t", Some(true)),
    ],
    Point::AtMostOnce
)]
#[case::work_after_drain(
    vec![
        change(0, "a"),
        accepted(1, "a", 1, Some("worker-1")),
        submitted(2, "r", 1),
        started(7, "r", 0, None),
    ],
    Point::LeavingGetsNothing
)]
#[case::stop_of_gateway_cuts_off(
    vec![
        submitted(0, "r", 1),
        stop(1, "gateway-1"),
        at(2, "caller", Event::Lost { request: "r".to_owned(), unsent: false }),
    ],
    Point::StopCutsNothing
)]
#[case::stop_of_gateway_refuses_what_it_had(
    vec![
        submitted(0, "r", 1),
        stop(2, "gateway-1"),
        failed(3, "r", RunState::NotRun, Reason::GatewayStopping),
    ],
    Point::StopCutsNothing
)]
#[case::stop_of_agent_cuts_off(
    vec![
        submitted(0, "r", 1),
        started(1, "r", 0, None),
        stop(2, "worker-1"),
        failed(3, "r", RunState::MayHaveRun, Reason::WorkerLost),
    ],
    Point::StopCutsNothing
)]
#[case::configuration_reverts(
    vec![in_force(0, "gateway-1", 2), in_force(1, "gateway-1", 1)],
    Point::ConfigurationInForce
)]
#[case::configuration_not_in_force(
    vec![
        in_force(0, "worker-1", 1),
        change(1, "a"),
        accepted(1, "a", 1, None),
        change(2, "b"),
        accepted(2, "b", 2, None),
        in_force(10, "worker-1", 2),
    ],
    Point::ConfigurationInForce
)]
#[case::change_accepted_out_of_order(
    vec![
        change(0, "a"),
        accepted(1, "a", 2, None),
        change(2, "b"),
        accepted(3, "b", 1, None),
    ],
    Point::ConfigurationInForce
)]
fn a_bad_history_is_rejected(#[case] records: Vec<Record>, #[case] point: Point) {
    assert_eq!(broken(&records), [point]);
}
