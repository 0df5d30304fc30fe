//! Tests for messages of gateways that have not received the current description of a worker: its
//! incarnation, service and labels.

mod leased_support;

use std::collections::VecDeque;

use laurelstile_core::leased::agent::stated_labels::StatedLabels;
use laurelstile_core::leased::agent::worker::{Registration, RunLists, WorkerEnd, WorkerEndKind};
use laurelstile_core::leased::agent::{AgentDecision, AgentEvent, CommandKind, HeartbeatTiming};
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{
    Announcement, EndKind, FromAgent, FromAgentBody, NotStartedReason, ToAgent, ToAgentBody,
};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::worker_incarnation::WorkerIncarnation;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{
    AgentRig, FIRST_START, GATEWAY, GatewayRig, SECOND_START, SESSION, answer_restarted, at, cpu,
    heartbeat_of, incarnation, job, registration, task,
};
use proptest::prelude::*;
use rstest::rstest;

/// Id of the worker's first incarnation.
const EARLIER: &str = "life-1";
/// Id of its second one.
const LATER: &str = "life-2";

fn worker(now: Timestamp, id: &str, service: &str, labels: &[&str]) -> Registration {
    Registration {
        service: service.into(),
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        ..registration(now, id.into(), cpu(4_000), false)
    }
}

/// An agent whose worker has the label `a`.
fn agent() -> AgentRig {
    let mut rig = AgentRig::new();
    rig.heartbeat(at(0), worker(at(0), EARLIER, "parcels", &["a"]));
    rig.answer_watch(at(0), RunLists::default());
    assert!(rig.is_available());
    rig
}

/// The worker is replaced at its address, and the agent has its successor under control.
fn replace(rig: &mut AgentRig, millis: u64, successor: Registration) {
    let incarnation = successor.incarnation.clone();
    rig.heartbeat(at(millis), successor);
    rig.end_incarnation(at(millis));
    rig.incarnation = incarnation;
    rig.answer_watch(at(millis), RunLists::default());
    assert!(rig.is_available());
}

fn not_started(reason: NotStartedReason) -> EndKind {
    EndKind::NotStarted(reason)
}

/// Guards against tasks that start on a worker that was never chosen for them: it has replaced the chosen
/// one while the start was on its way.
#[rstest]
#[case::without_the_label(worker(at(100), LATER, "parcels", &["b"]))]
#[case::of_another_service(worker(at(100), LATER, "letters", &["a"]))]
#[case::of_the_same_kind(worker(at(100), LATER, "parcels", &["a"]))]
fn a_start_for_the_worker_before_is_not_started(#[case] successor: Registration) {
    let mut rig = agent();
    replace(&mut rig, 100, successor);
    let batch = rig.batch(1, 2, 4);
    rig.message_with_echo(at(110), at(99), batch);
    assert!(rig.take_starts().is_empty());
    let outcome = not_started(NotStartedReason::Unavailable);
    assert_eq!(rig.ends(), [(task(1, 0), outcome), (task(1, 1), outcome)]);
    let reported = rig.decisions.iter().any(|decision| {
        let job = JobId(1);
        matches!(decision, AgentDecision::StartOutdated { job: of, tasks: 2, .. } if *of == job)
    });
    assert!(reported, "{:?}", rig.decisions);
    // A gateway that has received the description is served.
    let batch = rig.batch(2, 1, 4);
    rig.message(at(120), batch);
    assert_eq!(rig.take_starts().len(), 1);
}

/// Guards against starts of a gateway that has received a message of the same moment, but not yet the
/// snapshot that followed it.
#[test]
fn a_new_description_has_a_later_clock_reading_than_all_messages_before() {
    let mut rig = agent();
    rig.open(at(100), SessionId(71), Incarnation(8));
    let batch = rig.batch(1, 1, 4);
    rig.message(at(100), batch);
    let started = rig.take_starts();
    rig.answer_start(at(100), started[0], None);
    replace(&mut rig, 100, worker(at(100), LATER, "parcels", &["b"]));
    replace(&mut rig, 100, worker(at(100), "life-3", "parcels", &["c"]));
    for session in [SESSION, SessionId(71)] {
        let sent = rig.sent.iter().filter(|(to, _)| *to == session);
        let sent: Vec<&FromAgent> = sent.map(|(_, message)| message).collect();
        let mut labels: Option<&[String]> = None;
        let mut snapshots = 0;
        for (index, message) in sent.iter().enumerate() {
            let FromAgentBody::Snapshot(snapshot) = &message.body else {
                continue;
            };
            if labels != Some(&snapshot.labels) {
                let before = sent[..index].iter().map(|earlier| earlier.clock).max();
                assert!(before.is_none_or(|before| before < message.clock));
            }
            labels = Some(&snapshot.labels);
            snapshots += 1;
        }
        assert!(snapshots >= 2, "{snapshots}");
    }
}

/// Guards against tasks that start on a worker that has started again under its id, by the labels that it
/// had before: its run lists tell of the restart before its first heartbeat tells of its labels.
#[test]
fn labels_of_a_worker_that_starts_again_under_its_id_are_those_of_its_heartbeat() {
    let labelled = |started_at: u64, age: u64, label: &str| Registration {
        labels: vec![label.into()],
        ..heartbeat_of(started_at, age, 4_000, false)
    };
    let mut rig = AgentRig::new();
    rig.incarnation = incarnation(FIRST_START);
    rig.heartbeat(at(0), labelled(FIRST_START, 9_000, "a"));
    rig.answer_watch(at(1), RunLists::default());
    assert!(rig.is_available());
    answer_restarted(&mut rig, at(100), SECOND_START, RunLists::default());
    let before = rig.batch(1, 1, 4);
    rig.message(at(110), before);
    assert!(rig.take_starts().is_empty(), "its labels are not known");
    rig.heartbeat(at(120), labelled(SECOND_START, 20, "b"));
    assert!(rig.is_available());
    assert_eq!(sent_labels(&rig), ["b"]);
    let late = rig.batch(2, 1, 4);
    rig.message_with_echo(at(121), at(119), late);
    assert!(rig.take_starts().is_empty());
    let fresh = rig.batch(3, 1, 4);
    rig.message(at(122), fresh);
    assert_eq!(rig.take_starts().len(), 1);
}

/// Guards against a start that is accepted on a new session because the worker's description was known on
/// an earlier one.
#[test]
fn a_description_is_not_known_before_it_is_sent_on_the_session() {
    let mut rig = agent();
    let session = SessionId(72);
    rig.open(at(100), session, GATEWAY);
    rig.heartbeat(at(101), worker(at(101), LATER, "parcels", &["b"]));
    rig.end_incarnation(at(102));
    let batch = rig.batch(1, 1, 4);
    rig.message_from(at(103), session, batch);
    assert!(rig.take_starts().is_empty());
}

/// Guards against tasks that wait at the agent for room on one worker and start on the next.
#[test]
fn tasks_that_wait_for_room_do_not_start_on_the_next_worker() {
    let mut rig = agent();
    let full = rig.batch(1, 4, 4);
    rig.message(at(10), full);
    assert_eq!(rig.take_starts().len(), 4);
    let waiting = rig.batch(2, 1, 5_000);
    rig.message(at(11), waiting);
    replace(&mut rig, 100, worker(at(100), LATER, "parcels", &["b"]));
    rig.tick(at(101));
    assert!(rig.take_starts().is_empty());
    assert!(rig.ends().iter().any(|(ended, _)| *ended == task(2, 0)));
}

/// Guards against jobs that count as started, and can no longer be refused truthfully, because a task of
/// theirs waited for room on a worker that ended.
#[rstest]
#[case::superseded(|rig: &mut AgentRig| {
    replace(rig, 100, worker(at(100), LATER, "parcels", &["b"]));
})]
#[case::crashed(|rig: &mut AgentRig| rig.crash(at(100)))]
fn tasks_that_wait_for_room_are_not_started_if_the_worker_ends(
    #[case] end_worker: impl FnOnce(&mut AgentRig),
) {
    let mut rig = agent();
    let full = rig.batch(1, 4, 4);
    rig.message(at(10), full);
    for run in rig.take_starts() {
        rig.answer_start(at(10), run, None);
    }
    let waiting = rig.batch(2, 1, 5_000);
    rig.message(at(11), waiting);
    end_worker(&mut rig);
    let outcomes = rig.ends();
    let of_waiting = outcomes.iter().find(|(ended, _)| *ended == task(2, 0));
    let expected = not_started(NotStartedReason::Unavailable);
    assert_eq!(of_waiting, Some(&(task(2, 0), expected)));
}

fn announce(job: u64, ttl_millis: u32) -> ToAgentBody {
    ToAgentBody::Announce(vec![Announcement {
        job: JobId(job),
        step: 0,
        resources: cpu(1_000),
        count: 1,
        rank: 1,
        ttl_millis,
        queue: None,
        may_preempt: false,
        preemption_budget_percent: 0,
        preempted_queue: None,
    }])
}

/// Guards against resources of a worker that are reserved for tasks that wait for the one before: they
/// may not be able to use them.
#[test]
fn announcements_for_the_worker_before_get_no_offers() {
    let mut rig = agent();
    let full = rig.batch(1, 4, 4);
    rig.message(at(10), full);
    rig.message(at(11), announce(2, 10_000));
    replace(&mut rig, 100, worker(at(100), LATER, "parcels", &["b"]));
    rig.message_with_echo(at(110), at(99), announce(3, 10_000));
    assert!(rig.offers(SESSION).is_empty());
    rig.message(at(120), announce(4, 10_000));
    assert_eq!(rig.offers(SESSION).len(), 1);
}

/// Guards against jobs that wait for up to a second because the agents that they were announced to have
/// forgotten them.
#[rstest]
#[case::other_labels(&["a", "b"], 2)]
#[case::the_same_worker(&["a"], 1)]
fn jobs_are_announced_again_when_a_worker_changes(
    #[case] labels: &[&str],
    #[case] announcements: usize,
) {
    let mut rig = GatewayRig::new();
    rig.join_labelled(at(1), 1, cpu(1_000), &["a"]);
    rig.report(at(2), 1, 0, cpu(0), FromAgentBody::Heartbeat);
    rig.submit(at(10), 1, labelled_job(1, "a"));
    assert_eq!(rig.announced.len(), 1);
    rig.relabel(at(20), 1, cpu(0), labels);
    assert_eq!(rig.announced.len(), announcements);
}

/// Interval of the worker's heartbeats where labels change.
const INTERVAL_MILLIS: u64 = 1_000;

/// An agent whose worker has the label `a` and the rack `r`, and sends frequent heartbeats.
fn agent_of_labelled_worker() -> AgentRig {
    let mut rig = AgentRig::with_heartbeats(HeartbeatTiming {
        interval: Span::from_millis(INTERVAL_MILLIS),
        grace: Span::from_secs(3),
    });
    rig.heartbeat(at(0), worker(at(0), EARLIER, "parcels", &["a", "r"]));
    rig.answer_watch(at(0), RunLists::default());
    rig
}

/// The labels in the latest snapshot.
fn sent_labels(rig: &AgentRig) -> Vec<String> {
    let mut snapshots = rig.sent.iter().rev().filter_map(|(_, message)| {
        let FromAgentBody::Snapshot(snapshot) = &message.body else {
            return None;
        };
        Some(snapshot.labels.clone())
    });
    snapshots.next().expect("a snapshot")
}

/// Guards against tasks that start on a worker whose own heartbeat has changed its labels since it was
/// chosen, or that still waited for room there.
#[test]
fn a_label_that_a_heartbeat_lacks_is_not_used() {
    let mut rig = agent_of_labelled_worker();
    let full = rig.batch(1, 4, 4);
    rig.message(at(10), full);
    assert_eq!(rig.take_starts().len(), 4);
    let waiting = rig.batch(2, 1, 5_000);
    rig.message(at(11), waiting);
    let changed = |millis| worker(at(millis), EARLIER, "parcels", &["b", "r"]);
    rig.heartbeat(at(900), changed(900));
    assert_eq!(sent_labels(&rig), ["r"], "those that all heartbeats state");
    let outcome = not_started(NotStartedReason::Unavailable);
    assert_eq!(rig.ends(), [(task(2, 0), outcome)]);
    let late = rig.batch(3, 1, 4);
    rig.message_with_echo(at(910), at(899), late);
    assert_eq!(rig.ends().last(), Some(&(task(3, 0), outcome)));
    let record = rig.stored_records.last().expect("a record");
    assert_eq!(record.registration.labels, ["r"], "for the next agent");
    rig.heartbeat(at(1_900), changed(1_900));
    assert_eq!(sent_labels(&rig), ["r"]);
    rig.heartbeat(at(2_900), changed(2_900));
    assert_eq!(sent_labels(&rig), ["b", "r"]);
}

/// Guards against a label that another sender claims under the worker's id, and against a worker that
/// stays without its own labels after that.
#[rstest]
#[case::in_order(0)]
#[case::ahead_of_all_others(1_000_000_000)]
fn labels_of_another_sender_are_not_gained(#[case] sequence: u64) {
    let mut rig = agent_of_labelled_worker();
    let mut claimed = worker(at(500), EARLIER, "parcels", &["a", "b"]);
    claimed.sequence += sequence;
    rig.heartbeat(at(500), claimed);
    assert_eq!(sent_labels(&rig), ["a"]);
    for millis in (1_000..=3_000).step_by(1_000) {
        let own = worker(at(millis), EARLIER, "parcels", &["r", "a"]);
        rig.heartbeat(at(millis), own);
        assert!(!sent_labels(&rig).contains(&"b".to_owned()));
    }
    assert_eq!(sent_labels(&rig), ["r", "a"]);
}

/// Guards against snapshots, and starts that are refused, for labels that are only listed in another order.
#[test]
fn labels_in_another_order_change_nothing() {
    let mut rig = agent_of_labelled_worker();
    rig.message(at(10), ToAgentBody::Heartbeat);
    let sent = rig.sent.len();
    rig.heartbeat(at(500), worker(at(500), EARLIER, "parcels", &["r", "a"]));
    assert_eq!(rig.sent.len(), sent);
    let batch = rig.batch(1, 1, 4);
    rig.message_with_echo(at(501), at(490), batch);
    assert_eq!(rig.take_starts().len(), 1);
}

proptest! {
    /// Guards against a label that some heartbeat of the last two intervals did not state, however many
    /// different ones there are.
    #[test]
    fn usable_labels_are_stated_by_all_recent_heartbeats(
        heartbeats in prop::collection::vec((0..400_u64, prop::collection::btree_set(0..4_u8, 0..4)), 1..40)
    ) {
        let retention = Span::from_millis(500);
        let name = |label: &u8| format!("label-{label}");
        let mut labels = StatedLabels::new(at(0), Vec::new());
        let mut stated: Vec<(u64, Vec<String>)> = vec![(0, Vec::new())];
        let mut now = 0;
        for (pause, set) in heartbeats {
            now += pause;
            let set: Vec<String> = set.iter().map(name).collect();
            labels.record(at(now), &set, retention);
            stated.push((now, set));
            for label in labels.usable() {
                let mut recent = stated.iter().filter(|(at, _)| now - at <= 500);
                prop_assert!(recent.all(|(_, set)| set.contains(label)), "{label} at {now}");
            }
        }
    }
}

fn labelled_job(id: u64, label: &str) -> JobRequest {
    let mut request = job(id, 1, 20);
    request.steps[0].label = Some(label.into());
    request
}

/// A gateway, an agent and its worker, which a test replaces, with links that deliver messages late.
struct Pair {
    gateway: GatewayRig,
    agent: AgentRig,
    now: u64,
    to_agent: VecDeque<ToAgent>,
    to_gateway: VecDeque<FromAgent>,
    /// Labels of the worker.
    labels: Vec<&'static str>,
    service: &'static str,
    replaced: u32,
    ended: Vec<WorkerEnd>,
    /// The label that each job requires.
    required: Vec<&'static str>,
    /// Jobs of which a task started on a worker that must not run it.
    misplaced: Vec<JobId>,
}

const LABELS: [&str; 3] = ["a", "b", "c"];
/// Service of the jobs.
const SERVICE: &str = "parcels";

impl Pair {
    fn new() -> Self {
        let mut pair = Self {
            gateway: GatewayRig::new(),
            agent: AgentRig::new(),
            now: 1,
            to_agent: VecDeque::new(),
            to_gateway: VecDeque::new(),
            labels: vec!["a"],
            service: SERVICE,
            replaced: 0,
            ended: Vec::new(),
            required: Vec::new(),
            misplaced: Vec::new(),
        };
        pair.gateway
            .open_agent(at(1), SESSION.0, "agent-1", Incarnation(1), Span::default());
        let registration = pair.registration();
        pair.agent.heartbeat(at(1), registration);
        pair.agent.answer_watch(at(1), RunLists::default());
        pair.collect();
        pair
    }

    fn registration(&self) -> Registration {
        let id = format!("life-{}", self.replaced + 1);
        worker(at(self.now), &id, self.service, &self.labels)
    }

    fn replace(&mut self, labels: Vec<&'static str>, service: &'static str) {
        self.replaced += 1;
        (self.labels, self.service) = (labels, service);
        self.ended.clear();
        let registration = self.registration();
        let incarnation: WorkerIncarnation = registration.incarnation.clone();
        self.agent.heartbeat(at(self.now), registration);
        self.agent.commands.clear();
        self.agent.end_incarnation(at(self.now));
        self.agent.incarnation = incarnation;
        self.agent.commands.clear();
        let lists = RunLists::default();
        self.agent.answer_watch(at(self.now), lists);
        self.collect();
    }

    fn submit(&mut self, label: &'static str) {
        self.required.push(label);
        let id = self.required.len() as u64;
        let request = labelled_job(id, label);
        self.gateway.submit(at(self.now), id, request);
        self.collect();
    }

    /// Queues what was sent, and lets the worker carry out its commands.
    fn collect(&mut self) {
        let sent = std::mem::take(&mut self.gateway.to_agents);
        self.to_agent
            .extend(sent.into_iter().map(|(_, message)| message));
        let sent = self.agent.sent.drain(..);
        self.to_gateway.extend(sent.map(|(_, message)| message));
        while let Some(command) = self.agent.commands.pop_front() {
            let now = at(self.now);
            match command.kind {
                CommandKind::Start { run, .. } => {
                    let job = run.task.job;
                    let required = self.required[usize::try_from(job.0).expect("small") - 1];
                    if self.service != SERVICE || !self.labels.contains(&required) {
                        self.misplaced.push(job);
                    }
                    let number = self.ended.len() as u64 + 1;
                    self.ended.push(WorkerEnd {
                        number,
                        run,
                        how: WorkerEndKind::Done,
                    });
                    self.agent.answer_start(now, run, None);
                    let lists = RunLists {
                        ended: self.ended.clone(),
                        ..RunLists::default()
                    };
                    self.agent.answer_watch(now, lists);
                }
                CommandKind::Stop { run } => self.agent.answer_stop(now, run, true),
                CommandKind::Watch { .. } => {}
            }
            let sent = self.agent.sent.drain(..);
            self.to_gateway.extend(sent.map(|(_, message)| message));
        }
    }

    fn deliver_to_agent(&mut self) {
        if let Some(message) = self.to_agent.pop_front() {
            let event = AgentEvent::Message {
                session: SESSION,
                message,
            };
            self.agent.event(at(self.now), event);
            self.collect();
        }
    }

    fn deliver_to_gateway(&mut self) {
        if let Some(message) = self.to_gateway.pop_front() {
            let event = GatewayEvent::AgentMessage {
                session: SESSION,
                message,
            };
            self.gateway.event(at(self.now), event);
            self.collect();
        }
    }

    fn pass_time(&mut self, millis: u64) {
        self.now += millis;
        self.agent.tick(at(self.now));
        self.gateway.tick(at(self.now));
        self.collect();
    }

    /// Delivers everything for a while, without delay.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.pass_time(5);
            while !self.to_agent.is_empty() || !self.to_gateway.is_empty() {
                self.deliver_to_agent();
                self.deliver_to_gateway();
            }
        }
    }

    fn answer_to(&self, call: u64) -> Option<Answer> {
        let call = CallNumber(call);
        let mut answers = self.gateway.answers.iter();
        answers
            .find(|(of, _)| *of == call)
            .map(|(_, answer)| *answer)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Replace(usize, bool),
    ToAgent,
    ToGateway,
    Time(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..LABELS.len()).prop_map(Step::Submit),
        1 => (0..LABELS.len(), prop::bool::weighted(0.8))
            .prop_map(|(label, is_same)| Step::Replace(label, is_same)),
        6 => Just(Step::ToAgent),
        6 => Just(Step::ToGateway),
        3 => (1..40_u64).prop_map(Step::Time),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against any order of starts, ends, snapshots and replacements in which a task starts on a
    /// worker without its label or of another service, or its job fails because it was not started.
    #[test]
    fn no_task_starts_on_a_worker_that_must_not_run_it(steps in steps()) {
        let mut pair = Pair::new();
        for step in steps {
            match step {
                Step::Submit(label) => pair.submit(LABELS[label]),
                Step::Replace(label, is_same) => {
                    let service = if is_same { SERVICE } else { "letters" };
                    pair.replace(vec![LABELS[label]], service);
                }
                Step::ToAgent => pair.deliver_to_agent(),
                Step::ToGateway => pair.deliver_to_gateway(),
                Step::Time(millis) => pair.pass_time(millis),
            }
        }
        prop_assert_eq!(&pair.misplaced, &Vec::<JobId>::new());
        pair.replace(vec!["a"], SERVICE);
        pair.settle();
        prop_assert_eq!(&pair.misplaced, &Vec::<JobId>::new());
        let failed = pair.gateway.answers.iter().find(|(_, answer)| *answer == Answer::Failed);
        prop_assert!(failed.is_none(), "{:?}", failed);
        pair.submit("a");
        pair.settle();
        let call = pair.required.len() as u64;
        prop_assert_eq!(pair.answer_to(call), Some(Answer::Completed));
    }
}
