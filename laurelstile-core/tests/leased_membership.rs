//! What gateways know of each other: sessions to a few, news to all.

mod leased_support;

use std::collections::VecDeque;

use laurelstile_core::leased::crashes::CrashedTask;
use laurelstile_core::leased::gateway::{GatewayEffect, GatewayEvent, Identity, LeasedGateway};
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
/// How long a fleet has to agree in a test without delays.
const SOON: u64 = 6_000;

fn member(number: usize) -> Member {
    Member {
        name: format!("gateway-{number}"),
        address: ([127, 0, 0, 1], u16::try_from(number + 1).expect("few")).into(),
        zone: ZONES[number % ZONES.len()].into(),
    }
}

/// Gateways with sessions that carry everything at once, but between those that are apart.
struct Fleet {
    gateways: Vec<LeasedGateway>,
    /// Ends of each session: who dialed it, and whom.
    sessions: Vec<Option<(usize, usize)>>,
    /// Gateways that cannot reach the others.
    apart: Vec<usize>,
    /// What each is to dial.
    wanted: Vec<Vec<Member>>,
    /// Messages under way, with their receivers.
    under_way: VecDeque<(usize, SessionId, ToPeer)>,
    /// Messages that were carried.
    carried: Vec<(usize, usize, ToPeer)>,
}

impl Fleet {
    /// So many gateways, of which each knows the next.
    fn new(count: usize) -> Self {
        let gateways = (0..count).map(|number| {
            LeasedGateway::new(Identity {
                member: member(number),
                stop: STOP,
            })
        });
        let mut fleet = Self {
            gateways: gateways.collect(),
            sessions: Vec::new(),
            apart: Vec::new(),
            wanted: vec![Vec::new(); count],
            under_way: VecDeque::new(),
            carried: Vec::new(),
        };
        for number in 1..count {
            fleet.open(at(1), number, number - 1);
        }
        fleet
    }

    fn may_meet(&self, one: usize, other: usize) -> bool {
        self.apart.contains(&one) == self.apart.contains(&other)
    }

    fn open(&mut self, now: Timestamp, dialer: usize, dialed: usize) {
        let is_open = self.sessions.contains(&Some((dialer, dialed)));
        if is_open || dialer == dialed || !self.may_meet(dialer, dialed) {
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
        let ends = self.sessions[usize::try_from(session.0).expect("few")].take();
        for gateway in ends.into_iter().flat_map(|(one, other)| [one, other]) {
            self.event(now, gateway, GatewayEvent::PeerClosed { session });
        }
    }

    fn event(&mut self, now: Timestamp, gateway: usize, event: GatewayEvent) {
        self.handle(now, gateway, event);
        self.deliver(now);
    }

    fn deliver(&mut self, now: Timestamp) {
        while let Some((to, session, message)) = self.under_way.pop_front() {
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
                    let index = usize::try_from(session.0).expect("few");
                    let Some((one, other)) = self.sessions[index] else {
                        continue;
                    };
                    let to = if one == gateway { other } else { one };
                    self.carried.push((gateway, to, message.clone()));
                    self.under_way.push_back((to, session, message));
                }
                GatewayEffect::Dial { members, .. } => self.wanted[gateway] = members,
                GatewayEffect::Close(session) => self.close(now, session),
                _ => {}
            }
        }
    }

    /// Lets time pass: gateways look at it, and dial whom they want.
    fn pass(&mut self, from: u64, to: u64) {
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

    fn set_apart(&mut self, now: Timestamp, apart: Vec<usize>) {
        self.apart = apart;
        for index in 0..self.sessions.len() {
            if self.sessions[index].is_some_and(|(one, other)| !self.may_meet(one, other)) {
                self.close(now, SessionId(index as u64));
            }
        }
    }

    fn most_sessions(&self) -> usize {
        let count = |gateway: usize| {
            let open = self.sessions.iter().flatten();
            open.filter(|(one, other)| *one == gateway || *other == gateway)
                .count()
        };
        (0..self.gateways.len()).map(count).max().expect("some")
    }

    fn known_to(&self, gateway: usize) -> usize {
        self.gateways[gateway].known_members().count()
    }

    /// Gateways that were told that a job is cancelled, but the one that tells it first.
    fn count_cancelled(&self, first: usize, job: JobId) -> usize {
        let told = self.carried.iter().filter(
            |(_, _, message)| matches!(message, ToPeer::Cancelled(jobs) if jobs.contains(&job)),
        );
        let hearers = told.map(|(_, to, _)| *to).filter(|to| *to != first);
        let mut hearers: Vec<usize> = hearers.collect();
        hearers.sort_unstable();
        hearers.dedup();
        hearers.len()
    }

    fn cancel(&mut self, now: Timestamp, gateway: usize, job: JobId) {
        let call = laurelstile_core::leased::gateway::job::CallNumber(job.0);
        self.event(now, gateway, GatewayEvent::Cancel { call, job });
    }
}

#[rstest]
#[case::forty(40)]
#[case::eighty(80)]
fn each_learns_of_all_over_few_sessions(#[case] count: usize) {
    let mut fleet = Fleet::new(count);
    fleet.pass(10, SOON);
    for gateway in 0..count {
        assert_eq!(fleet.known_to(gateway), count, "gateway {gateway}");
    }
    assert!(fleet.most_sessions() <= 24, "{}", fleet.most_sessions());
}

/// The last of them can be reached over a single session.
#[test]
fn a_cancel_reaches_all_over_the_only_path_that_is_left() {
    let mut fleet = Fleet::new(12);
    // Nobody dials: the gateways stand in a row.
    fleet.carried.clear();
    fleet.cancel(at(5), 0, JobId(7));
    assert_eq!(fleet.count_cancelled(0, JobId(7)), 11);
}

#[test]
fn a_cancel_is_told_once_over_each_session_and_ends() {
    let mut fleet = Fleet::new(40);
    fleet.pass(10, SOON);
    fleet.carried.clear();
    fleet.cancel(at(SOON), 3, JobId(7));
    assert_eq!(fleet.count_cancelled(3, JobId(7)), 39);
    let sessions = fleet.sessions.iter().flatten().count();
    assert!(
        fleet.carried.len() <= 2 * sessions,
        "{} messages",
        fleet.carried.len()
    );
}

#[test]
fn a_third_that_was_apart_is_joined_again_and_hears_what_it_missed() {
    let mut fleet = Fleet::new(30);
    fleet.pass(10, SOON);
    fleet.set_apart(at(SOON), (0..10).collect());
    fleet.pass(SOON, SOON + 3_000);
    fleet.cancel(at(SOON + 3_000), 20, JobId(7));
    fleet.pass(SOON + 3_000, SOON + 4_000);
    assert_eq!(fleet.count_cancelled(20, JobId(7)), 19, "those on its side");
    fleet.set_apart(at(SOON + 4_000), Vec::new());
    fleet.pass(SOON + 4_000, SOON + 9_000);
    assert_eq!(fleet.count_cancelled(20, JobId(7)), 29);
    for gateway in 0..30 {
        assert_eq!(fleet.known_to(gateway), 30, "gateway {gateway}");
    }
}

#[test]
fn neighbors_that_agree_send_nothing() {
    let mut fleet = Fleet::new(30);
    fleet.pass(10, SOON);
    fleet.carried.clear();
    fleet.pass(SOON, SOON + 20_000);
    assert!(fleet.carried.is_empty(), "{:?}", fleet.carried.first());
}

/// Neither can correct the other, since one of them cannot read the list: they would ask for
/// ever.
#[test]
fn a_directory_that_keeps_differing_is_asked_for_once() {
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
fn a_gateway_of_an_earlier_build_is_told_the_list_and_nothing_that_it_cannot_read() {
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
    let told = rig.to_peers.iter();
    let told = told.filter(|(_, message)| matches!(message, ToPeer::Members(_)));
    assert_eq!(told.count(), 1);
}

/// An earlier build reads an introduction as a member.
#[test]
fn an_introduction_is_read_by_earlier_builds() {
    let introduction = Introduction::new(&member(1), Digest::default());
    let mut bytes = Vec::new();
    ciborium::into_writer(&introduction, &mut bytes).expect("it is written");
    let read: Member = ciborium::from_reader(bytes.as_slice()).expect("it is read");
    assert_eq!(read, member(1));
    bytes.clear();
    ciborium::into_writer(&member(1), &mut bytes).expect("it is written");
    let read: Introduction = ciborium::from_reader(bytes.as_slice()).expect("it is read");
    assert_eq!(read.directory, None);
}

fn page(members: Vec<Member>) -> Page {
    Page {
        from: String::new(),
        until: None,
        members,
    }
}

fn known(directory: &Directory) -> Vec<String> {
    let members = directory.members();
    members
        .map(|member| member.address.port().to_string())
        .collect()
}

#[test]
fn a_member_of_which_only_peers_told_expires_with_the_list() {
    let mut directory = Directory::new(member(0));
    directory.add_claimed(at(0), vec![member(1), member(2)]);
    directory.read_page(at(8_000), page(vec![member(1)]));
    assert_eq!(
        known(&directory),
        ["1", "2", "3"],
        "its record may be to come"
    );
    directory.read_page(at(17_000), page(vec![member(1)]));
    assert_eq!(known(&directory), ["1", "2"]);
    directory.read_page(at(25_000), page(Vec::new()));
    assert_eq!(known(&directory), ["1"], "itself");
}

#[test]
fn a_page_says_nothing_of_members_beyond_it() {
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
    assert_eq!(known(&directory).len(), 1 + 4, "four keys were covered");
}

#[test]
fn a_name_at_two_addresses_is_where_a_session_says() {
    let moved = Member {
        address: ([127, 0, 0, 1], 900).into(),
        ..member(1)
    };
    let mut directory = Directory::new(member(0));
    directory.add_claimed(at(0), vec![member(1)]);
    directory.add_claimed(at(1), vec![moved.clone()]);
    assert_eq!(known(&directory), ["1", "2", "900"]);
    directory.on_session_opened(SessionId(1), &moved);
    assert_eq!(known(&directory), ["1", "900"]);
    directory.add_claimed(at(2), vec![member(1)]);
    assert_eq!(known(&directory), ["1", "900"], "late news");
}

/// Its record of before its start, which the list still has, is not told on.
#[test]
fn a_gateway_is_where_it_knows_that_it_is() {
    let before = Member {
        address: ([127, 0, 0, 1], 900).into(),
        ..member(0)
    };
    let mut directory = Directory::new(member(0));
    directory.read_page(at(0), page(vec![before.clone(), member(1)]));
    directory.add_claimed(at(1), vec![before]);
    assert_eq!(known(&directory), ["1", "2"]);
}

#[test]
fn members_heard_twice_or_in_another_order_make_the_same_directory() {
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

/// An agent that knows them already costs a message without any of them.
#[test]
fn an_agent_is_told_only_what_it_does_not_know() {
    let mut rig = GatewayRig::new();
    let session = SessionId(50);
    rig.open_peer(at(1), session);
    let message = ToPeer::Members((1..40).map(member).collect());
    rig.peer_message(at(2), session, message);
    rig.join(at(10), 1, "agent-1", cpu(1_000));
    let told = rig.members.pop().expect("it is told").1;
    assert!(told.len() <= 30, "{}", told.len());

    let mut subset =
        laurelstile_core::leased::membership::subset::Subset::new("agent-1".into(), "here".into());
    subset.add_members(told);
    let first = subset.first_message(at(20));
    let Some(CandidateSummary { zone, .. }) = &first.candidates else {
        panic!("it says what it seeks");
    };
    assert_eq!(zone, "here");
    let mut rig_of_two = rig;
    let opened = GatewayEvent::AgentOpened {
        session: SessionId(2),
        remote: laurelstile_core::session::Remote {
            name: "agent-1".into(),
            incarnation: laurelstile_types::id::Incarnation(77),
            uptime: Span::default(),
        },
    };
    rig_of_two.event(at(20), opened);
    let message = GatewayEvent::AgentMessage {
        session: SessionId(2),
        message: first,
    };
    rig_of_two.event(at(20), message);
    rig_of_two.pass_time(30, 1_000);
    assert!(rig_of_two.members.is_empty());
}

/// Memory that has overrun cannot tell news from what went round.
#[test]
fn cancels_are_not_passed_on_while_there_are_more_than_can_be_remembered() {
    let mut fleet = Fleet::new(3);
    for job in 0..5_000 {
        fleet.cancel(at(10), 0, JobId(job));
    }
    fleet.carried.clear();
    fleet.cancel(at(11), 0, JobId(9_999));
    assert_eq!(
        fleet.count_cancelled(0, JobId(9_999)),
        1,
        "its neighbor alone"
    );
}

#[test]
fn crashes_that_are_news_are_passed_on_but_not_back() {
    let mut rig = GatewayRig::new();
    for number in [50, 51, 52] {
        let session = SessionId(number);
        rig.open_peer(at(1), session);
    }
    rig.to_peers.clear();
    let crash = laurelstile_core::leased::crashes::WorkerCrash {
        incarnation: "life-1".into(),
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
    let told = rig.to_peers.iter();
    let told = told.filter(|(_, message)| matches!(message, ToPeer::Crashes(_)));
    let told: Vec<u64> = told.map(|(session, _)| session.0).collect();
    assert_eq!(told, [50, 52]);
}
