//! The platform of the world: claims, the configuration log, and the machine
//! list.

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_core::gateway::{ClaimOutcome, ClaimRequest, GatewayEvent};
use laurelstile_history::event::Event;
use laurelstile_types::id::{Incarnation, SubmissionId};
use laurelstile_types::platform::{Machine, MachineList, MachineRole, MachineState};
use rand::Rng;

use super::names::{agent_name, gateway_name};
use super::{CONFIGURATION_POLL, MACHINES_POLL, Sabotage, SimEvent, World};

/// Time of one call, in microseconds.
const CALL: u64 = 3_000;
/// Time after which a claim counts as unavailable, in microseconds.
const CLAIM_TIMEOUT: u64 = 3_000_000;
/// Time between two tries of a release, in microseconds.
const RELEASE_RETRY: u64 = 1_000_000;

/// The table's rows and faults.
#[derive(Debug, Default)]
pub struct Table {
    claims: BTreeMap<String, SubmissionId>,
    pub(super) down: u32,
    pub(super) loses_replies: u32,
}

/// A call on its way to the table.
#[derive(Debug)]
pub enum TableCall {
    /// Claim a key.
    Claim {
        /// The gateway's process.
        gateway: (usize, Incarnation),
        /// The claim.
        claim: ClaimRequest,
    },
    /// Give a claim back.
    Release {
        /// The gateway's process.
        gateway: (usize, Incarnation),
        /// The claim.
        claim: ClaimRequest,
    },
}

fn row_of(claim: &ClaimRequest) -> String {
    format!("{}/{}/{}", claim.tenant, claim.service, claim.key)
}

impl World {
    pub(super) fn begin_claim(&mut self, gateway: usize, claim: ClaimRequest) {
        let event = Event::ClaimRequested {
            claim: row_of(&claim),
            submission: claim.submission.to_string(),
        };
        self.record(&gateway_name(gateway), event);
        let gateway = (gateway, self.gateways[gateway].incarnation);
        let call = TableCall::Claim { gateway, claim };
        self.schedule(self.now + CALL, SimEvent::TableCall(call));
    }

    pub(super) fn claim_at_table(&mut self, gateway: (usize, Incarnation), claim: ClaimRequest) {
        if self.plan.sabotage == Some(Sabotage::NoClaims) {
            self.decide_claim(gateway, &claim, ClaimOutcome::Granted, CALL);
            return;
        }
        if self.table.down > 0 {
            self.decide_claim(gateway, &claim, ClaimOutcome::Unavailable, CLAIM_TIMEOUT);
            return;
        }
        let holder = *self
            .table
            .claims
            .entry(row_of(&claim))
            .or_insert(claim.submission);
        let outcome = if holder == claim.submission {
            ClaimOutcome::Granted
        } else {
            ClaimOutcome::Taken
        };
        // A lost reply is read back, or the write is given up as unavailable.
        if self.table.loses_replies > 0 && self.random.random_bool(0.5) {
            self.decide_claim(gateway, &claim, ClaimOutcome::Unavailable, CLAIM_TIMEOUT);
        } else {
            self.decide_claim(gateway, &claim, outcome, CALL);
        }
    }

    fn decide_claim(
        &mut self,
        (index, incarnation): (usize, Incarnation),
        claim: &ClaimRequest,
        outcome: ClaimOutcome,
        delay: u64,
    ) {
        if outcome != ClaimOutcome::Unavailable {
            let event = Event::ClaimDecided {
                claim: row_of(claim),
                submission: claim.submission.to_string(),
                granted: outcome == ClaimOutcome::Granted,
            };
            self.record(&gateway_name(index), event);
        }
        let event = GatewayEvent::Claimed {
            submission: claim.submission,
            outcome,
        };
        let event = SimEvent::ToGateway(index, incarnation, Box::new(event));
        self.schedule(self.now + delay, event);
    }

    pub(super) fn begin_release(&mut self, gateway: usize, claim: ClaimRequest) {
        let event = Event::ReleaseRequested {
            claim: row_of(&claim),
            submission: claim.submission.to_string(),
        };
        self.record(&gateway_name(gateway), event);
        let gateway = (gateway, self.gateways[gateway].incarnation);
        let call = TableCall::Release { gateway, claim };
        self.schedule(self.now + CALL, SimEvent::TableCall(call));
    }

    pub(super) fn release_at_table(&mut self, gateway: (usize, Incarnation), claim: ClaimRequest) {
        let node = &self.gateways[gateway.0];
        if node.incarnation != gateway.1 || node.machine.is_none() {
            return;
        }
        if self.table.down > 0 || node.frozen {
            let call = TableCall::Release { gateway, claim };
            self.schedule(self.now + RELEASE_RETRY, SimEvent::TableCall(call));
            return;
        }
        let row = row_of(&claim);
        if self.table.claims.get(&row) == Some(&claim.submission) {
            self.table.claims.remove(&row);
        }
        let event = Event::ReleaseDone {
            claim: row,
            submission: claim.submission.to_string(),
        };
        self.record(&gateway_name(gateway.0), event);
    }

    pub(super) fn poll_configuration(&mut self, index: usize) {
        self.schedule(
            self.now + CONFIGURATION_POLL,
            SimEvent::PollConfiguration(index),
        );
        let node = &self.gateways[index];
        if self.table.down > 0 || node.machine.is_none() || node.frozen {
            return;
        }
        let Some(newest) = self.log.last() else {
            return;
        };
        if newest.number > node.known_revision {
            let event = GatewayEvent::Revision(Arc::clone(newest));
            self.gateway_handles(index, event);
        }
    }

    pub(super) fn poll_machines(&mut self, index: usize) {
        self.schedule(self.now + MACHINES_POLL, SimEvent::PollMachines(index));
        let node = &self.gateways[index];
        if self.table.down > 0 || node.machine.is_none() || node.frozen {
            return;
        }
        for agent in 0..self.leaving.len() {
            if self.leaving[agent] && !std::mem::replace(&mut self.leaving_read[agent], true) {
                let backend = agent_name(agent);
                self.record("platform", Event::ListedLeaving { backend });
            }
        }
        let machines = self
            .leaving
            .iter()
            .enumerate()
            .map(|(agent, leaving)| Machine {
                name: agent_name(agent),
                role: MachineRole::Backend,
                address: String::new(),
                zone: "zone".into(),
                state: if *leaving {
                    MachineState::Leaving
                } else {
                    MachineState::Live
                },
            })
            .collect();
        self.gateway_handles(index, GatewayEvent::Machines(MachineList { machines }));
    }
}
