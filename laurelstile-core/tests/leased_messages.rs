//! Encoded sizes of messages between gateways and agents of leased workers, and that they decode to
//! what was encoded. In a large deployment each byte is sent about ten thousand times a second.

use ciborium::value::Value;
use laurelstile_core::leased::agent::worker::FenceToken;
use laurelstile_core::leased::input::{InputError, JobInput, MAX_INPUT_BYTES};
use laurelstile_core::leased::messages::{
    Control, EndKind, FromAgent, FromAgentBody, NO_TASK_LIMIT, Report, Snapshot, StartBatch,
    TaskEnd, ToAgent, ToAgentBody,
};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::{JobId, RunNumber, TaskId};
use laurelstile_types::time::Timestamp;
use proptest::prelude::{Strategy, any, prop, proptest};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Clock reading of a process that has run for ten minutes.
const CLOCK: Timestamp = Timestamp(600_000_000);

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("encoding failed");
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    ciborium::from_reader(bytes).expect("decoding failed")
}

fn resources(cpu_millis: u32) -> Resources {
    Resources {
        cpu_millis,
        memory_mib: 30_000,
        gpus: 0,
    }
}

fn report(limit: u32, run_time_percent: u32) -> Report {
    Report {
        processed: 300,
        free: resources(12_000),
        limit,
        run_time_percent,
    }
}

fn from_agent(report: Option<Report>, body: FromAgentBody) -> FromAgent {
    FromAgent {
        clock: CLOCK,
        report,
        offers: Vec::new(),
        candidates: None,
        notices: Vec::new(),
        cancels_received: None,
        cancel_ages: Vec::new(),
        is_ending: false,
        usage: None,
        served: None,
        body,
    }
}

fn end() -> TaskEnd {
    TaskEnd {
        number: 300,
        task: TaskId {
            job: JobId(u64::MAX),
            repetition: 0,
            step: 0,
            index: 7,
        },
        run: RunNumber(1),
        how: EndKind::Done,
        checkpoint: None,
    }
}

/// Pseudo-random hexadecimal digits, with four bits of entropy per character.
fn digits(length: usize) -> String {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    (0..length)
        .map(|_| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            char::from_digit((state >> 60) as u32, 16).unwrap_or('0')
        })
        .collect()
}

fn start(input: JobInput) -> ToAgent {
    ToAgent {
        echo: CLOCK,
        acknowledged: 300,
        cancelled: Vec::new(),
        cancel_position: None,
        cancel_ages: Vec::new(),
        served: Vec::new(),
        body: ToAgentBody::Start(StartBatch {
            number: 300,
            job: JobId(u64::MAX),
            step: 0,
            input,
            resources: resources(3_800),
            estimate_millis: 200,
            max_wait_millis: 4,
            tasks: vec![(0, RunNumber(1)), (1, RunNumber(1))],
            offer: None,
            is_exclusive: false,
            has_stalled: false,
            queue: None,
            is_preemptible: false,
            is_remote: false,
            checkpoints: Vec::new(),
        }),
    }
}

fn heartbeat() -> ToAgent {
    ToAgent {
        echo: CLOCK,
        acknowledged: 300,
        cancelled: Vec::new(),
        cancel_position: None,
        cancel_ages: Vec::new(),
        served: Vec::new(),
        body: ToAgentBody::Heartbeat,
    }
}

#[test]
fn heartbeats_are_small() {
    assert!(encode(&heartbeat()).len() <= 13);
    let from_agent = from_agent(None, FromAgentBody::Heartbeat);
    assert!(encode(&from_agent).len() <= 8);
}

#[test]
fn a_report_omits_usual_values() {
    let usual = from_agent(Some(report(NO_TASK_LIMIT, 100)), FromAgentBody::Heartbeat);
    assert!(encode(&usual).len() <= 32, "{}", encode(&usual).len());
}

#[test]
fn an_end_is_small() {
    let message = from_agent(None, FromAgentBody::Ends(vec![end()]));
    assert!(encode(&message).len() <= 48, "{}", encode(&message).len());
}

#[test]
fn a_start_compresses_its_input() {
    let plain = encode(&start(JobInput::from("")));
    let with_input = encode(&start(JobInput::from(digits(1_200))));
    assert!(plain.len() <= 80, "{}", plain.len());
    assert!(with_input.len() <= 80 + 650, "{}", with_input.len());
}

#[rstest]
#[case::as_estimated(NO_TASK_LIMIT, 100)]
#[case::slow(NO_TASK_LIMIT, 240)]
#[case::one_at_a_time(1, 100)]
#[case::none(0, 100)]
fn a_report_round_trips(#[case] limit: u32, #[case] run_time_percent: u32) {
    let sent = report(limit, run_time_percent);
    let message = from_agent(Some(sent), FromAgentBody::Heartbeat);
    let decoded: FromAgent = decode(&encode(&message));
    assert_eq!(decoded.report, Some(sent));
}

#[rstest]
#[case::once(0)]
#[case::again(3)]
fn an_end_round_trips(#[case] repetition: u32) {
    let mut sent = end();
    sent.task.repetition = repetition;
    let message = from_agent(None, FromAgentBody::Ends(vec![sent.clone()]));
    let decoded: FromAgent = decode(&encode(&message));
    assert!(matches!(decoded.body, FromAgentBody::Ends(ends) if ends == [sent]));
}

/// A snapshot as older versions define it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldSnapshot {
    service: String,
    zone: String,
    capacity: Resources,
    labels: Vec<String>,
    held: Vec<(TaskId, RunNumber)>,
}

fn old_snapshot() -> OldSnapshot {
    OldSnapshot {
        service: "parcels".into(),
        zone: "here".into(),
        capacity: resources(12_000),
        labels: vec!["large".into()],
        held: vec![(end().task, RunNumber(3))],
    }
}

/// Gateways and agents are not updated at the same time.
#[test]
fn older_versions_read_a_snapshot() {
    let old = old_snapshot();
    let sent = Snapshot {
        service: old.service.clone(),
        zone: old.zone.clone(),
        capacity: old.capacity,
        labels: old.labels.clone(),
        held: old.held.clone(),
        session: Some(4),
        control: Some(Control {
            incarnation: "worker-1".into(),
            token: FenceToken(u64::MAX),
        }),
        honors_claims: false,
    };
    let decoded: OldSnapshot = decode(&encode(&sent));
    assert_eq!(decoded, old);
    let decoded: Snapshot = decode(&encode(&sent));
    assert_eq!(decoded.session, sent.session);
    assert_eq!(decoded.control, sent.control);
}

#[test]
fn a_snapshot_of_an_older_version_has_neither_session_number_nor_control() {
    let old = old_snapshot();
    let decoded: Snapshot = decode(&encode(&old));
    assert_eq!(decoded.held, old.held);
    assert_eq!((decoded.session, decoded.control), (None, None));
}

/// Cancellations that an agent is told, as older versions define the message.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldCancels {
    #[serde(rename = "e")]
    echo: Timestamp,
    #[serde(rename = "s")]
    acknowledged: u64,
    #[serde(rename = "j")]
    cancelled: Vec<JobId>,
}

/// Guards against cancellations that a process of an older version cannot read, or that are read from one
/// as if it confirmed them.
#[test]
fn cancellations_are_compatible_with_older_versions() {
    let sent = ToAgent {
        cancelled: vec![JobId(7), JobId(8)],
        cancel_position: Some(3),
        cancel_ages: vec![0, 12],
        ..heartbeat()
    };
    let old: OldCancels = decode(&encode(&sent));
    assert_eq!(old.cancelled, sent.cancelled);
    let received: ToAgent = decode(&encode(&old));
    assert_eq!(received.cancelled, sent.cancelled);
    assert_eq!(received.cancel_position, None);
    assert!(received.cancel_ages.is_empty());
    let of_older_agent: FromAgent = decode(&encode(&from_agent(None, FromAgentBody::Heartbeat)));
    assert_eq!(of_older_agent.cancels_received, None);
    assert!(!of_older_agent.is_ending);
}

fn input_of(message: &ToAgent) -> JobInput {
    match &message.body {
        ToAgentBody::Start(batch) => batch.input.clone(),
        other => panic!("not a start: {other:?}"),
    }
}

#[rstest]
#[case::empty(String::new())]
#[case::short("a ditch".to_owned())]
#[case::digits(digits(3_000))]
#[case::words("between the oak and the mill, ".repeat(2_000))]
#[case::longest("x".repeat(MAX_INPUT_BYTES))]
#[case::not_latin("çé—日本".repeat(300))]
fn an_input_round_trips(#[case] text: String) {
    let decoded: ToAgent = decode(&encode(&start(JobInput::from(text.as_str()))));
    assert_eq!(input_of(&decoded).as_str(), text);
}

proptest! {
    #[test]
    fn every_text_round_trips(text in any::<String>(), times in 1_usize..200) {
        let text = text.repeat(times);
        let decoded: ToAgent = decode(&encode(&start(JobInput::from(text.as_str()))));
        assert_eq!(input_of(&decoded).as_str(), text);
    }

    #[test]
    fn decompression_of_arbitrary_bytes_returns(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        // Must return, with text or an error.
        let _ = JobInput::decompress(&bytes);
    }

    #[test]
    fn truncated_input_is_rejected(cut in (1_usize..500).prop_map(|cut| cut)) {
        let bytes = compressed(&digits(1_200));
        let rest = bytes.len().saturating_sub(cut);
        assert_eq!(JobInput::decompress(&bytes[..rest]), Err(InputError::Corrupt));
    }
}

/// The compressed form, as sent on the wire.
fn compressed(text: &str) -> Vec<u8> {
    let bytes = encode(&JobInput::from(text));
    match ciborium::from_reader(bytes.as_slice()) {
        Ok(Value::Bytes(bytes)) => bytes,
        other => panic!("not compressed: {other:?}"),
    }
}

#[test]
fn an_input_that_expands_beyond_the_limit_is_rejected() {
    let bytes = compressed(&"x".repeat(64 * MAX_INPUT_BYTES));
    assert!(bytes.len() < MAX_INPUT_BYTES);
    assert_eq!(JobInput::decompress(&bytes), Err(InputError::TooLong));
}
