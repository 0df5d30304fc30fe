//! Faults as they begin.

use laurelstile_core::leased::agent::AgentEvent;

use super::super::commands::Armed;
use super::super::fault::{Direction, Fault, Micros};
use super::{Event, World};

/// How long sent bytes may stay unacknowledged until a session ends.
const USER_TIMEOUT: Micros = 2_000_000;

impl World {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Delay(agent, gateway, direction, micros) => {
                self.links[agent][gateway][direction as usize].held_until = now + micros;
            }
            Fault::Loss(agent, gateway, direction, micros) => {
                self.links[agent][gateway][direction as usize].lossy_until = now + micros;
                if let Some(session) = self.session(agent, gateway) {
                    self.schedule(now + micros, Event::LossEnds(agent, gateway, session));
                }
            }
            Fault::Silent(agent, gateway) => {
                if let Some(session) = self.session(agent, gateway) {
                    self.broken.insert((session, Direction::ToAgent));
                    self.broken.insert((session, Direction::ToGateway));
                    self.schedule(now + USER_TIMEOUT, Event::LossEnds(agent, gateway, session));
                }
            }
            Fault::GatewayStops(index, micros) => {
                self.gateways_away[index] = micros;
                self.schedule(
                    now,
                    Event::GatewayStop(index, self.gateways[index].incarnation),
                );
            }
            Fault::AgentStops(index, micros) => {
                self.agents_away[index] = micros;
                let incarnation = self.agents[index].incarnation;
                let event = Box::new(AgentEvent::Stop);
                self.schedule(now, Event::AgentInput(index, incarnation, event));
            }
            Fault::LateHandshake(agent, gateway, late, micros) => {
                self.open_late(agent, gateway, late, micros);
            }
            Fault::Severed(agent, gateway, micros) => {
                self.severed_until[agent][gateway] = now + micros;
                if let Some(session) = self.session(agent, gateway) {
                    self.broken.insert((session, Direction::ToAgent));
                    self.broken.insert((session, Direction::ToGateway));
                    self.close_session(agent, gateway, session);
                }
            }
            Fault::AgentCut(agent, micros) => {
                for link in self.links[agent].iter_mut().flatten() {
                    link.held_until = now + micros;
                }
            }
            Fault::GatewayFrozen(index, micros) => self.gateways[index].freeze(now + micros),
            Fault::AgentFrozen(index, micros) => self.agents[index].freeze(now + micros),
            Fault::GatewayKilled(index, micros) => self.kill_gateway(index, micros),
            Fault::AgentKilled(index, micros, token, has_record) => {
                self.kill_agent(index);
                self.schedule(now + micros, Event::AgentStarts(index, token, has_record));
            }
            Fault::AnswerLost(..)
            | Fault::CommandLost(..)
            | Fault::CarriedOutLate(..)
            | Fault::HeldInAgent(..) => self.armed.push(Armed::new(fault)),
            Fault::RefusesUnannounced(worker, micros, keeps_watches) => {
                self.refuse_connections(worker, micros, keeps_watches);
            }
            Fault::RefusesAnnounced(worker, micros) => {
                self.workers[worker].draining = true;
                let registration = self.registration(worker);
                self.register(worker, registration);
                self.refuse_connections(worker, micros, false);
            }
            Fault::WorkerRestarts(worker, micros, keeps_id) => {
                self.workers[worker].keeps_id = keeps_id;
                self.end_worker(worker);
                self.schedule(now + micros, Event::WorkerStarts(worker));
            }
            Fault::OldHeartbeat(worker) => {
                if let Some(registration) = self.ended_registrations[worker].clone() {
                    self.register(worker, registration);
                }
            }
            Fault::Ignores(worker, command, micros) => {
                self.ignores[worker].insert(command.name(), now + micros);
            }
            Fault::StandsStill(worker) => {
                self.workers[worker].stand_still();
                self.settles_at[worker] = Micros::MAX;
                self.settle(worker);
            }
            Fault::ClockRate(..) | Fault::Deadline(_) => {}
            Fault::CallerBreaks(notice) => {
                if self.call.is_some() {
                    self.break_call(notice);
                }
            }
            Fault::SlowDriver(index, input, micros) => {
                self.slow_gateways[index][input as usize] = micros;
            }
            Fault::SlowAgentDriver(index, input, micros) => {
                self.slow_agents[index][input as usize] = micros;
            }
        }
    }
}
