//! A double run of a gateway that lost track of a run which went on undisturbed is told from
//! those of other causes, by what the history says.

use laurelstile_history::leased::{
    LostTrack, Point, Promptness, Record, RunEnd, Seen, StartOrder, TaskName, double_runs,
};
use rstest::rstest;

const TASK: TaskName = TaskName {
    job: 7,
    step: 0,
    index: 1,
};
const TOKEN: u64 = 279;

/// A history in which a gateway starts a task a second time 362 ms after the first, which ends
/// as done 37 ms later.
fn lost() -> Vec<Record> {
    let at = |at, seen| Record { at, seen };
    vec![
        at(0, submitted()),
        at(1_000, started(1, 1)),
        at(1_100, stop_of_another()),
        at(363_000, started(2, 2)),
        at(400_000, ended(RunEnd::Done)),
        at(401_000, acknowledged(TOKEN)),
    ]
}

fn submitted() -> Seen {
    Seen::Submitted {
        job: TASK.job,
        tasks: vec![2],
        room: 1,
        max_attempts: 2,
        gateway: Some(0),
    }
}

fn order(run: u32) -> StartOrder {
    StartOrder {
        gateway: 0,
        gateway_incarnation: Some(4),
        agent: 5,
        run,
        sent_at: None,
        token: Some(TOKEN),
        call: Some(1),
    }
}

fn started_by(life: u64, order: Option<StartOrder>) -> Seen {
    Seen::Started {
        life,
        task: TASK,
        capacity: 4,
        promptness: Promptness::Prompt,
        order,
    }
}

fn started(life: u64, run: u32) -> Seen {
    started_by(life, Some(order(run)))
}

fn stop_of_another() -> Seen {
    Seen::StopReceived {
        life: 1,
        task: TaskName { index: 0, ..TASK },
        run: 1,
    }
}

fn ended(how: RunEnd) -> Seen {
    Seen::Ended {
        life: 1,
        task: TASK,
        how,
    }
}

fn acknowledged(token: u64) -> Seen {
    Seen::Acknowledged {
        life: 1,
        task: TASK,
        run: 1,
        token,
    }
}

fn found(records: &[Record]) -> LostTrack {
    let found = double_runs(records);
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].lost_track()
}

#[test]
fn a_run_that_went_on_undisturbed_matches() {
    let found = found(&lost());
    assert!(found.is_match());
    assert_eq!(found, LostTrack::default());
    assert_eq!(found.to_string(), "lost track: yes");
}

#[rstest]
#[case::later_numbers(
    &[
        (1, started(1, 2)),
        (3, started(2, 3)),
        (5, Seen::Acknowledged { life: 1, task: TASK, run: 2, token: TOKEN }),
    ],
    Point::Numbers
)]
#[case::one_number_twice(&[(3, started(2, 1))], Point::Numbers)]
#[case::other_gateway(
    &[(3, started_by(2, Some(StartOrder { gateway: 1, ..order(2) })))],
    Point::Gateway
)]
#[case::next_process_of_the_gateway(
    &[(3, started_by(2, Some(StartOrder { gateway_incarnation: Some(5), ..order(2) })))],
    Point::Gateway
)]
#[case::submitted_twice(&[(2, submitted())], Point::Submission)]
#[case::stopped_run(&[(4, ended(RunEnd::Broken))], Point::End)]
#[case::ignored_stop(
    &[(2, Seen::StopReceived { life: 1, task: TASK, run: 1 })],
    Point::Stop
)]
fn each_point_may_be_missed(#[case] changes: &[(usize, Seen)], #[case] point: Point) {
    let mut records = lost();
    for (place, seen) in changes {
        records[*place].seen = seen.clone();
    }
    if !records
        .iter()
        .any(|record| record.seen == stop_of_another())
    {
        records.push(Record {
            at: 500_000,
            seen: stop_of_another(),
        });
    }
    let found = found(&records);
    assert!(!found.is_match());
    assert_eq!(found.missed, [point]);
    assert_eq!(found.unknown, []);
}

#[test]
fn a_second_run_after_the_time_of_a_lease_is_another_case() {
    let mut records = lost();
    for record in &mut records[3..] {
        record.at += 453_000;
    }
    assert_eq!(found(&records).missed, [Point::Gap]);
}

#[test]
fn a_run_whose_end_is_acknowledged_late_is_another_case() {
    let mut records = lost();
    records[5].at += 50_000;
    assert_eq!(found(&records).missed, [Point::Acknowledgement]);
}

#[test]
fn a_run_whose_end_is_not_acknowledged_is_another_case() {
    let mut records = lost();
    records[5].seen = Seen::Acknowledged {
        life: 1,
        task: TASK,
        run: 9,
        token: TOKEN,
    };
    let found = found(&records);
    assert_eq!(found.missed, [Point::Acknowledgement]);
    assert_eq!(found.unknown, [Point::Agent]);
}

/// An agent process raises its own token, for instance as it takes its worker anew.
#[test]
fn an_acknowledgement_under_another_token_does_not_tell_the_agent() {
    let mut records = lost();
    records[5].seen = acknowledged(TOKEN + 3);
    let found = found(&records);
    assert!(found.is_match());
    assert_eq!(found.unknown, [Point::Agent]);
}

#[test]
fn a_stop_that_comes_after_the_end_does_not_count() {
    let mut records = lost();
    records.push(Record {
        at: 402_000,
        seen: Seen::StopReceived {
            life: 1,
            task: TASK,
            run: 1,
        },
    });
    assert!(found(&records).is_match());
}

#[test]
fn three_runs_at_once_are_another_case() {
    let mut records = lost();
    records.insert(
        4,
        Record {
            at: 370_000,
            seen: started(3, 3),
        },
    );
    let found = double_runs(&records);
    assert_eq!(found.len(), 2);
    assert!(found[0].lost_track().is_match());
    assert_eq!(found[1].lost_track().missed, [Point::Numbers]);
}

#[test]
fn stops_and_acknowledgements_of_a_run_of_an_unknown_order_are_unknown() {
    let mut records = lost();
    records[1].seen = started_by(1, None);
    let unknown = [
        Point::Numbers,
        Point::Gateway,
        Point::Stop,
        Point::Acknowledgement,
        Point::Agent,
    ];
    assert_eq!(found(&records).unknown, unknown);
}

#[test]
fn what_the_history_does_not_record_is_unknown() {
    let mut records = lost();
    records.retain(|record| {
        !matches!(
            record.seen,
            Seen::StopReceived { .. } | Seen::Acknowledged { .. } | Seen::Ended { .. }
        )
    });
    records[2].seen = started_by(2, None);
    let found = found(&records);
    assert!(found.is_match());
    let unknown = [
        Point::Numbers,
        Point::Gateway,
        Point::End,
        Point::Stop,
        Point::Acknowledgement,
        Point::Agent,
    ];
    assert_eq!(found.unknown, unknown);
    let text = found.to_string();
    assert_eq!(
        text,
        "lost track: yes, unknown [Numbers, Gateway, End, Stop, Acknowledgement, Agent]"
    );
}
