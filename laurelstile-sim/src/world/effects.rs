//! Carries the machines' effects out.

use std::sync::Arc;

use laurelstile_core::agent::{AgentEffect, AgentEvent, RunEnd};
use laurelstile_core::gateway::{GatewayEffect, GatewayEvent};
use laurelstile_core::messages::agent::TaskOutcome;
use laurelstile_core::payload::Payload;
use laurelstile_history::event::Event;
use laurelstile_types::id::DispatchId;

use super::callers::TaskTag;
use super::names::{agent_name, gateway_name};
use super::network::SimMessage;
use super::table::TableCall;
use super::{SimEvent, World};

impl World {
    pub(super) fn carry_out_gateway(&mut self, index: usize, effects: Vec<GatewayEffect>) {
        for effect in effects {
            match effect {
                GatewayEffect::ToAgent { session, message } => {
                    self.send(session, SimMessage::ToAgent(message));
                }
                GatewayEffect::ToPeer { session, message } => {
                    self.send_to_peer(index, session, message);
                }
                GatewayEffect::Close(session) => self.close(session.0),
                GatewayEffect::Answer(answer) => self.answer_leaves(index, *answer),
                GatewayEffect::Claim(claim) => self.begin_claim(index, claim),
                GatewayEffect::ReleaseClaim(claim) => self.begin_release(index, claim),
                GatewayEffect::InForce(revision) => {
                    let node = &mut self.gateways[index];
                    node.known_revision = node.known_revision.max(revision.number);
                    let incarnation = node.incarnation.to_string();
                    let event = Event::InForce {
                        incarnation,
                        revision: revision.number,
                    };
                    self.record(&gateway_name(index), event);
                }
                GatewayEffect::Stopped => {
                    let target = gateway_name(index);
                    self.record("lab", Event::StopEnded { target });
                    self.end_gateway(index);
                }
            }
        }
    }

    pub(super) fn carry_out_agent(&mut self, index: usize, effects: Vec<AgentEffect>) {
        for effect in effects {
            match effect {
                AgentEffect::Send { session, message } => {
                    self.send(session, SimMessage::FromAgent(message));
                }
                AgentEffect::Run {
                    dispatch, input, ..
                } => self.run_begins(index, dispatch, &input),
                AgentEffect::Abort(dispatch) => {
                    self.agents[index].runs.remove(&dispatch);
                }
                AgentEffect::Close(session) => self.close(session.0),
                AgentEffect::InForce(revision) => {
                    let incarnation = self.agents[index].incarnation.to_string();
                    let event = Event::InForce {
                        incarnation,
                        revision,
                    };
                    self.record(&agent_name(index), event);
                }
                AgentEffect::Draining => {}
                AgentEffect::Stopped => {
                    let target = agent_name(index);
                    self.record("lab", Event::StopEnded { target });
                    self.end_agent(index);
                }
            }
        }
    }

    fn run_begins(&mut self, index: usize, dispatch: DispatchId, input: &Payload) {
        let node = &mut self.agents[index];
        if !node.backend_up {
            let incarnation = node.incarnation;
            let event = AgentEvent::Finished {
                dispatch,
                end: RunEnd::NotStarted,
            };
            let event = SimEvent::ToAgentNode(index, incarnation, Box::new(event));
            self.schedule(self.now + 200, event);
            return;
        }
        let Some(tag) = TaskTag::from_payload(input) else {
            return;
        };
        node.runs.insert(dispatch, node.backend_life);
        let backend_life = node.backend_life;
        let run = self.jobs[tag.job].runs[tag.task as usize] * node.slowness_permille / 1_000;
        let event = Event::TaskStarted {
            submission: dispatch.submission.to_string(),
            task: dispatch.task,
            dispatch: dispatch.to_string(),
            request: tag.request.clone(),
            key: self.jobs[tag.job].key.clone(),
        };
        self.record(&agent_name(index), event);
        let end = RunEnd::Ended(TaskOutcome::Output(input.clone()));
        let event = SimEvent::RunEnds(index, backend_life, dispatch, end);
        self.schedule(self.now + run, event);
    }

    /// A back end's run comes to its end, if the back end still lives; its
    /// agent learns of it, if that still waits.
    pub(super) fn run_ends(
        &mut self,
        index: usize,
        backend_life: u64,
        dispatch: DispatchId,
        end: RunEnd,
    ) {
        let node = &mut self.agents[index];
        if node.backend_life != backend_life {
            return;
        }
        let is_awaited = node.runs.remove(&dispatch).is_some();
        let incarnation = node.incarnation;
        let event = Event::TaskEnded {
            submission: dispatch.submission.to_string(),
            task: dispatch.task,
        };
        self.record(&agent_name(index), event);
        if is_awaited {
            self.tell_agent(index, incarnation, AgentEvent::Finished { dispatch, end });
        }
    }

    /// A back end ends without warning: its runs break off.
    pub(super) fn end_backend(&mut self, index: usize) {
        let node = &mut self.agents[index];
        node.backend_up = false;
        node.backend_life += 1;
        let runs = std::mem::take(&mut node.runs);
        let incarnation = node.incarnation;
        for dispatch in runs.into_keys() {
            let event = AgentEvent::Finished {
                dispatch,
                end: RunEnd::Ended(TaskOutcome::Unknown),
            };
            self.tell_agent(index, incarnation, event);
        }
    }

    pub(super) fn accept_change(&mut self, change: laurelstile_types::revision::Change) {
        let previous = self.log.last().map(Arc::as_ref);
        let id = laurelstile_types::id::ChangeId(format!("change-{}", self.log.len() + 1));
        let drains = match &change {
            laurelstile_types::revision::Change::Drain(backend) => Some(backend.to_string()),
            _ => None,
        };
        let accepting = (0..self.gateways.len())
            .find(|index| self.gateways[*index].machine.is_some() && !self.gateways[*index].frozen);
        let Some(accepting) = accepting else {
            return;
        };
        let Some(next) =
            laurelstile_types::revision::Revision::following(previous, id.clone(), change)
        else {
            return;
        };
        self.record("operator", Event::ChangeRequested { change: id.clone() });
        let revision = next.number;
        let next = Arc::new(next);
        self.log.push(Arc::clone(&next));
        self.gateway_handles(accepting, GatewayEvent::Revision(next));
        let event = Event::ChangeAccepted {
            change: id,
            revision,
            drains,
        };
        self.record("operator", event);
    }

    pub(super) fn table_call(&mut self, call: TableCall) {
        match call {
            TableCall::Claim { gateway, claim } => self.claim_at_table(gateway, claim),
            TableCall::Release { gateway, claim } => self.release_at_table(gateway, claim),
        }
    }
}
