//! The cause of a job's end is read off the logs.

use laurelstile::explain::{Cause, explain};
use rstest::rstest;

const JOB: &str = "00000000000000aa";

fn line(time: &str, fields: &str) -> String {
    format!(r#"{{"timestamp":"{time}","level":"INFO","message":"","kvs":{{{fields}}}}}"#)
}

fn taken() -> String {
    line(
        "1",
        r#""event":"taken","job":"00000000000000aa","objective_ms":100"#,
    )
}

fn answered(answer: &str, age: u64) -> String {
    let fields = format!(
        r#""event":"answered","job":"{JOB}","answer":"{answer}","age_ms":{age},"objective_ms":100"#
    );
    line("9", &fields)
}

fn came_back(how: &str) -> String {
    let fields =
        format!(r#""event":"came_back","task":"{JOB}.0.0.1","run":1,"how":"{how}","agent":"a""#);
    line("5", &fields)
}

fn given_up() -> String {
    let fields = format!(
        r#""event":"task_suspected","task":"{JOB}.0.0.1","is_given_up":true,"workers":"life-3 life-7""#
    );
    line("6", &fields)
}

fn cause(lines: &[String]) -> Cause {
    let text = lines.join("\n");
    explain(JOB, std::iter::once(("log", text.as_str()))).cause
}

#[rstest]
#[case::on_time(&[taken(), answered("completed", 90)], "done within")]
#[case::late(&[taken(), came_back("Stalled"), answered("completed", 190)], "Stalled")]
#[case::refused(&[taken(), answered("refused:Overloaded", 20)], "Overloaded")]
#[case::given_up(&[taken(), came_back("Lost"), answered("givenup", 4_000)], "Lost")]
#[case::failed(&[taken(), answered("failed", 30)], "failed as often")]
#[case::took_workers_down(&[taken(), given_up(), answered("failed", 30)], "life-3 life-7")]
#[case::gateway_lost(&[taken(), came_back("Lost")], "said no more")]
#[case::unknown(&[], "no line")]
fn the_cause_is_named(#[case] lines: &[String], #[case] word: &str) {
    let cause = cause(lines).to_string();
    assert!(cause.contains(word), "{cause}");
}

/// What else ran on a dead worker may be to blame.
#[test]
fn the_line_of_a_dead_worker_belongs_to_all_jobs_that_it_names() {
    let fields = format!(
        r#""event":"worker_life_over","end":"crashed","tasks":"00000000000000bb.0.0.0/1@10ms {JOB}.0.0.1/2@300ms""#
    );
    let text = line("5", &fields);
    let explanation = explain(JOB, std::iter::once(("log", text.as_str())));
    assert_eq!(explanation.entries.len(), 1);
}

#[test]
fn lines_with_a_prefix_are_read_and_sorted() {
    let text = format!(
        "  0.9 front-1 {}\n  0.1 front-1 {}",
        answered("completed", 5),
        taken()
    );
    let explanation = explain(JOB, std::iter::once(("log", text.as_str())));
    let events: Vec<&str> = explanation
        .entries
        .iter()
        .map(|entry| entry.event.as_str())
        .collect();
    assert_eq!(events, vec!["taken", "answered"]);
    assert_eq!(explanation.entries[0].source, "front-1");
}

#[test]
fn other_jobs_are_left_out() {
    let other = line(
        "1",
        r#""event":"taken","job":"00000000000000ab","note":"00000000000000aa""#,
    );
    assert_eq!(cause(&[other]), Cause::Unknown);
}
