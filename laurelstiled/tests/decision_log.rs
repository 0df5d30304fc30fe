//! Which lines of the decision log survive its limits, and what the metrics count.

use std::cell::RefCell;
use std::collections::BTreeMap;

use laurelstile_core::leased::agent::{AgentDecision, EndProof};
use laurelstile_core::leased::gateway::{EndSource, GatewayDecision};
use laurelstile_core::leased::messages::{EndKind, NotStartedReason};
use laurelstile_core::leased::task::{JobId, RunId, RunNumber, TaskId};
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use laurelstiled::leased::decisions::DecisionLog;
use log::kv::{Error, Key, Value, VisitSource};
use metrics_exporter_prometheus::PrometheusBuilder;
use rstest::rstest;

/// More lines than any class may log in a period.
const FLOOD: u64 = 5_000;

/// Fields of a log line by name.
type Line = BTreeMap<String, String>;

thread_local! {
    /// The lines that the thread has logged.
    static LINES: RefCell<Vec<Line>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of each thread apart.
struct ThreadLogger;

impl log::Log for ThreadLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut fields = Fields(Line::new());
        let visited = record.key_values().visit(&mut fields);
        visited.expect("the fields can be read");
        LINES.with_borrow_mut(|lines| lines.push(fields.0));
    }

    fn flush(&self) {}
}

struct Fields(Line);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// What was logged since the previous call.
fn lines_of(record: impl FnOnce(&mut DecisionLog)) -> Vec<Line> {
    // Another test may have installed it.
    let _ = log::set_logger(&ThreadLogger);
    log::set_max_level(log::LevelFilter::Info);
    LINES.take();
    record(&mut DecisionLog::default());
    LINES.take()
}

fn with_event<'a>(lines: &'a [Line], event: &str) -> Vec<&'a Line> {
    let lines = lines.iter();
    lines.filter(|line| line["event"] == event).collect()
}

fn job() -> JobId {
    JobId(0xd39f)
}

fn run() -> RunId {
    let task = TaskId {
        job: job(),
        repetition: 0,
        step: 0,
        index: 0,
    };
    RunId {
        task,
        run: RunNumber(2),
    }
}

/// A placement of a job that was sent so many milliseconds ago.
fn placed(age_millis: u64) -> GatewayDecision {
    GatewayDecision::Placed {
        job: job(),
        agent: "agent".into(),
        tasks: 1,
        report_age: Span::default(),
        age: Span::from_millis(age_millis),
    }
}

fn returned(how: EndKind, source: EndSource) -> GatewayDecision {
    GatewayDecision::TaskReturned {
        run: run(),
        agent: "agent".into(),
        how,
        source,
    }
}

fn expired() -> GatewayDecision {
    GatewayDecision::AgentExpired {
        agent: "agent".into(),
        tasks: 1,
        silence: Span::from_millis(1_267),
    }
}

fn not_started(reason: NotStartedReason) -> EndKind {
    EndKind::NotStarted(reason)
}

/// Frequent lines of both ordinary classes.
fn flood(log: &mut DecisionLog) {
    for _ in 0..FLOOD {
        log.record_gateway(&placed(10));
        log.record_gateway(&GatewayDecision::Abandoned {
            job: job(),
            age: Span::default(),
        });
    }
}

/// Guards against a task that runs twice without a line of its job in the log: at load, steps and outcomes used up the limit,
/// and what gateways knew of a second holder was dropped.
#[rstest]
#[case::claim("claimed", GatewayDecision::Claimed { jobs: vec![job()] })]
#[case::release_requested("release_requested", GatewayDecision::ReleaseRequested {
    job: job(), holder: "holder".into(),
})]
#[case::release_confirmed("release_confirmed", GatewayDecision::ReleaseConfirmed {
    job: job(), holder: "holder".into(), waited: Span::from_millis(20), is_late: false,
})]
#[case::release_timed_out("release_timed_out", GatewayDecision::ReleaseTimedOut {
    job: job(), holder: "holder".into(), waited: Span::from_millis(1_265),
})]
#[case::given_up("released_to_peer", GatewayDecision::ReleasedToPeer {
    job: job(), requester: "requester".into(),
})]
#[case::earlier_runs("earlier_runs_pending", GatewayDecision::EarlierRunsPending {
    job: job(), runs: 1,
})]
#[case::lost_runs("runs_lost", GatewayDecision::RunsLost {
    agent: "agent".into(), runs: vec![run()], source: EndSource::Snapshot,
})]
#[case::late_handshake("late_handshake", GatewayDecision::LateHandshake { agent: "agent".into() })]
#[case::expired_agent("agent_lapsed", GatewayDecision::AgentExpired {
    agent: "agent".into(), tasks: 1, silence: Span::from_millis(1_300),
})]
#[case::duplicate(
    "came_back",
    returned(not_started(NotStartedReason::Duplicate), EndSource::Agent)
)]
#[case::old_run(
    "came_back",
    returned(not_started(NotStartedReason::OldRun), EndSource::Agent)
)]
#[case::believed_end("came_back", returned(EndKind::Lost, EndSource::Silence))]
#[case::late_placement("placed", placed(1_300))]
fn a_flood_of_steps_and_outcomes_drops_no_line_of_a_run_that_may_overlap(
    #[case] event: &str,
    #[case] decision: GatewayDecision,
) {
    let lines = lines_of(|log| {
        flood(log);
        LINES.take();
        log.record_gateway(&decision);
    });
    assert_eq!(with_event(&lines, event).len(), 1, "{lines:?}");
}

/// Guards against a gateway that is cut off from its agents, loses each run that it places there a
/// millisecond later, and drops what it knows of a second holder for that.
#[test]
fn a_flood_of_expired_agents_drops_no_line_of_a_release() {
    let lines = lines_of(|log| {
        for _ in 0..FLOOD {
            log.record_gateway(&expired());
            log.record_gateway(&returned(EndKind::Lost, EndSource::Silence));
        }
        log.record_gateway(&GatewayDecision::ReleaseRequested {
            job: job(),
            holder: "holder".into(),
        });
    });
    assert_eq!(
        with_event(&lines, "release_requested").len(),
        1,
        "{lines:?}"
    );
}

/// Guards against an agent whose evidence of a second run is dropped: stops for a silent gateway, and
/// ends of stopped runs.
#[rstest]
#[case::silent_owner("stopping_run", AgentDecision::Stopping {
    run: run(), reason: "owner_silent", echo_age: Span::from_millis(450), percent: 50,
})]
#[case::silent_session("session_silent", AgentDecision::SessionSilent {
    gateway: Incarnation(1), silence: Span::from_millis(450),
})]
#[case::resumed_session("session_resumed", AgentDecision::SessionResumed {
    gateway: Incarnation(1), silence: Span::from_millis(450), runs: 1,
})]
#[case::unanswered_stop("stop_unanswered", AgentDecision::StopUnanswered {
    run: run(), reason: "asked", age: Span::from_millis(100), stops: 1,
})]
#[case::held_start("start_held", AgentDecision::StartHeld { run: run() })]
#[case::stopped("run_ended", ended(EndKind::Stopped))]
#[case::duplicate("run_ended", ended(not_started(NotStartedReason::Duplicate)))]
fn a_flood_of_ended_runs_drops_no_line_of_an_agent_about_a_run_that_may_overlap(
    #[case] event: &str,
    #[case] decision: AgentDecision,
) {
    let lines = lines_of(|log| {
        for _ in 0..FLOOD {
            log.record_agent(&ended(not_started(NotStartedReason::Full)));
            log.record_agent(&AgentDecision::CancelNotRecorded { job: job() });
        }
        LINES.take();
        log.record_agent(&decision);
    });
    assert_eq!(with_event(&lines, event).len(), 1, "{lines:?}");
}

fn ended(how: EndKind) -> AgentDecision {
    AgentDecision::Ended {
        run: run(),
        how,
        proof: EndProof::Listed,
    }
}

/// Guards against a log that hides what it lacks: the lines of each class are either there or counted
/// as dropped.
#[test]
fn dropped_lines_are_counted_by_class() {
    let lines = lines_of(|log| {
        let claim = GatewayDecision::Claimed { jobs: vec![job()] };
        for _ in 0..FLOOD {
            log.record_gateway(&claim);
            log.record_gateway(&expired());
            log.record_gateway(&placed(1_300));
        }
        flood(log);
        std::thread::sleep(std::time::Duration::from_millis(1_050));
        log.record_gateway(&placed(10));
    });
    let dropped = |class: &str| -> u64 {
        let counts = with_event(&lines, "lines_dropped").into_iter();
        counts
            .map(|line| line[class].parse::<u64>().expect("a number"))
            .sum()
    };
    let logged = |event: &str| with_event(&lines, event).len() as u64;
    assert_eq!(dropped("overlaps") + logged("claimed"), FLOOD);
    assert_eq!(dropped("outcomes") + logged("abandoned"), FLOOD);
    assert_eq!(dropped("expiries") + logged("agent_lapsed"), FLOOD);
    assert_eq!(
        dropped("steps") + dropped("late_placements") + logged("placed"),
        2 * FLOOD + 1
    );
    let classes = [
        "steps",
        "outcomes",
        "overlaps",
        "expiries",
        "late_placements",
    ];
    assert!(classes.iter().all(|class| dropped(class) > 0), "{lines:?}");
    assert_eq!(classes.map(dropped).iter().sum::<u64>(), dropped("count"));
}

/// Guards against metrics that do not tell whether a second holder was known, answered, or waited for in
/// vain.
#[test]
fn claims_and_releases_are_counted_by_what_became_of_them() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let confirmed = |is_late| GatewayDecision::ReleaseConfirmed {
        job: job(),
        holder: "holder".into(),
        waited: Span::default(),
        is_late,
    };
    metrics::with_local_recorder(&recorder, || {
        lines_of(|log| {
            for decision in [
                GatewayDecision::Claimed {
                    jobs: vec![job(); 3],
                },
                GatewayDecision::ClaimsReceived { jobs: 2 },
                GatewayDecision::ReleaseRequested {
                    job: job(),
                    holder: "holder".into(),
                },
                GatewayDecision::ReleaseTimedOut {
                    job: job(),
                    holder: "holder".into(),
                    waited: Span::default(),
                },
                confirmed(false),
                confirmed(true),
                GatewayDecision::ReleasedToPeer {
                    job: job(),
                    requester: "requester".into(),
                },
                returned(not_started(NotStartedReason::Duplicate), EndSource::Agent),
            ] {
                log.record_gateway(&decision);
            }
        })
    });
    let rendered = recorder.handle().render();
    for count in [
        r#"laurelstile_claims_total{direction="sent"} 3"#,
        r#"laurelstile_claims_total{direction="received"} 2"#,
        r#"laurelstile_releases_total{step="requested"} 1"#,
        r#"laurelstile_releases_total{step="confirmed"} 1"#,
        r#"laurelstile_releases_total{step="confirmed_late"} 1"#,
        r#"laurelstile_releases_total{step="timed_out"} 1"#,
        "laurelstile_jobs_given_up_to_peers_total 1",
        r#"laurelstile_tasks_came_back_total{how="not_started_duplicate"} 1"#,
    ] {
        assert!(rendered.contains(count), "{count} is not in {rendered}");
    }
}
