//! Random histories of an agent whose dials overlap, whose sessions break, whose processes are replaced,
//! and whose bytes reach the gateway late. Guards against runs that the gateway takes for lost by a
//! snapshot or a successor while the worker has them, or which start afterwards.

mod leased_support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{FenceToken, WorkerEndKind};
use laurelstile_core::leased::gateway::{EndSource, GatewayEvent};
use laurelstile_core::leased::messages::{FromAgent, StartBatch, ToAgentBody};
use laurelstile_core::leased::task::RunId;
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use leased_support::{AgentRig, GATEWAY, GatewayRig, SESSION, TOKEN_FLOOR, at, cpu, job, lists};

/// Name of the agent.
const NAME: &str = "agent-7";
/// Steps of a history, and the time between two.
const STEPS: u64 = 120;
const STEP_MILLIS: u64 = 10;
/// Sessions are numbered from this.
const FIRST_SESSION: u64 = 100;

/// What an agent process has sent on a session and the gateway has not read.
enum Sent {
    Handshake(Incarnation, Span),
    Message(Box<FromAgent>),
    End,
}

struct World {
    random: u64,
    millis: u64,
    gateway: GatewayRig,
    agent: AgentRig,
    process: Incarnation,
    started_millis: u64,
    /// Uptimes in the hellos of dials that have not ended.
    dials: Vec<Span>,
    /// The session that the agent uses.
    current: Option<SessionId>,
    next_session: u64,
    jobs: u64,
    /// Sessions with bytes in flight, which arrive in order on each.
    in_flight: BTreeMap<SessionId, VecDeque<Sent>>,
    /// Batches in flight to the agent.
    batches: VecDeque<(SessionId, StartBatch)>,
    running: BTreeSet<RunId>,
    /// Entries of the worker's list of ended runs.
    ended: Vec<(u64, RunId, WorkerEndKind)>,
    last_entry: u64,
    lost: BTreeSet<RunId>,
    /// Runs that were taken for lost by a snapshot or a successor.
    lost_count: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            millis: 0,
            gateway: GatewayRig::new(),
            agent: agent(0),
            process: Incarnation(1),
            started_millis: 0,
            dials: Vec::new(),
            current: None,
            next_session: FIRST_SESSION,
            jobs: 0,
            in_flight: BTreeMap::new(),
            batches: VecDeque::new(),
            running: BTreeSet::new(),
            ended: Vec::new(),
            last_entry: 0,
            lost: BTreeSet::new(),
            lost_count: 0,
        }
    }

    /// A random number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % bound
    }

    fn play(&mut self) {
        for _ in 0..STEPS {
            self.millis += STEP_MILLIS;
            match self.below(16) {
                0..3 => self.dial(),
                3..6 => self.end_dial(),
                6 => self.break_session(),
                7 if self.below(4) == 0 => self.replace_process(),
                7..10 => self.submit(),
                10 => self.complete_run(),
                _ => {}
            }
            self.serve_worker();
            self.exchange();
            self.check();
        }
    }

    fn dial(&mut self) {
        if self.dials.len() < 2 {
            let uptime = Span::from_millis(self.millis - self.started_millis);
            self.dials.push(uptime);
        }
    }

    /// One of the pending dials ends.
    fn end_dial(&mut self) {
        if self.dials.is_empty() {
            return;
        }
        let count = u64::try_from(self.dials.len()).expect("a small number");
        let index = usize::try_from(self.below(count)).expect("a small number");
        let uptime = self.dials.remove(index);
        let session = SessionId(self.next_session);
        self.next_session += 1;
        let handshake = Sent::Handshake(self.process, uptime);
        self.in_flight.insert(session, VecDeque::from([handshake]));
        self.agent.open(at(self.millis), session, GATEWAY);
        self.current = Some(session);
        self.collect();
    }

    fn break_session(&mut self) {
        if let Some(session) = self.current.take() {
            self.agent
                .event(at(self.millis), AgentEvent::Closed { session });
            self.send(session, Sent::End);
        }
    }

    fn replace_process(&mut self) {
        self.collect();
        if let Some(session) = self.current.take() {
            self.send(session, Sent::End);
        }
        self.agent = agent(self.millis);
        self.process = Incarnation(self.process.0 + 1);
        self.started_millis = self.millis;
        self.dials.clear();
        self.ended.clear();
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let request = job(self.jobs, 1, 2_000);
        self.gateway.submit(at(self.millis), self.jobs, request);
    }

    fn complete_run(&mut self) {
        if let Some(run) = self.running.pop_first() {
            self.list_end(run, WorkerEndKind::Done);
        }
    }

    fn list_end(&mut self, run: RunId, how: WorkerEndKind) {
        self.last_entry += 1;
        self.ended.push((self.last_entry, run, how));
    }

    /// The worker carries out the commands.
    fn serve_worker(&mut self) {
        let now = at(self.millis);
        for run in self.agent.take_starts() {
            assert!(
                !self.lost.contains(&run),
                "{run:?} starts after it was lost"
            );
            self.running.insert(run);
            self.agent.answer_start(now, run, None);
        }
        for run in self.agent.take_stops() {
            if self.running.remove(&run) {
                self.list_end(run, WorkerEndKind::Stopped);
            }
            self.agent.answer_stop(now, run, true);
        }
        if !self.agent.take_watches().is_empty() {
            let percent = u32::try_from(self.millis / 20).expect("a percentage");
            let running: Vec<(RunId, u32)> =
                self.running.iter().map(|run| (*run, percent)).collect();
            let answer = lists(&running, &self.ended);
            self.agent.answer_watch(now, answer);
        }
        self.agent.tick(now);
        self.collect();
    }

    /// Puts what the agent has sent in flight.
    fn collect(&mut self) {
        for (session, message) in std::mem::take(&mut self.agent.sent) {
            self.send(session, Sent::Message(Box::new(message)));
        }
        for session in std::mem::take(&mut self.agent.closed) {
            if self.current == Some(session) {
                self.current = None;
            }
            self.send(session, Sent::End);
        }
    }

    fn send(&mut self, session: SessionId, sent: Sent) {
        if let Some(queue) = self.in_flight.get_mut(&session) {
            queue.push_back(sent);
        }
    }

    /// Some of the bytes in flight arrive.
    fn exchange(&mut self) {
        let sessions: Vec<SessionId> = self.in_flight.keys().copied().collect();
        for session in sessions {
            // The bytes of some sessions are held for long.
            let is_slow = session.0 % 3 == 0;
            if self.below(if is_slow { 30 } else { 2 }) == 0 {
                self.read(session);
            }
        }
        self.batches.append(&mut self.gateway.starts);
        while self.below(3) > 0
            && let Some((session, batch)) = self.batches.pop_front()
        {
            let start = ToAgentBody::Start(batch);
            self.agent.message_from(at(self.millis), session, start);
        }
        for session in std::mem::take(&mut self.gateway.closed) {
            self.in_flight.remove(&session);
            if self.current == Some(session) {
                self.current = None;
                self.agent
                    .event(at(self.millis), AgentEvent::Closed { session });
            }
        }
        if let Some(session) = self.current {
            let heartbeat = ToAgentBody::Heartbeat;
            self.agent.message_from(at(self.millis), session, heartbeat);
        }
        self.collect();
        self.gateway.tick(at(self.millis));
    }

    /// The gateway reads all that has been sent on a session.
    fn read(&mut self, session: SessionId) {
        let now = at(self.millis);
        let queue = self.in_flight.get_mut(&session).map(std::mem::take);
        for sent in queue.unwrap_or_default() {
            match sent {
                Sent::Handshake(process, uptime) => {
                    self.gateway
                        .open_agent(now, session.0, NAME, process, uptime);
                }
                Sent::Message(message) => {
                    let message = *message;
                    let event = GatewayEvent::AgentMessage { session, message };
                    self.gateway.event(now, event);
                }
                Sent::End => {
                    self.gateway.lose_session(now, session.0);
                    self.in_flight.remove(&session);
                }
            }
        }
    }

    fn check(&mut self) {
        for (source, runs) in std::mem::take(&mut self.gateway.lost) {
            if source == EndSource::Silence {
                continue;
            }
            for run in runs {
                let is_running = self.running.contains(&run);
                assert!(!is_running, "{run:?} goes on, lost by {source:?}");
                self.lost.insert(run);
                self.lost_count += 1;
            }
        }
    }
}

/// An agent process that starts now, without a session.
fn agent(millis: u64) -> AgentRig {
    let token_floor = FenceToken(TOKEN_FLOOR.0 + millis);
    let mut rig = AgentRig::with_token_floor(token_floor);
    rig.event(at(millis), AgentEvent::Closed { session: SESSION });
    rig.register(at(millis), "life-1", cpu(4_000), false);
    rig.sent.clear();
    rig
}

#[test]
fn runs_that_are_taken_for_lost_have_ended() {
    let mut lost_count = 0;
    for seed in 1..300 {
        let mut world = World::new(seed);
        world.play();
        lost_count += world.lost_count;
    }
    assert!(lost_count > 100, "{lost_count} runs were lost");
}
