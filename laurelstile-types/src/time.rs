//! Time as the state machines of `laurelstile-core` use it: passed in, never read from a clock.

use serde::{Deserialize, Serialize};

/// A point in time on one process's monotonic clock, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

/// A duration, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(pub u64);

impl Span {
    /// A duration of whole milliseconds; saturates.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// A duration of whole seconds; saturates.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1_000_000))
    }

    /// The duration in milliseconds, rounded up.
    pub const fn as_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Timestamp {
    /// The point in time `span` after this one, saturating.
    pub fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// The point in time `span` before this one, saturating.
    pub fn before(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }

    /// The duration from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
