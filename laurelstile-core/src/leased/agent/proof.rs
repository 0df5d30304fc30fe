//! What proves that a run is over.

/// Why an agent holds that nothing of a run is at work any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// No order to start it was sent.
    NotSent,
    /// The worker answered that it did not start it.
    Rejected,
    /// The worker lists its end.
    Listed,
    /// The worker, asked after the last change of it, does not list it.
    Unlisted,
    /// The worker's process is gone: another life answers, or nobody listens any more where a
    /// life was that had not said that it leaves.
    LifeOver,
    /// Nothing has renewed its lease, by the worker's own clock.
    LeaseOver,
}

impl EndProof {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Rejected => "rejected",
            Self::Listed => "listed",
            Self::Unlisted => "unlisted",
            Self::LifeOver => "life_over",
            Self::LeaseOver => "lease_over",
        }
    }
}
