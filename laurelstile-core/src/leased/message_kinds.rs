//! Names of the messages between gateways and agents of leased workers, for metrics.

use super::messages::{FromAgent, FromAgentBody, ToAgent, ToAgentBody, ToPeer};
use crate::session::MessageKind;

impl MessageKind for ToAgent {
    fn kind(&self) -> &'static str {
        match self.body {
            ToAgentBody::Heartbeat => "gateway_heartbeat",
            ToAgentBody::Start(_) => "start",
            ToAgentBody::Stop(_) => "stop",
            ToAgentBody::Members(_) => "members_to_agent",
            ToAgentBody::Announce(_) => "announce",
            ToAgentBody::Decline(_) => "decline",
            ToAgentBody::Claims(_) => "claims_to_agent",
            ToAgentBody::Predecessor { .. } => "predecessor",
            ToAgentBody::Evacuations(_) => "evacuations_to_agent",
        }
    }
}

impl MessageKind for FromAgent {
    fn kind(&self) -> &'static str {
        match self.body {
            FromAgentBody::Snapshot(_) => "snapshot",
            FromAgentBody::Ends(_) => "ends",
            FromAgentBody::Crashes(_) => "crashes_to_gateway",
            FromAgentBody::ClaimsHonored { .. } => "claims_honored",
            FromAgentBody::Heartbeat if !self.offers.is_empty() => "offer",
            FromAgentBody::Heartbeat if self.report.is_some() => "report",
            FromAgentBody::Heartbeat => "agent_heartbeat",
        }
    }
}

impl MessageKind for ToPeer {
    fn kind(&self) -> &'static str {
        match self {
            Self::Introduction(_) => "introduction",
            Self::Digest(_) => "digest",
            Self::MembersWanted(_) => "members_wanted",
            Self::Members(_) => "members_to_peer",
            Self::Evacuations(_) => "evacuations_to_peer",
            Self::Crashes(_) => "crashes_to_peer",
            Self::Cancelled(_) | Self::CancelledEarlier(_) => "cancelled_to_peer",
            Self::CancelRequested(_) => "cancel_requested",
            Self::CancelConfirmed(_) => "cancel_confirmed",
            Self::Suspect { .. } => "suspect_to_peer",
            Self::Claim(_) => "claim_to_peer",
            Self::InForce(_) => "in_force",
            Self::ConfigurationWanted => "configuration_wanted",
            Self::Configuration(_) => "configuration",
        }
    }
}
