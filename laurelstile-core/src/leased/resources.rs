//! Amounts of resources that workers offer and tasks require.

use serde::{Deserialize, Serialize};

use super::serde_defaults::is_zero;

/// Amounts of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    #[serde(rename = "c")]
    pub cpu_millis: u32,
    /// Memory, in MiB.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub gpus: u32,
}

impl Resources {
    /// Whether each amount is at most that of `free`.
    pub fn fits_in(self, free: Self) -> bool {
        self.cpu_millis <= free.cpu_millis
            && self.memory_mib <= free.memory_mib
            && self.gpus <= free.gpus
    }

    /// How many times these amounts fit into `free`; `u32::MAX` if all are zero.
    pub fn count_fitting_in(self, free: Self) -> u32 {
        let count = |need: u32, free: u32| free.checked_div(need).unwrap_or(u32::MAX);
        count(self.cpu_millis, free.cpu_millis)
            .min(count(self.memory_mib, free.memory_mib))
            .min(count(self.gpus, free.gpus))
    }

    /// Each amount multiplied by `count`; saturates at `u32::MAX`.
    pub fn multiplied_by(self, count: u32) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// The smaller amount of each kind.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mib: self.memory_mib.min(other.memory_mib),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// The sum of each kind, saturating at `u32::MAX`.
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// The difference of each kind, zero where `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}
