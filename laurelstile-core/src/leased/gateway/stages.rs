//! Breakdown of a job's response time into stages.

use laurelstile_types::time::Span;

/// Time that a job spent in each stage, from its sending by the caller to its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTimes {
    /// In transit, before the gateway received it.
    pub ingress_delay: Span,
    /// Queued in the gateway, until the first task was sent to an agent or, if none was, until
    /// the answer.
    pub waiting: Span,
    /// From the sending of the first task to an agent until the answer; zero if none was sent.
    pub working: Span,
}
