//! What the tasks of a gateway are told.

use laurelstile_core::gateway::{Answer, ClaimRequest, GatewayEvent, JobRequest};
use laurelstile_core::messages::agent::ToAgent;
use laurelstile_core::messages::peer::ToPeer;
use laurelstile_core::session::{Remote, SessionId};
use laurelstile_types::api::Status;
use laurelstile_types::revision::Revision;
use tokio::sync::{mpsc, oneshot};

/// What the driver's task is told.
#[derive(Debug)]
pub enum Input {
    /// Something for the machine.
    Event(GatewayEvent),
    /// A caller's job.
    Submit {
        /// Number of the submission.
        number: u64,
        /// The job.
        request: JobRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Box<Answer>>,
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
        /// The peer.
        remote: Remote,
        /// Where its messages go.
        outgoing: mpsc::UnboundedSender<ToPeer>,
    },
    /// An operator asks for the status.
    Status(oneshot::Sender<Status>),
    /// An operator asks for the configuration in force.
    InForce(oneshot::Sender<Option<Revision>>),
    /// A planned stop.
    Stop,
}

/// What the claims' task is asked to do.
#[derive(Debug)]
pub enum ClaimCall {
    /// Claim a key.
    Claim(ClaimRequest),
    /// Give a claim back.
    Release(ClaimRequest),
}
