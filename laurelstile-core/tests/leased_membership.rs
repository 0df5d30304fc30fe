//! Membership of gateways: directories converge over few sessions, and updates reach all gateways.

mod leased_support;

use std::collections::VecDeque;

use laurelstile_core::leased::cancel_log::MAX_CANCELS;
use laurelstile_core::leased::crashes::CrashedTask;
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::gateway::{
    Answer, GatewayEffect, GatewayEvent, Identity, LeasedGateway,
};
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::membership::directory::Directory;
use laurelstile_core::leased::membership::page::{Page, record_key};
use laurelstile_core::leased::messages::{CandidateSummary, Introduction, Member, ToPeer};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::session::SessionId;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{GatewayRig, STOP, at, cpu, task};
use rstest::rstest;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Time within which directories converge if messages are not delayed, in milliseconds.
const CONVERGENCE_MILLIS: u64 = 6_000;

fn member(number: usize) -> Member {
    Member {
        name: format!("gateway-{number}"),
        address: (
            [127, 0, 0, 1],
            u16::try_from(number + 1).expect("number too large"),
        )
            .into(),
        zone: ZONES[number % ZONES.len()].into(),
    }
}

/// Gateways whose sessions deliver messages at once, unless they are partitioned.
struct Fleet {
    gateways: Vec<LeasedGateway>,
    /// Dialer and listener of each open session.
    sessions: Vec<Option<(usize, usize)>>,
    /// Gateways that are partitioned from the others.
    partitioned: Vec<usize>,
    /// The gateways that each gateway dials.
    wanted: Vec<Vec<Member>>,
    /// Undelivered messages, with their receivers.
    undelivered: VecDeque<(usize, SessionId, ToPeer)>,
    /// Delivered messages, with sender and receiver.
    delivered: Vec<(usize, usize, ToPeer)>,
    /// Answers to callers.
    answers: Vec<(CallNumber, Answer)>,
}

impl Fleet {
    /// A fleet in which each gateway has a session to the one before it.
    fn new(count: usize) -> Self {
        let gateways = (0..count).map(|number| {
            LeasedGateway::new(Identity {
                member: member(number),
                incarnation: laurelstile_types::id::Incarnation(number as u64),
                stop: STOP,
            })
        });
        let mut fleet = Self {
            gateways: gateways.collect(),
            sessions: Vec::new(),
            partitioned: Vec::new(),
            wanted: vec![Vec::new(); count],
            undelivered: VecDeque::new(),
            delivered: Vec::new(),
            answers: Vec::new(),
        };
        for number in 1..count {
            fleet.open(at(1), number, number - 1);
        }
        fleet
    }

    fn are_connected(&self, one: usize, other: usize) -> bool {
        self.partitioned.contains(&one) == self.partitioned.contains(&other)
    }

    fn open(&mut self, now: Timestamp, dialer: usize, dialed: usize) {
        let is_open = self.sessions.contains(&Some((dialer, dialed)));
        if is_open || dialer == dialed || !self.are_connected(dialer, dialed) {
            return;
        }
        let session = SessionId(self.sessions.len() as u64);
        self.sessions.push(Some((dialer, dialed)));
        for (gateway, is_dialed) in [(dialer, true), (dialed, false)] {
            let opened = GatewayEvent::PeerOpened { session, is_dialed };
            self.handle(now, gateway, opened);
        }
        self.deliver(now);
    }

    fn close(&mut self, now: Timestamp, session: SessionId) {
        let ends = self.sessions[usize::try_from(session.0).expect("number too large")].take();
        for gateway in ends.into_iter().flat_map(|(one, other)| [one, other]) {
            self.event(now, gateway, GatewayEvent::PeerClosed { session });
        }
    }

    fn event(&mut self, now: Timestamp, gateway: usize, event: GatewayEvent) {
        self.handle(now, gateway, event);
        self.deliver(now);
    }

    fn deliver(&mut self, now: Timestamp) {
        while let Some((to, session, message)) = self.undelivered.pop_front() {
            self.handle(now, to, GatewayEvent::PeerMessage { session, message });
        }
    }

    fn handle(&mut self, now: Timestamp, gateway: usize, event: GatewayEvent) {
        let mut effects = Vec::new();
        self.gateways[gateway].handle(now, event, &mut effects);
        self.gateways[gateway].flush(now, &mut effects);
        for effect in effects {
            match effect {
                GatewayEffect::ToPeer { session, message } => {
                    let index = usize::try_from(session.0).expect("number too large");
                    let Some((one, other)) = self.sessions[index] else {
                        continue;
                    };
                    let to = if one == gateway { other } else { one };
                    self.delivered.push((gateway, to, message.clone()));
                    self.undelivered.push_back((to, session, message));
                }
                GatewayEffect::Dial { members, .. } => self.wanted[gateway] = members,
                GatewayEffect::Close(session) => self.close(now, session),
                GatewayEffect::Answer { call, answer } => self.answers.push((call, answer)),
                _ => {}
            }
        }
    }

    /// Handles a tick of each gateway every 50 ms, and dials the gateways that it wants.
    fn run(&mut self, from: u64, to: u64) {
        for millis in (from..to).step_by(50) {
            for gateway in 0..self.gateways.len() {
                self.event(at(millis), gateway, GatewayEvent::Tick);
                for other in self.wanted[gateway].clone() {
                    let other = usize::from(other.address.port()) - 1;
                    self.open(at(millis), gateway, other);
                }
            }
        }
    }

    fn partition(&mut self, now: Timestamp, partitioned: Vec<usize>) {
        self.partitioned = partitioned;
        for index in 0..self.sessions.len() {
            if self.sessions[index].is_some_and(|(one, other)| !self.are_connected(one, other)) {
                self.close(now, SessionId(index as u64));
            }
        }
    }

    /// Number of sessions of the gateway that has the most.
    fn max_sessions(&self) -> usize {
        let count = |gateway: usize| {
            let open = self.sessions.iter().flatten();
            open.filter(|(one, other)| *one == gateway || *other == gateway)
                .count()
        };
        (0..self.gateways.len())
            .map(count)
            .max()
            .expect("no gateways")
    }

    fn known_count(&self, gateway: usize) -> usize {
        self.gateways[gateway].known_members().count()
    }

    /// Number of gateways, except `first`, that received the cancellation of a job.
    fn count_cancelled(&self, first: usize, job: JobId) -> usize {
        let is_told = |(_, _, message): &&(usize, usize, ToPeer)| match message {
            ToPeer::Cancelled(jobs) => jobs.contains(&job),
            ToPeer::CancelledEarlier(list) => list.jobs.contains(&job),
            ToPeer::CancelRequested(request) => request.job == job,
            _ => false,
        };
        let sent = self.delivered.iter().filter(is_told);
        let receivers = sent.map(|(_, to, _)| *to).filter(|to| *to != first);
        let mut receivers: Vec<usize> = receivers.collect();
        receivers.sort_unstable();
        receivers.dedup();
        receivers.len()
    }

    fn cancel(&mut self, now: Timestamp, gateway: usize, job: JobId) {
        let call = CallNumber(job.0);
        self.event(now, gateway, GatewayEvent::Cancel { call, job });
    }
}

#[rstest]
#[case::forty(40)]
#[case::eighty(80)]
fn every_gateway_learns_of_all_over_few_sessions(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.run(10, CONVERGENCE_MILLIS);
    for gateway in 0..count {
        assert_eq!(fleet.known_count(gateway), count, "gateway {gateway}");
    }
    assert!(fleet.max_sessions() <= 24, "{}", fleet.max_sessions());
}

/// The only path to the last gateway leads over single sessions.
#[test]
fn a_cancellation_reaches_all_over_a_single_path() {
    let mut fleet = Fleet::new(12);
    // The gateways form a chain, since ticks do not run and none dials.
    fleet.delivered.clear();
    fleet.cancel(at(5), 0, JobId(7));
    assert_eq!(fleet.count_cancelled(0, JobId(7)), 11);
}

#[test]
fn a_cancellation_is_sent_once_per_session_and_direction() {
    let mut fleet = Fleet::new(40);
    fleet.run(10, CONVERGENCE_MILLIS);
    fleet.delivered.clear();
    fleet.cancel(at(CONVERGENCE_MILLIS), 3, JobId(7));
    assert_eq!(fleet.count_cancelled(3, JobId(7)), 39);
    let sessions = fleet.sessions.iter().flatten().count();
    let is_confirmation =
        |(_, _, message): &&(usize, usize, ToPeer)| matches!(message, ToPeer::CancelConfirmed(_));
    let confirmations = fleet.delivered.iter().filter(is_confirmation).count();
    let requests = fleet.delivered.len() - confirmations;
    assert!(requests <= 2 * sessions, "{requests} requests");
    assert_eq!(confirmations, requests, "each request is answered once");
}

/// Guards against cancellations that are never acknowledged in large deployments, where the gateways
/// behind a peer are known by its answer only.
#[test]
fn a_cancellation_is_acknowledged_once_all_of_a_large_deployment_have_confirmed() {
    let mut fleet = Fleet::new(40);
    fleet.run(10, CONVERGENCE_MILLIS);
    fleet.cancel(at(CONVERGENCE_MILLIS), 3, JobId(7));
    assert_eq!(fleet.answers, [(CallNumber(7), Answer::Unknown)]);
}

/// Guards against the acknowledgement of a cancellation that a part of the gateways has not heard of.
#[test]
fn a_cancellation_is_not_acknowledged_while_a_third_is_partitioned() {
    let mut fleet = Fleet::new(30);
    fleet.run(10, CONVERGENCE_MILLIS);
    fleet.partition(at(CONVERGENCE_MILLIS), (0..10).collect());
    fleet.run(CONVERGENCE_MILLIS, CONVERGENCE_MILLIS + 3_000);
    fleet.cancel(at(CONVERGENCE_MILLIS + 3_000), 20, JobId(7));
    fleet.run(CONVERGENCE_MILLIS + 3_000, CONVERGENCE_MILLIS + 4_000);
    let is_unacknowledged =
        |(_, answer): &(CallNumber, Answer)| matches!(answer, Answer::CancelUnacknowledged { .. });
    assert_eq!(fleet.answers.len(), 1);
    assert!(fleet.answers.iter().all(is_unacknowledged));
}

#[test]
fn a_partitioned_third_rejoins_and_receives_what_it_missed() {
    let mut fleet = Fleet::new(30);
    fleet.run(10, CONVERGENCE_MILLIS);
    fleet.partition(at(CONVERGENCE_MILLIS), (0..10).collect());
    fleet.run(CONVERGENCE_MILLIS, CONVERGENCE_MILLIS + 3_000);
    fleet.cancel(at(CONVERGENCE_MILLIS + 3_000), 20, JobId(7));
    fleet.run(CONVERGENCE_MILLIS + 3_000, CONVERGENCE_MILLIS + 4_000);
    assert_eq!(
        fleet.count_cancelled(20, JobId(7)),
        19,
        "those in its partition"
    );
    fleet.partition(at(CONVERGENCE_MILLIS + 4_000), Vec::new());
    fleet.run(CONVERGENCE_MILLIS + 4_000, CONVERGENCE_MILLIS + 9_000);
    assert_eq!(fleet.count_cancelled(20, JobId(7)), 29);
    for gateway in 0..30 {
        assert_eq!(fleet.known_count(gateway), 30, "gateway {gateway}");
    }
}

#[test]
fn converged_neighbors_send_nothing() {
    let mut fleet = Fleet::new(30);
    fleet.run(10, CONVERGENCE_MILLIS);
    fleet.delivered.clear();
    fleet.run(CONVERGENCE_MILLIS, CONVERGENCE_MILLIS + 20_000);
    assert!(fleet.delivered.is_empty(), "{:?}", fleet.delivered.first());
}

/// One of two gateways cannot read the list in the store, so their directories keep differing; they
/// must not request members without end.
#[test]
fn a_directory_that_keeps_differing_is_requested_once() {
    let mut rig = GatewayRig::new();
    let session = SessionId(50);
    rig.open_peer(at(1), session);
    let introduction = Introduction::new(&member(1), Directory::new(member(9)).digest());
    let message = ToPeer::Introduction(introduction);
    rig.peer_message(at(1), session, message);
    for millis in (10..30_000).step_by(100) {
        rig.tick(at(millis));
        let message = ToPeer::Members(Vec::new());
        rig.peer_message(at(millis), session, message);
    }
    let asked = rig.to_peers.iter();
    let asked = asked.filter(|(_, message)| matches!(message, ToPeer::MembersWanted(_)));
    assert_eq!(asked.count(), 1);
}

#[test]
fn an_older_version_is_sent_the_members_and_nothing_that_it_cannot_decode() {
    let mut rig = GatewayRig::new();
    let session = SessionId(50);
    rig.open_peer(at(1), session);
    let introduction = Introduction {
        directory: None,
        ..Introduction::new(&member(1), Digest::default())
    };
    let message = ToPeer::Introduction(introduction);
    rig.peer_message(at(1), session, message);
    let message = ToPeer::Members(vec![member(2), member(3)]);
    rig.peer_message(at(2), session, message);
    rig.pass_time(100, 5_000);
    let is_old =
        |message: &ToPeer| !matches!(message, ToPeer::Digest(_) | ToPeer::MembersWanted(_));
    assert!(rig.to_peers.iter().all(|(_, message)| is_old(message)));
    let sent = rig.to_peers.iter();
    let sent = sent.filter(|(_, message)| matches!(message, ToPeer::Members(_)));
    assert_eq!(sent.count(), 1);
}

/// An older version decodes an introduction as a member.
#[test]
fn introductions_are_compatible_with_older_versions() {
    let introduction = Introduction::new(&member(1), Digest::default());
    let mut bytes = Vec::new();
    ciborium::into_writer(&introduction, &mut bytes).expect("encoding failed");
    let read: Member = ciborium::from_reader(bytes.as_slice()).expect("decoding failed");
    assert_eq!(read, member(1));
    bytes.clear();
    ciborium::into_writer(&member(1), &mut bytes).expect("encoding failed");
    let read: Introduction = ciborium::from_reader(bytes.as_slice()).expect("decoding failed");
    assert_eq!(read.directory, None);
}

fn page(members: Vec<Member>) -> Page {
    Page {
        from: String::new(),
        until: None,
        members,
    }
}

fn known_ports(directory: &Directory) -> Vec<String> {
    let members = directory.members();
    members
        .map(|member| member.address.port().to_string())
        .collect()
}

#[test]
fn a_member_claimed_by_peers_expires_unless_the_list_confirms_it() {
    let mut directory = Directory::new(member(0));
    directory.add_claimed(at(0), vec![member(1), member(2)]);
    directory.read_page(at(8_000), page(vec![member(1)]));
    assert_eq!(
        known_ports(&directory),
        ["1", "2", "3"],
        "its record may not be listed yet"
    );
    directory.read_page(at(17_000), page(vec![member(1)]));
    assert_eq!(known_ports(&directory), ["1", "2"]);
    directory.read_page(at(25_000), page(Vec::new()));
    assert_eq!(known_ports(&directory), ["1"], "the gateway itself remains");
}

#[test]
fn a_page_removes_no_members_outside_its_range() {
    let mut directory = Directory::new(member(0));
    directory.read_page(at(0), page((1..9).map(member).collect()));
    let keys = (1..9).map(|number| record_key(&member(number).name));
    let mut keys: Vec<String> = keys.collect();
    keys.sort();
    let part = Page {
        from: keys[2].clone(),
        until: Some(keys[5].clone()),
        members: Vec::new(),
    };
    directory.read_page(at(20_000), part);
    assert_eq!(
        known_ports(&directory).len(),
        1 + 4,
        "four keys were covered"
    );
}

#[test]
fn a_session_decides_between_two_addresses_of_a_name() {
    let moved = Member {
        address: ([127, 0, 0, 1], 900).into(),
        ..member(1)
    };
    let mut directory = Directory::new(member(0));
    directory.add_claimed(at(0), vec![member(1)]);
    directory.add_claimed(at(1), vec![moved.clone()]);
    assert_eq!(known_ports(&directory), ["1", "2", "900"]);
    directory.on_session_opened(SessionId(1), &moved);
    assert_eq!(known_ports(&directory), ["1", "900"]);
    directory.add_claimed(at(2), vec![member(1)]);
    assert_eq!(
        known_ports(&directory),
        ["1", "900"],
        "an outdated claim is ignored"
    );
}

/// The list may still have the gateway's record from before its start.
#[test]
fn claims_about_the_own_name_are_ignored() {
    let before = Member {
        address: ([127, 0, 0, 1], 900).into(),
        ..member(0)
    };
    let mut directory = Directory::new(member(0));
    directory.read_page(at(0), page(vec![before.clone(), member(1)]));
    directory.add_claimed(at(1), vec![before]);
    assert_eq!(known_ports(&directory), ["1", "2"]);
}

#[test]
fn the_digest_does_not_depend_on_order_or_repetition() {
    let mut one = Directory::new(member(0));
    one.add_claimed(at(0), (1..20).map(member).collect());
    let mut other = Directory::new(member(0));
    other.add_claimed(at(0), (1..20).rev().map(member).collect());
    other.add_claimed(at(1), (1..20).map(member).collect());
    assert_eq!(one.digest(), other.digest());
    assert!(one.differing_from(&other.part_digests()).is_empty());
    other.add_claimed(at(2), vec![member(30)]);
    assert_ne!(one.digest(), other.digest());
    let missing = other.differing_from(&one.part_digests());
    assert!(missing.contains(&member(30)) && missing.len() < 10);
}

/// An agent that already knows its candidates is sent none again.
#[test]
fn an_agent_is_sent_only_what_it_does_not_know() {
    let mut rig = GatewayRig::new();
    let session = SessionId(50);
    rig.open_peer(at(1), session);
    let message = ToPeer::Members((1..40).map(member).collect());
    rig.peer_message(at(2), session, message);
    rig.join(at(10), 1, "agent-1", cpu(1_000));
    let sent = rig.members.pop().expect("no members were sent").1;
    assert!(sent.len() <= 30, "{}", sent.len());

    let mut subset =
        laurelstile_core::leased::membership::subset::Subset::new("agent-1".into(), "here".into());
    subset.add_members(sent);
    let first = subset.first_message(at(20));
    let Some(CandidateSummary { zone, .. }) = first.candidates.as_deref() else {
        panic!("the first message has no summary");
    };
    assert_eq!(zone, "here");
    let mut rig_after = rig;
    let opened = GatewayEvent::AgentOpened {
        session: SessionId(2),
        remote: laurelstile_core::session::Remote {
            name: "agent-1".into(),
            incarnation: laurelstile_types::id::Incarnation(77),
            uptime: Span::default(),
        },
    };
    rig_after.event(at(20), opened);
    let message = GatewayEvent::AgentMessage {
        session: SessionId(2),
        message: first,
    };
    rig_after.event(at(20), message);
    rig_after.pass_time(30, 1_000);
    assert!(rig_after.members.is_empty());
}

/// While the log of cancellations is full, repeated and new cancellations cannot be distinguished.
#[test]
fn cancellations_are_not_forwarded_while_the_log_is_full() {
    let mut fleet = Fleet::new(3);
    for job in 0..MAX_CANCELS as u64 {
        fleet.cancel(at(10), 0, JobId(job));
    }
    fleet.delivered.clear();
    fleet.cancel(at(11), 0, JobId(u64::MAX));
    assert_eq!(
        fleet.count_cancelled(0, JobId(u64::MAX)),
        1,
        "only to its neighbor"
    );
}

#[test]
fn new_crashes_are_forwarded_but_not_back_to_the_sender() {
    let mut rig = GatewayRig::new();
    for number in [50, 51, 52] {
        let session = SessionId(number);
        rig.open_peer(at(1), session);
    }
    rig.to_peers.clear();
    let crash = laurelstile_core::leased::crashes::WorkerCrash {
        incarnation: "worker-1".into(),
        runs: 1,
        tasks: vec![CrashedTask {
            task: task(1, 0),
            is_early: true,
        }],
    };
    let session = SessionId(51);
    for millis in [2, 3] {
        let message = ToPeer::Crashes(vec![crash.clone()]);
        rig.peer_message(at(millis), session, message);
    }
    let sent = rig.to_peers.iter();
    let sent = sent.filter(|(_, message)| matches!(message, ToPeer::Crashes(_)));
    let sent: Vec<u64> = sent.map(|(session, _)| session.0).collect();
    assert_eq!(sent, [50, 52]);
}
