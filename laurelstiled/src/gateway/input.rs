//! Inputs of the tasks of a gateway.

use laurelstile_core::gateway::{Answer, ClaimRequest, GatewayEvent, JobRequest};
use laurelstile_core::messages::agent::ToAgent;
use laurelstile_core::messages::peer::ToPeer;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::api::Status;
use laurelstile_types::revision::Revision;
use tokio::sync::{mpsc, oneshot};

/// Input of the gateway's driver, from the HTTP API and background tasks.
#[derive(Debug)]
pub enum DriverInput {
    /// An event for the state machine.
    Event(GatewayEvent),
    /// A caller submits a job.
    Submit {
        /// Number of the submission, unique in this process.
        number: u64,
        /// The job as submitted.
        request: JobRequest,
        /// Receives the answer.
        reply: oneshot::Sender<Box<Answer>>,
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
        /// Identity of the peer.
        remote: Remote,
        /// Queue of messages to the peer; dropping it closes the session.
        outgoing: mpsc::UnboundedSender<ToPeer>,
    },
    /// The status is requested, by an operator or the readiness probe.
    Status(oneshot::Sender<Status>),
    /// An operator requests the configuration in force; `None` if there is none yet.
    InForce(oneshot::Sender<Option<Revision>>),
    /// Begin a graceful shutdown.
    Stop,
}

/// Command to the task that writes claims to the platform.
#[derive(Debug)]
pub enum ClaimCommand {
    /// Claim an idempotency key.
    Claim(ClaimRequest),
    /// Release a claimed key.
    Release(ClaimRequest),
}
