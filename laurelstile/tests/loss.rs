//! The account of what became of all jobs, on small logs made by hand.

use laurelstile::loss::{Account, Accountant, Carried, Cause, Peak, Second};
use rstest::rstest;

const JOB: &str = "00000000000000aa";

fn line(second: u32, fields: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-01-01T00:00:{second:02}.5+00:00","level":"INFO","message":"","kvs":{{{fields}}}}}"#
    )
}

fn started(zone: &str) -> String {
    line(
        0,
        &format!(r#""event":"started","node":"g","zone":"{zone}""#),
    )
}

fn taken() -> String {
    let fields = format!(r#""event":"taken","job":"{JOB}","queue":"checks","objective_ms":100"#);
    line(1, &fields)
}

fn placed(age: u64) -> String {
    let fields = format!(r#""event":"placed","job":"{JOB}","agent":"a","tasks":1,"age_ms":{age}"#);
    line(1, &fields)
}

fn came_back(how: &str) -> String {
    let fields = format!(r#""event":"came_back","task":"{JOB}.0.0.1","run":1,"how":"{how}""#);
    line(1, &fields)
}

fn given_up() -> String {
    let fields = format!(r#""event":"task_suspected","task":"{JOB}.0.0.1","is_given_up":true"#);
    line(1, &fields)
}

fn answered(answer: &str, age: u64) -> String {
    let fields = format!(
        r#""event":"answered","job":"{JOB}","queue":"checks","answer":"{answer}","age_ms":{age},"objective_ms":100,"size":"large","work_core_ms":6000"#
    );
    line(2, &fields)
}

fn unconfigured() -> String {
    line(
        1,
        r#""event":"refused_unconfigured","path":"/checks/aa","before":0"#,
    )
}

fn abandoned() -> String {
    line(
        2,
        &format!(r#""event":"abandoned","job":"{JOB}","age_ms":70"#),
    )
}

fn account(lines: &[String]) -> Account {
    let mut accountant = Accountant::default();
    let text = lines.join("\n");
    accountant
        .read("log", text.as_bytes())
        .expect("a log in memory can be read");
    accountant.finish()
}

#[rstest]
#[case::in_time(&[taken(), placed(1), answered("completed", 90)], Cause::InTime)]
#[case::refused_at_once(&[answered("refused:Stopping", 0)], Cause::RefusedAtOnce)]
#[case::refused_for_room(&[taken(), answered("refused:Overloaded", 20)], Cause::RefusedForRoom)]
#[case::unconfigured(&[unconfigured()], Cause::Unconfigured)]
#[case::straggler(&[taken(), placed(1), came_back("TooSlow { projected_millis: 900 }"), placed(90), answered("completed", 190)], Cause::Straggler)]
#[case::lost(&[taken(), placed(1), came_back("Lost"), placed(90), answered("completed", 190)], Cause::LostWithWorker)]
#[case::in_part(&[taken(), placed(1), placed(40), answered("completed", 120)], Cause::StartedInPart)]
#[case::started_late(&[taken(), placed(30), answered("completed", 120)], Cause::StartedLate)]
#[case::ran_long(&[taken(), placed(1), answered("completed", 120)], Cause::RanLong)]
#[case::failed(&[taken(), placed(1), answered("failed", 20)], Cause::Failed)]
#[case::took_workers_down(&[taken(), placed(1), given_up(), answered("failed", 20)], Cause::TookWorkersDown)]
#[case::given_up(&[taken(), placed(1), answered("givenup", 4_000)], Cause::GivenUp)]
#[case::caller_gone(&[taken(), placed(1), abandoned()], Cause::CallerGone)]
#[case::cancelled(&[taken(), placed(1), answered("cancelled", 20)], Cause::CallerGone)]
#[case::gateway_lost(&[taken(), placed(1)], Cause::GatewayLost)]
fn each_job_has_one_cause(#[case] lines: &[String], #[case] cause: Cause) {
    let account = account(lines);
    assert_eq!(account.jobs(), 1, "{account}");
    assert_eq!(account.count(cause), 1, "{account}");
}

#[test]
fn outcomes_are_told_by_queue_size_zone_and_second() {
    let account = account(&[
        started("north"),
        taken(),
        answered("refused:Overloaded", 20),
    ]);
    for (table, name) in [
        (&account.queues, "checks"),
        (&account.sizes, "large"),
        (&account.zones, "north"),
    ] {
        assert_eq!(table[name][&Cause::RefusedForRoom], 1, "{account}");
    }
    let second = Second {
        refused: 1,
        ..Second::default()
    };
    assert_eq!(account.seconds["2026-01-01T00:00:02"], second);
    assert_eq!(
        account.causes[&Cause::RefusedForRoom].work_core_millis,
        6_000
    );
}

#[test]
fn a_gateway_that_starts_again_has_lost_what_it_had_taken() {
    let account = account(&[started("north"), taken(), started("north")]);
    assert_eq!(account.count(Cause::GatewayLost), 1, "{account}");
}

#[test]
fn a_job_of_which_only_the_end_was_written_counts() {
    let account = account(&[answered("completed", 90)]);
    assert_eq!(account.count(Cause::InTime), 1, "{account}");
}

#[test]
fn lines_of_others_are_skipped_and_counted() {
    let mut cut = taken();
    cut.truncate(40);
    let lines = [
        "no JSON at all".to_owned(),
        cut,
        r#"{"some":"other JSON"}"#.to_owned(),
        line(1, r#""event":"taken""#),
        line(1, r#""event":"lines_dropped","count":7"#),
        String::new(),
        format!("  1.5 gateway-1 {}", taken()),
        taken(),
        answered("completed", 90),
    ];
    let account = account(&lines);
    assert_eq!((account.skipped, account.dropped), (4, 7), "{account}");
    assert_eq!(account.jobs(), 1, "{account}");
}

#[test]
fn random_bytes_cause_no_panic() {
    let mut state = 88_172_645_463_325_252_u64;
    let bytes: Vec<u8> = (0..200_000)
        .map(|_| {
            // xorshift, Marsaglia 2003.
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state.to_le_bytes()[3]
        })
        .collect();
    let mut accountant = Accountant::default();
    accountant
        .read("log", bytes.as_slice())
        .expect("bytes in memory");
    let account = accountant.finish();
    assert_eq!((account.jobs(), account.lines), (0, 0));
    assert!(account.skipped > 0);
}

fn traffic(second: u32, source: &str, sent: &str, received: &str) -> String {
    let fields = format!(r#""event":"traffic","sent":"{sent}","received":"{received}""#);
    format!("  1.5 {source} {}", line(second, &fields))
}

#[test]
fn what_sessions_carried_is_told_by_kind_and_process() {
    let account = account(&[
        traffic(1, "front-1", "start:2:1400 stop:1:50", "report:10:370"),
        traffic(2, "front-1", "start:1:700", "report:20:740"),
        traffic(2, "side-1", "report:20:740", ""),
    ]);
    let starts = Carried {
        messages: 3,
        bytes: 2_100,
    };
    assert_eq!(account.traffic.kinds["start"], starts);
    let peak = Peak {
        bytes: 1_450,
        time: "2026-01-01T00:00:01.5+00:00".to_owned(),
    };
    assert_eq!(account.traffic.sent["front-1"], peak);
    assert_eq!(account.traffic.received["front-1"].bytes, 740);
    assert!(account.to_string().contains("between processes"));
}

#[rstest]
#[case::no_figures("start")]
#[case::too_many_figures("start:1:2:3")]
#[case::not_a_number("start:1:much")]
fn a_garbled_line_of_traffic_is_skipped(#[case] sent: &str) {
    let account = account(&[traffic(1, "front-1", sent, "")]);
    assert_eq!((account.skipped, account.traffic.kinds.len()), (1, 0));
}
