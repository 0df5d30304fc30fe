//! Answers to gateways that reconnect or that recover tasks of a lost
//! scheduler.

use std::collections::BTreeMap;

use laurelstile_types::id::{DispatchId, SubmissionId};
use laurelstile_types::time::Timestamp;

use super::{Agent, AgentEffect};
use crate::messages::agent::{DispatchStatus, Fence, FromAgentBody, Reconciled, Recovered};
use crate::session::SessionId;

impl Agent {
    pub(super) fn reconcile(
        &mut self,
        now: Timestamp,
        session: SessionId,
        dispatches: &[DispatchId],
        effects: &mut Vec<AgentEffect>,
    ) {
        let answers = dispatches
            .iter()
            .map(|dispatch| Reconciled {
                dispatch: *dispatch,
                status: self
                    .records
                    .status_of(*dispatch)
                    .unwrap_or(DispatchStatus::NeverReceived),
            })
            .collect();
        self.send(now, session, FromAgentBody::Reconciled(answers), effects);
    }

    pub(super) fn recover(
        &mut self,
        now: Timestamp,
        session: SessionId,
        fences: &[Fence],
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(gateway) = self.links.get(&session).map(|link| link.gateway) else {
            return;
        };
        let mut answers = Vec::with_capacity(fences.len());
        let mut superseded: BTreeMap<SessionId, Vec<Fence>> = BTreeMap::new();
        for fence in fences {
            let old_owners = self.records.fence(now, gateway, *fence);
            answers.push(Recovered {
                fence: *fence,
                tasks: self.records.statuses_of(fence.submission),
            });
            for (old_session, link) in &self.links {
                if old_owners.contains(&link.gateway) {
                    superseded.entry(*old_session).or_default().push(*fence);
                }
            }
        }
        self.send(now, session, FromAgentBody::Recovered(answers), effects);
        for (session, fences) in superseded {
            self.send(now, session, FromAgentBody::Superseded(fences), effects);
        }
    }

    pub(super) fn cancel(
        &mut self,
        session: SessionId,
        submissions: &[SubmissionId],
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(gateway) = self.links.get(&session).map(|link| link.gateway) else {
            return;
        };
        for submission in submissions {
            for dispatch in self.records.cancel(*submission, gateway) {
                effects.push(AgentEffect::Abort(dispatch));
            }
        }
    }
}
