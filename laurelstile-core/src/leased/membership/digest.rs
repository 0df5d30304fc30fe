//! Hashes by which gateways compare their directories.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of a whole directory; equal for directories with the same members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Hashes of the parts of a directory, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartDigests(pub Vec<u32>);
