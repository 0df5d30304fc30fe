//! Ranges of the optional policies in the settings.

use std::fmt::Display;
use std::ops::RangeInclusive;

use laurelstile_core::leased::agent::DeparturesPolicy;
use laurelstile_core::leased::gateway::policies::Policies;
use laurelstile_types::time::Span;
use serde::{Deserialize, Serialize};

use super::settings::LeasedSettingsError;

/// Range of `queue_shares.floor_percent`, in percent of a queue's fair share.
const FLOOR_PERCENT: RangeInclusive<u32> = 0..=100;
/// Range of `admission.max_retry_after_millis`. `Retry-After` has whole seconds, and the callers'
/// own time-outs are within a minute.
const MAX_RETRY_AFTER_MILLIS: RangeInclusive<u64> = 1_000..=60_000;
/// Range of `locality.remote_factor`. A remote run is never shorter than one near its data.
const REMOTE_FACTOR: RangeInclusive<f64> = 1.0..=10.0;
/// Range of `preemption.budget_percent`, in percent of a worker's capacity.
const BUDGET_PERCENT: RangeInclusive<u32> = 0..=20;
/// Range of `departures.min_notice_millis`.
const MIN_NOTICE_MILLIS: RangeInclusive<u64> = 0..=60_000;

/// Optional policies of an agent; a policy that is `None` is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentPolicySettings {
    /// How runs are moved off a worker that announces its leaving.
    pub departures: Option<DeparturesSettings>,
}

/// How runs are moved off a worker that announces its leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeparturesSettings {
    /// Runs are moved only if at least this time remains until the worker leaves, in milliseconds.
    pub min_notice_millis: u64,
}

impl AgentPolicySettings {
    /// The policy for departures, if it is on.
    pub fn departures(&self) -> Option<DeparturesPolicy> {
        self.departures.map(|departures| DeparturesPolicy {
            min_notice: Span::from_millis(departures.min_notice_millis),
        })
    }

    /// Checks the ranges.
    ///
    /// # Errors
    /// [`LeasedSettingsError::OutOfRange`] for the first value out of its range.
    pub fn check(&self) -> Result<(), LeasedSettingsError> {
        let Some(departures) = &self.departures else {
            return Ok(());
        };
        check_range(
            "role.agent.policies.departures.min_notice_millis",
            departures.min_notice_millis,
            MIN_NOTICE_MILLIS,
        )
    }
}

/// Checks the ranges of a gateway's policies.
///
/// # Errors
/// [`LeasedSettingsError::OutOfRange`] for the first value out of its range.
pub fn check_gateway_policies(policies: &Policies) -> Result<(), LeasedSettingsError> {
    if let Some(shares) = &policies.queue_shares {
        check_range(
            "role.gateway.policies.queue_shares.floor_percent",
            shares.floor_percent,
            FLOOR_PERCENT,
        )?;
    }
    if let Some(admission) = &policies.admission {
        check_range(
            "role.gateway.policies.admission.max_retry_after_millis",
            admission.max_retry_after_millis,
            MAX_RETRY_AFTER_MILLIS,
        )?;
    }
    if let Some(locality) = &policies.locality {
        check_range(
            "role.gateway.policies.locality.remote_factor",
            locality.remote_factor,
            REMOTE_FACTOR,
        )?;
    }
    if let Some(preemption) = &policies.preemption {
        check_range(
            "role.gateway.policies.preemption.budget_percent",
            preemption.budget_percent,
            BUDGET_PERCENT,
        )?;
    }
    Ok(())
}

/// Not a number is outside every range.
pub(super) fn check_range<T: PartialOrd + Display>(
    field: &'static str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), LeasedSettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(LeasedSettingsError::OutOfRange {
        field,
        value: value.to_string(),
        min: range.start().to_string(),
        max: range.end().to_string(),
    })
}
