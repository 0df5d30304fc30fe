//! Which claims an agent honors, by its answers.

use std::collections::BTreeSet;

/// Maximum number of answered claims that are remembered: more than are sent within the lease of one.
const MAX_HONORED: usize = 64;

/// Which claims an agent honors, on the open session.
#[derive(Debug, Default)]
pub struct ClaimAnswers {
    /// Number of the first claim that was sent on the session.
    first_sent: Option<u64>,
    /// Number of the latest claim that was sent on the session.
    last_sent: u64,
    /// Numbers of the latest claims that the agent honors.
    honored: BTreeSet<u64>,
    /// Whether the agent answers claims; `None` before its snapshot.
    is_supported: Option<bool>,
}

impl ClaimAnswers {
    /// Records whether the agent answers claims, as its snapshot says.
    pub fn record_support(&mut self, is_supported: bool) {
        self.is_supported = Some(is_supported);
    }

    /// Whether the agent understands claims.
    pub fn are_supported(&self) -> bool {
        self.is_supported == Some(true)
    }

    /// Records that claim `number` was sent to the agent, whether or not it understands claims.
    pub fn record_sent(&mut self, number: u64) {
        if self.is_supported.is_some() {
            self.first_sent.get_or_insert(number);
            self.last_sent = number;
        }
    }

    /// Records that the agent honors claim `number`.
    pub fn record_honored(&mut self, number: u64) {
        self.honored.insert(number);
        if self.honored.len() > MAX_HONORED {
            self.honored.pop_first();
        }
    }

    /// Whether the agent honors claim `number`. An agent of an older version does not answer claims, and
    /// counts as if it did.
    pub fn honors(&self, number: u64) -> bool {
        match self.is_supported {
            Some(true) => self.honored.contains(&number),
            Some(false) => self
                .first_sent
                .is_some_and(|first| (first..=self.last_sent).contains(&number)),
            None => false,
        }
    }
}
