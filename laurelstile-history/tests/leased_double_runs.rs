//! A double run is reported with what tells its causes apart.

use laurelstile_history::leased::{
    CallSeen, DoubleRun, Promptness, Record, RunEnd, Seen, Source, StartOrder, TaskName, Told,
    double_runs,
};
use rstest::rstest;

const TASK: TaskName = TaskName {
    job: 0xa,
    step: 0,
    index: 3,
};

/// Agents beside the workers whose lives are 1 and 2.
const AGENTS: [usize; 2] = [4, 5];

fn submitted(gateway: usize) -> Seen {
    Seen::Submitted {
        job: TASK.job,
        tasks: vec![4],
        room: 1,
        max_attempts: 2,
        gateway: Some(gateway),
    }
}

fn answered(told: Told) -> Seen {
    Seen::Answered {
        job: TASK.job,
        told,
        in_planned_stop: false,
    }
}

fn started(life: u64, gateway: usize, call: usize, promptness: Promptness) -> Seen {
    Seen::Started {
        life,
        task: TASK,
        capacity: 4,
        promptness,
        order: Some(StartOrder {
            gateway,
            gateway_incarnation: None,
            agent: AGENTS[usize::from(life == 2)],
            run: 7,
            sent_at: None,
            token: Some(9),
            call: Some(call),
        }),
    }
}

fn ended(life: u64, how: RunEnd) -> Seen {
    Seen::Ended {
        life,
        task: TASK,
        how,
    }
}

fn found(history: Vec<Seen>) -> Vec<DoubleRun> {
    let records = history.into_iter().zip(3..);
    let records: Vec<Record> = records
        .map(|(seen, milli)| Record {
            at: milli * 1_000,
            seen,
        })
        .collect();
    double_runs(&records)
}

#[test]
fn a_resubmitted_job_that_two_gateways_held_is_told() {
    let history = vec![
        submitted(0),
        started(1, 0, 1, Promptness::Prompt),
        answered(Told::Nothing),
        submitted(2),
        started(2, 2, 2, Promptness::Prompt),
        ended(1, RunEnd::Broken),
        ended(2, RunEnd::Done),
    ];
    let double_runs = found(history);
    let [double_run] = &double_runs[..] else {
        panic!("{double_runs:?}");
    };
    assert_eq!(double_run.source(), Source::TwoCalls);
    assert_eq!(double_run.overlap(), Some(1_000));
    let call = |gateway, at, answered| CallSeen {
        gateway: Some(gateway),
        at,
        answered,
    };
    let first = call(0, 3_000, Some((5_000, Told::Nothing)));
    assert_eq!(double_run.calls, [first, call(2, 6_000, None)]);
    let text = double_run.to_string();
    for part in [
        "000000000000000a.0.0.3 ran twice (TwoCalls, for 1.000 ms)",
        "run 7 of gateway 0 (call 1) by agent 4 (token 9) on life 1: 4.000 ms to 8.000 ms, Broken",
        "run 7 of gateway 2 (call 2) by agent 5 (token 9) on life 2: 7.000 ms to 9.000 ms, Done",
        "call 1 to gateway 0: 3.000 ms to 5.000 ms, Nothing",
        "call 2 to gateway 2: 6.000 ms to the end",
    ] {
        assert!(text.contains(part), "{text}");
    }
}

/// What the judge excuses is counted here, and marked.
#[rstest]
#[case::prompt(Promptness::Prompt, true)]
#[case::late(Promptness::Late, true)]
#[case::late_and_unreached(Promptness::LateAndUnreached, false)]
fn an_end_that_its_gateway_believed_is_told(
    #[case] promptness: Promptness,
    #[case] breaks_rule: bool,
) {
    for runs in [
        [(1, Promptness::Prompt), (2, promptness)],
        [(1, promptness), (2, Promptness::Prompt)],
    ] {
        let mut history = vec![submitted(0)];
        history.extend(runs.map(|(life, promptness)| started(life, 0, 1, promptness)));
        let double_runs = found(history);
        assert_eq!(double_runs.len(), 1);
        assert_eq!(double_runs[0].source(), Source::OneCall);
        assert_eq!(!double_runs[0].is_excused(), breaks_rule);
    }
}

#[test]
fn runs_one_after_the_other_are_no_double_run() {
    let history = vec![
        submitted(0),
        started(1, 0, 1, Promptness::Prompt),
        ended(1, RunEnd::Broken),
        started(2, 0, 1, Promptness::Prompt),
    ];
    assert!(found(history).is_empty());
}
