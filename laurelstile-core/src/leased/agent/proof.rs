//! Evidence that a run has ended.

/// Why an agent considers a run ended: nothing of it executes any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// No start command for the run was sent.
    NotSent,
    /// The worker rejected the start command.
    Rejected,
    /// The worker lists the run as ended.
    Listed,
    /// The worker does not list the run, in an answer to a watch sent after the last change of the
    /// run's state.
    Unlisted,
    /// The worker's process has ended: another incarnation answers.
    IncarnationEnded,
    /// The run's lease has expired on the worker's clock.
    LeaseExpired,
}

impl EndProof {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Rejected => "rejected",
            Self::Listed => "listed",
            Self::Unlisted => "unlisted",
            Self::IncarnationEnded => "life_over",
            Self::LeaseExpired => "lease_over",
        }
    }
}
