//! The stages of a job's way through a gateway.

use laurelstile_types::time::Span;

/// Where the time of a job went, from its caller's sending to its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTimes {
    /// On the way in, before the gateway saw it.
    pub way_in: Span,
    /// In the gateway, until its first task was sent to an agent, or else until its answer.
    pub waiting: Span,
    /// From then to its answer.
    pub working: Span,
}
