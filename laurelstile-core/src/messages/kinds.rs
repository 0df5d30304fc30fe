//! Message names used as labels of traffic counters.

use super::agent::{FromAgent, FromAgentBody, ToAgent, ToAgentBody};
use super::peer::{ToPeer, ToPeerBody};
use crate::session::MessageKind;

impl MessageKind for ToAgent {
    fn kind(&self) -> &'static str {
        match self.body {
            ToAgentBody::Heartbeat => "agent_heartbeat",
            ToAgentBody::Start(_) => "start",
            ToAgentBody::Reconcile(_) => "reconcile",
            ToAgentBody::Recover(_) => "recover",
            ToAgentBody::Cancel(_) => "cancel",
            ToAgentBody::Revision(_) => "revision",
            ToAgentBody::Membership(_) => "membership",
            ToAgentBody::Leaving => "leaving",
        }
    }
}

impl MessageKind for FromAgent {
    fn kind(&self) -> &'static str {
        match self.body {
            FromAgentBody::Heartbeat => "slot_heartbeat",
            FromAgentBody::Results(_) => "results",
            FromAgentBody::NotStarted(_) => "not_started",
            FromAgentBody::Reconciled(_) => "reconciled",
            FromAgentBody::Recovered(_) => "recovered",
            FromAgentBody::Superseded(_) => "superseded",
            FromAgentBody::Revision(_) => "revision",
        }
    }
}

impl MessageKind for ToPeer {
    fn kind(&self) -> &'static str {
        match self.body {
            ToPeerBody::Heartbeat => "peer_heartbeat",
            ToPeerBody::Delegate(_) => "delegate",
            ToPeerBody::Done(_) => "done",
            ToPeerBody::Withdraw(_) => "withdraw",
            ToPeerBody::Outstanding(_) => "outstanding",
            ToPeerBody::UnknownDelegations(_) => "not_here",
            ToPeerBody::Revision(_) => "revision",
            ToPeerBody::Leaving(_) => "leaving",
        }
    }
}
