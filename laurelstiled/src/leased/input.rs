//! What the tasks that drive the machines are told.

use std::net::SocketAddr;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::job::{CallNumber, JobRequest};
use laurelstile_core::leased::gateway::{Answer, GatewayEvent};
use laurelstile_core::leased::messages::{FromAgent, Member, ToAgent, ToPeer};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::session::{Remote, SessionId};
use tokio::sync::{mpsc, oneshot};

/// What an agent's task is told.
#[derive(Debug)]
pub enum AgentInput {
    /// Something for the machine.
    Event(AgentEvent),
    /// A session to a gateway is open.
    Opened {
        /// The session.
        session: SessionId,
        /// The gateway.
        gateway: Remote,
        /// Where it was dialed.
        address: SocketAddr,
        /// Where its messages go.
        outgoing: mpsc::UnboundedSender<FromAgent>,
    },
    /// Gateways that the store lists.
    Listed(Vec<Member>),
}

/// What a gateway's task is told.
#[derive(Debug)]
pub enum GatewayInput {
    /// Something for the machine.
    Event(GatewayEvent),
    /// A caller hands in a job.
    Submit {
        /// The call.
        call: CallNumber,
        /// The job.
        request: JobRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Answer>,
    },
    /// A caller cancels a job.
    Cancel {
        /// The call.
        call: CallNumber,
        /// The job.
        job: JobId,
        /// Where the answer goes.
        reply: oneshot::Sender<Answer>,
    },
    /// A caller asks for a job.
    HasJob {
        /// The job.
        job: JobId,
        /// Where the answer goes.
        reply: oneshot::Sender<bool>,
    },
    /// A session to an agent is open.
    AgentOpened {
        /// The session.
        session: SessionId,
        /// The agent.
        remote: Remote,
        /// Where its messages go.
        outgoing: mpsc::UnboundedSender<ToAgent>,
    },
    /// A session to a peer is open.
    PeerOpened {
        /// The session.
        session: SessionId,
        /// Whether this process has dialed it.
        is_dialed: bool,
        /// Where its messages go.
        outgoing: mpsc::UnboundedSender<ToPeer>,
    },
    /// The settings may have changed.
    Reload,
}
