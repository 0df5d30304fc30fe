//! Overlapping runs are reported with who ordered them, excused ones too.

use laurelstile_history::leased::{
    Bounds, Promptness, Record, RunEnd, Seen, StartOrder, TaskName, double_runs, judge,
};
use rstest::rstest;

const TASK: TaskName = TaskName {
    job: 1,
    step: 0,
    index: 0,
};

fn submitted() -> Seen {
    Seen::Submitted {
        job: TASK.job,
        tasks: vec![1],
        room: 1,
        max_attempts: 2,
        gateway: None,
    }
}

fn started(life: u64, gateway: usize, promptness: Promptness) -> Seen {
    Seen::Started {
        life,
        task: TASK,
        capacity: 10,
        promptness,
        order: Some(StartOrder {
            gateway,
            gateway_incarnation: Some(100 + gateway as u64),
            agent: 0,
            run: 1,
            sent_at: Some(0),
            token: None,
            call: None,
        }),
    }
}

fn ended(life: u64) -> Seen {
    Seen::Ended {
        life,
        task: TASK,
        how: RunEnd::Broken,
    }
}

fn history(seen: Vec<Seen>) -> Vec<Record> {
    let records = seen.into_iter().zip(0..);
    records.map(|(seen, at)| Record { at, seen }).collect()
}

#[rstest]
#[case::of_one_gateway(0, 1, true)]
#[case::of_two_gateways(1, 2, false)]
fn double_run_names_its_gateways_and_submissions(
    #[case] second_gateway: usize,
    #[case] submissions: u32,
    #[case] has_one_gateway: bool,
) {
    let mut seen = vec![submitted(), started(10, 0, Promptness::Prompt)];
    seen.extend((1..submissions).map(|_| submitted()));
    seen.push(started(20, second_gateway, Promptness::Prompt));
    let records = history(seen);
    let found = double_runs(&records);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].submissions, submissions);
    assert_eq!(found[0].has_one_gateway(), has_one_gateway);
    assert_eq!(judge(&records, Bounds::default()).len(), 1);
}

#[test]
fn run_after_the_end_of_another_is_no_double_run() {
    let records = history(vec![
        submitted(),
        started(10, 0, Promptness::Prompt),
        ended(10),
        started(20, 0, Promptness::Prompt),
    ]);
    assert_eq!(double_runs(&records), []);
}

/// The judge passes over starts by orders that outlived their process; the report does not.
#[rstest]
#[case::late(Promptness::Late, false, 1)]
#[case::late_and_unreached(Promptness::LateAndUnreached, true, 0)]
fn double_run_by_a_late_start_is_reported(
    #[case] promptness: Promptness,
    #[case] is_excused: bool,
    #[case] violations: usize,
) {
    let records = history(vec![
        submitted(),
        started(10, 0, Promptness::Prompt),
        started(20, 0, promptness),
    ]);
    let found = double_runs(&records);
    assert_eq!(found.len(), 1);
    assert!(found[0].has_late_start());
    assert_eq!(found[0].is_excused(), is_excused);
    assert_eq!(judge(&records, Bounds::default()).len(), violations);
}
