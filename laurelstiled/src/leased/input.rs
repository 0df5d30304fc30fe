//! Inputs of the tasks that drive the state machines.

use std::net::SocketAddr;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{FromAgent, Member, ToAgent, ToPeer};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::session::{Remote, SessionId};
use tokio::sync::{mpsc, oneshot};

/// Input of the agent's driver.
#[derive(Debug)]
pub enum AgentInput {
    /// An event for the state machine.
    Event(AgentEvent),
    /// A session to a gateway was opened.
    Opened {
        /// Identifier of the session in this process.
        session: SessionId,
        /// Identity of the gateway.
        gateway: Remote,
        /// Address that was dialed.
        address: SocketAddr,
        /// Queue of messages to the gateway; dropping it closes the session.
        outgoing: mpsc::UnboundedSender<FromAgent>,
    },
    /// Gateways listed in the record store.
    Listed(Vec<Member>),
}

/// Input of the gateway's driver.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "the largest variant, an event, is by far the most frequent"
)]
pub enum GatewayInput {
    /// An event for the state machine.
    Event(GatewayEvent),
    /// A caller submits a job.
    Submit {
        /// Number of the call, unique in this process.
        call: CallNumber,
        /// The job as submitted.
        request: JobRequest,
        /// Receives the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A caller cancels a job.
    Cancel {
        /// Number of the call, unique in this process.
        call: CallNumber,
        /// The job to cancel.
        job: JobId,
        /// Receives the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A caller asks whether the gateway has a job that has not ended.
    HasJob {
        /// Id of the job.
        job: JobId,
        /// Receives the answer.
        reply: oneshot::Sender<bool>,
    },
    /// A session to an agent was opened.
    AgentOpened {
        /// Identifier of the session in this process.
        session: SessionId,
        /// Identity of the agent.
        remote: Remote,
        /// Queue of messages to the agent; dropping it closes the session.
        outgoing: mpsc::UnboundedSender<ToAgent>,
    },
    /// A session to a peer gateway was opened.
    PeerOpened {
        /// Identifier of the session in this process.
        session: SessionId,
        /// Whether this process dialed it, rather than accepted it.
        is_dialed: bool,
        /// Queue of messages to the peer; dropping it closes the session.
        outgoing: mpsc::UnboundedSender<ToPeer>,
    },
    /// A hangup signal: read the seeds again from the settings.
    Reload,
}
