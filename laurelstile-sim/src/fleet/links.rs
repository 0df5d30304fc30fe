//! Dials, sessions and messages between the machines of a fleet.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::redial::{DIAL_TIMEOUT, connect_timeout, redial_delay};
use laurelstile_core::session::{MessageKind, Remote, SessionId};
use laurelstile_types::time::Span;

use super::link::Way;
use super::machines::{self, Machine, Role};
use super::processor::{HELLO, cost_of_message};
use super::traffic::bytes_of;
use super::world::{FleetWorld, Happening, Payload};

/// How long a packet takes within a zone and between zones, in microseconds.
const IN_ZONE: u64 = 100;
const BETWEEN_ZONES: u64 = 500;
/// Bytes of a hello each way: the connection's packets, its upgrade, names and proofs.
const HELLO_BYTES: usize = 900;
/// Name of hellos among the kinds of messages.
const HELLO_KIND: &str = "hello";

impl FleetWorld {
    /// How long a packet takes between two machines.
    pub fn latency(&self, one: usize, other: usize) -> u64 {
        if self.machines[one].zone == self.machines[other].zone {
            IN_ZONE
        } else {
            BETWEEN_ZONES
        }
    }

    /// Begins to dial a machine, unless that is done already.
    pub fn want(&mut self, machine: usize, target: usize) {
        if self.machines[machine].dials.want(target) {
            self.schedule(self.now, machine, Happening::Dial(target));
        }
    }

    pub(super) fn dial(&mut self, machine: usize, target: usize) {
        let attempt = self.fresh();
        let Some(dial) = self.machines[machine].dials.get_mut(target) else {
            return;
        };
        dial.attempt = attempt;
        let failures = dial.failures;
        if !self.machines[target].is_up {
            // The machine is off and says nothing.
            let over = self.now + connect_timeout(failures).0;
            self.schedule(over, machine, Happening::DialOver(target, attempt));
            return;
        }
        let over = self.now + DIAL_TIMEOUT.0;
        self.schedule(over, machine, Happening::DialOver(target, attempt));
        let connected = self.now + 2 * self.latency(machine, target);
        let life = self.machines[machine].life;
        self.carry_hello(
            connected,
            machine,
            target,
            Happening::HelloArrives(machine, life, attempt),
        );
    }

    /// Carries one side's part of a hello to the other.
    fn carry_hello(&mut self, from_time: u64, from: usize, to: usize, hello: Happening) {
        let latency = self.latency(from, to);
        let sender = &mut self.machines[from];
        sender.traffic.note_sent(HELLO_KIND, HELLO_BYTES);
        let sent = sender.link.carry(Way::Out, from_time, HELLO_BYTES);
        let arrival = Happening::Arrives(HELLO_BYTES, Box::new(hello));
        self.schedule(sent + latency, to, arrival);
    }

    /// Something has come to the end of its way and joins the queue of the machine's link.
    pub(super) fn arrives(&mut self, machine: usize, bytes: usize, what: Box<Happening>) {
        let read = self.machines[machine].link.carry(Way::In, self.now, bytes);
        self.schedule(read, machine, Happening::Received(bytes, what));
    }

    /// It has passed the link and waits for the processor.
    pub(super) fn received(&mut self, machine: usize, bytes: usize, what: Happening) {
        let cost = match &what {
            Happening::Message(..) => cost_of_message(bytes),
            _ => HELLO,
        };
        let done = self.machines[machine].processor.work(self.now, cost);
        self.schedule(done, machine, what);
    }

    pub(super) fn answer_hello(&mut self, machine: usize, from: usize, life: u64, attempt: u64) {
        let own_life = self.machines[machine].life;
        if self.machines[from].life != life {
            return;
        }
        self.note_hello(machine);
        let answer = Happening::HelloAnswered(machine, own_life, attempt);
        self.carry_hello(self.now, machine, from, answer);
    }

    fn note_hello(&mut self, machine: usize) {
        let traffic = &mut self.machines[machine].traffic;
        traffic.note_received(HELLO_KIND, HELLO_BYTES);
    }

    /// The hello is answered: the session is open on both sides.
    pub(super) fn finish_dial(&mut self, machine: usize, by: usize, life: u64, attempt: u64) {
        self.note_hello(machine);
        let is_there = self.machines[by].is_up && self.machines[by].life == life;
        let Some(dial) = self.machines[machine].dials.get_mut(by) else {
            return;
        };
        if !is_there || dial.attempt != attempt || dial.is_open {
            return;
        }
        dial.is_open = true;
        dial.failures = 0;
        let session = SessionId(self.fresh());
        self.machines[machine].sessions.insert(session, by);
        self.machines[by].sessions.insert(session, machine);
        if self.machines[machine].is_gateway() {
            for (gateway, is_dialed) in [(by, false), (machine, true)] {
                let opened = GatewayEvent::PeerOpened { session, is_dialed };
                self.gateway_event(gateway, opened);
            }
            return;
        }
        let agent = &self.machines[machine];
        let remote = Remote {
            name: machines::agent_name(machine),
            incarnation: Machine::incarnation(machine, agent.life),
            uptime: Span(self.now - agent.started),
        };
        self.gateway_event(by, GatewayEvent::AgentOpened { session, remote });
        let clock = self.machines[machine].clock(self.now);
        if let Role::Agent(_, subset) = &mut self.machines[machine].role {
            subset.set_connected(&machines::member(by).name, true);
            let first = subset.first_message(clock);
            self.send(machine, session, Payload::FromAgent(first));
        }
        let gateway = Machine::incarnation(by, life);
        self.agent_event(machine, AgentEvent::Opened { session, gateway });
    }

    pub(super) fn give_dial_up(&mut self, machine: usize, target: usize, attempt: u64) {
        let Some(dial) = self.machines[machine].dials.get_mut(target) else {
            return;
        };
        if dial.attempt != attempt || dial.is_open {
            return;
        }
        self.machines[machine].traffic.dials_timed_out += 1;
        self.redial(machine, target);
    }

    fn redial(&mut self, machine: usize, target: usize) {
        if let Some(failures) = self.machines[machine].dials.fail(target) {
            let at = self.now + redial_delay(failures).0;
            self.schedule(at, machine, Happening::Dial(target));
        }
    }

    /// A process closes a session of its own accord.
    pub(super) fn close(&mut self, machine: usize, session: SessionId) {
        let Some(other) = self.machines[machine].sessions.get(&session).copied() else {
            return;
        };
        let notice = self.now + self.latency(machine, other);
        self.schedule(notice, other, Happening::SessionEnds(session));
        self.session_ends(machine, session);
    }

    /// A process notices that a session has ended; whoever dialed dials again.
    pub(super) fn session_ends(&mut self, machine: usize, session: SessionId) {
        let Some(other) = self.machines[machine].sessions.remove(&session) else {
            return;
        };
        if !self.machines[machine].is_gateway() {
            if let Role::Agent(_, subset) = &mut self.machines[machine].role {
                subset.set_connected(&machines::member(other).name, false);
            }
            self.agent_event(machine, AgentEvent::Closed { session });
        } else if self.machines[other].is_gateway() {
            self.gateway_event(machine, GatewayEvent::PeerClosed { session });
        } else {
            self.gateway_event(machine, GatewayEvent::AgentClosed { session });
        }
        let process = &mut self.machines[machine];
        let has_other = process.sessions.values().any(|to| *to == other);
        let dial = process.dials.get_mut(other);
        if dial.is_some_and(|dial| dial.is_open) && !has_other {
            self.redial(machine, other);
        }
    }

    /// An agent closes the sessions that are not among the wanted ones.
    pub(super) fn close_unwanted(&mut self, machine: usize, wanted: &[usize]) {
        let sessions = self.machines[machine].sessions.iter();
        let over = sessions.filter(|(_, gateway)| !wanted.contains(gateway));
        let over: Vec<SessionId> = over.map(|(session, _)| *session).collect();
        for session in over {
            self.close(machine, session);
        }
    }

    /// Sends a message over a session.
    pub(super) fn send(&mut self, from: usize, session: SessionId, payload: Payload) {
        let Some(to) = self.machines[from].sessions.get(&session).copied() else {
            return;
        };
        let (bytes, kind) = match &payload {
            Payload::ToAgent(message) => (bytes_of(message), message.kind()),
            Payload::FromAgent(message) => (bytes_of(message), message.kind()),
            Payload::ToPeer(message) => (bytes_of(message), message.kind()),
        };
        let latency = self.latency(from, to);
        let now = self.now;
        let sender = &mut self.machines[from];
        sender.traffic.note_sent(kind, bytes);
        let encoded = sender.processor.work(now, cost_of_message(bytes));
        let sent = sender.link.carry(Way::Out, encoded, bytes);
        let message = Happening::Message(session, Box::new(payload), bytes);
        self.schedule(
            sent + latency,
            to,
            Happening::Arrives(bytes, Box::new(message)),
        );
    }

    pub(super) fn take_message(
        &mut self,
        machine: usize,
        session: SessionId,
        payload: Payload,
        bytes: usize,
    ) {
        if !self.machines[machine].sessions.contains_key(&session) {
            return;
        }
        let traffic = &mut self.machines[machine].traffic;
        match payload {
            Payload::ToAgent(message) => {
                traffic.note_received(message.kind(), bytes);
                self.agent_event(machine, AgentEvent::Message { session, message });
            }
            Payload::FromAgent(message) => {
                traffic.note_received(message.kind(), bytes);
                self.gateway_event(machine, GatewayEvent::AgentMessage { session, message });
            }
            Payload::ToPeer(message) => {
                traffic.note_received(message.kind(), bytes);
                self.gateway_event(machine, GatewayEvent::PeerMessage { session, message });
            }
        }
    }
}
