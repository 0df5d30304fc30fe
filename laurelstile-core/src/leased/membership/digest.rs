//! Hashes by which gateways compare their directories.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of a whole directory; equal for directories with the same members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Digest {
    /// Hash of the members of both; they must have none in common.
    pub fn with(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }

    /// Hash of the members less those of `other`, which must be among them.
    pub fn without(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Hashes of the parts of a directory, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartDigests(pub Vec<u32>);
