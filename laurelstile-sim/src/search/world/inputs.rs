//! Events as they reach their processes.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::job::CallNumber;
use laurelstile_core::leased::task::JobId;
use laurelstile_types::time::Span;

use super::super::fault::{AgentInput, GatewayInput, Micros};
use super::caller::{MAX_SUBMISSIONS, request};
use super::workers::HEARTBEAT;
use super::{
    CLOSE_NOTICE, DEADLINE, EARLIER_RUN_TIME, Event, JOB, Mechanism, NODES, RUN_TIME, World,
};
use crate::leased::nodes::{self, Deployment};

impl World {
    /// How long an input waits in the driver of its process.
    pub(super) fn driver_delay(&self, event: &Event) -> Micros {
        let gateway = |index: usize, input| self.slow_gateways[index][input as usize];
        let agent = |index: usize, input| self.slow_agents[index][input as usize];
        match event {
            Event::ToGateway(index, ..)
            | Event::GatewaySessionOpens(index, ..)
            | Event::GatewaySessionEnds(index, ..) => gateway(*index, GatewayInput::AgentMessages),
            Event::Submission(index, ..) => gateway(*index, GatewayInput::Submissions),
            Event::Disconnect(index, ..) => gateway(*index, GatewayInput::Disconnects),
            Event::ToAgent(index, ..) | Event::AgentSessionEnds(index, ..) => {
                agent(*index, AgentInput::GatewayMessages)
            }
            Event::AgentInput(index, ..) => agent(*index, AgentInput::WorkerMessages),
            _ => 0,
        }
    }

    /// When the process that an event is for runs again; `None` if it runs.
    pub(super) fn thaw_of(&self, event: &Event) -> Option<Micros> {
        let frozen_until = match event {
            Event::WakeGateway(index)
            | Event::ToGateway(index, ..)
            | Event::GatewaySessionOpens(index, ..)
            | Event::GatewaySessionEnds(index, ..)
            | Event::Submission(index, ..)
            | Event::Configuration(index, _)
            | Event::GatewayStop(index, _)
            | Event::Disconnect(index, ..) => self.gateways[*index].frozen_until,
            Event::WakeAgent(index)
            | Event::ToAgent(index, ..)
            | Event::AgentSessionEnds(index, ..)
            | Event::Dial(index)
            | Event::CommandLeaves(index, ..)
            | Event::AgentInput(index, ..) => self.agents[*index].frozen_until,
            Event::Waited(event) => return self.thaw_of(event),
            _ => 0,
        };
        (frozen_until > self.now).then_some(frozen_until)
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::WakeGateway(index) => {
                if self.gateways[index].wakes_at <= self.now {
                    self.gateways[index].wakes_at = Micros::MAX;
                    self.gateway_event(index, GatewayEvent::Tick);
                }
            }
            Event::WakeAgent(index) => {
                if self.agents[index].wakes_at <= self.now {
                    self.agents[index].wakes_at = Micros::MAX;
                    self.agent_event(index, AgentEvent::Tick);
                }
            }
            Event::ToAgent(index, incarnation, session, message) => {
                let agent = &self.agents[index];
                let is_open = agent.sessions.contains_key(&session);
                if agent.is_up && agent.incarnation == incarnation && is_open {
                    self.record_owner(index, session, &message);
                    let mut message = *message;
                    if self.setup.without == Some(Mechanism::OwnerTimeout) {
                        message.echo = self.agents[index].clock(self.now);
                    }
                    self.agent_event(index, AgentEvent::Message { session, message });
                }
            }
            Event::ToGateway(index, incarnation, session, message) => {
                if self.is_gateway(index, incarnation) {
                    let message = *message;
                    self.gateway_event(index, GatewayEvent::AgentMessage { session, message });
                }
            }
            Event::AgentSessionEnds(index, incarnation, session) => {
                let agent = &mut self.agents[index];
                if agent.is_up
                    && agent.incarnation == incarnation
                    && agent.sessions.remove(&session).is_some()
                {
                    self.agent_event(index, AgentEvent::Closed { session });
                }
            }
            Event::GatewaySessionEnds(index, incarnation, session) => {
                if self.is_gateway(index, incarnation)
                    && self.gateways[index].sessions.remove(&session).is_some()
                {
                    self.gateway_event(index, GatewayEvent::AgentClosed { session });
                }
            }
            Event::GatewaySessionOpens(index, incarnation, session, remote) => {
                self.gateway_session_opens(index, incarnation, session, remote);
            }
            Event::Dial(index) => self.dial(index),
            Event::CommandArrives(worker, agent, command, delivery) => {
                self.commands_in_flight -= 1;
                self.command_arrives(worker, agent, &command, delivery);
            }
            Event::CommandLeaves(index, incarnation, command) => {
                self.commands_in_flight -= 1;
                if self.agents[index].is_up && self.agents[index].incarnation == incarnation {
                    self.send_to_worker(index, incarnation, command);
                }
            }
            Event::AgentInput(index, incarnation, event) => {
                if self.agents[index].is_up && self.agents[index].incarnation == incarnation {
                    self.agent_event(index, *event);
                }
            }
            Event::WatchEnds(worker, number) => self.end_watch(worker, number),
            Event::Settle(worker) => {
                if self.settles_at[worker] <= self.now {
                    self.settles_at[worker] = Micros::MAX;
                    self.settle(worker);
                }
            }
            Event::Heartbeat(worker, life) => {
                if self.workers[worker].life == life {
                    self.schedule(self.now + HEARTBEAT, Event::Heartbeat(worker, life));
                    let registration = self.registration(worker);
                    self.register(worker, registration);
                }
            }
            Event::WorkerStarts(worker) => self.start_worker(worker),
            Event::WorkerEnds(worker, life) => {
                if self.workers[worker].life == life {
                    self.end_worker(worker);
                }
            }
            Event::GatewayStarts(index) => self.start_gateway(index),
            Event::AgentStarts(index, token, has_record) => {
                self.start_agent(index, token, has_record);
            }
            Event::Configuration(index, incarnation) => {
                if self.is_gateway(index, incarnation) {
                    let configuration = nodes::configuration(1, &Deployment::default());
                    self.gateway_event(index, GatewayEvent::Configuration(configuration));
                }
            }
            Event::GatewayStop(index, incarnation) => {
                if self.is_gateway(index, incarnation) {
                    self.gateway_event(index, GatewayEvent::Stop);
                }
            }
            Event::EarlierJob(index) => {
                let id = JobId(JOB.0 + 1 + index as u64);
                let request = request(id, NODES, EARLIER_RUN_TIME, Span(DEADLINE));
                let call = CallNumber(MAX_SUBMISSIONS + 1 + index as u64);
                self.gateway_event(index, GatewayEvent::Submit { call, request });
            }
            Event::Submit => self.submit(),
            Event::Submission(index, incarnation, call, time_left) => {
                if self.is_gateway(index, incarnation) {
                    self.read_calls.insert(call);
                    self.note(|| format!("gateway-{index} reads submission {}", call.0));
                    let request = request(JOB, 1, RUN_TIME, time_left);
                    self.gateway_event(index, GatewayEvent::Submit { call, request });
                }
            }
            Event::DeadlinePasses(call) => {
                if self.call.as_ref().is_some_and(|open| open.number == call) {
                    self.note(|| "caller's deadline passes".into());
                    self.break_call(Some(0));
                }
            }
            Event::Disconnect(index, incarnation, call) => {
                if self.is_gateway(index, incarnation) && !self.read_calls.contains(&call) {
                    // The connection's end is read after the submission.
                    let event = Event::Disconnect(index, incarnation, call);
                    let event = Event::Waited(Box::new(event));
                    self.schedule(self.now + CLOSE_NOTICE, event);
                } else if self.is_gateway(index, incarnation) {
                    self.note(|| format!("gateway-{index} learns that its caller has left"));
                    self.gateway_event(index, GatewayEvent::CallerDisconnected { call });
                }
            }
            Event::Fault(index) => {
                self.faults_left -= 1;
                let fault = self.faults[index].fault;
                self.note(|| format!("FAULT: {}: {fault:?}", fault.kind()));
                self.begin_fault(fault);
            }
            Event::LossEnds(agent, gateway, session) => self.close_session(agent, gateway, session),
            Event::Waited(event) => self.handle(*event),
        }
    }
}
