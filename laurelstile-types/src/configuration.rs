//! The configuration file: pools of back ends, services with their task classes, and tenants with
//! quotas. A file is validated and applied as a whole.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{BackendName, ClassName, PoolName, RackName, ServiceName, TenantName, ZoneName};

/// Version of the file format that this build supports.
pub const FORMAT_VERSION: u32 = 1;

/// Maximum deadline of a class, in milliseconds.
pub const MAX_DEADLINE_MILLIS: u64 = 600_000;

/// A configuration file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version of the file format; must be [`FORMAT_VERSION`].
    pub version: u32,
    /// Pools of back ends.
    pub pools: Vec<Pool>,
    /// Services to which callers may submit jobs.
    pub services: Vec<Service>,
    /// Tenants for which callers may submit jobs.
    pub tenants: Vec<Tenant>,
}

/// A pool of back ends that serve the same services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Maximum number of tasks in the pool's queue.
    #[serde(default = "default_max_queued_tasks")]
    pub max_queued_tasks: u32,
    /// Back ends of the pool.
    pub backends: Vec<Backend>,
}

/// A back end and its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the back end.
    pub name: BackendName,
    /// Address of the back end's agent, `IP:port`.
    pub agent: std::net::SocketAddr,
    /// Zone of the back end.
    pub zone: ZoneName,
    /// Rack of the back end.
    pub rack: RackName,
    /// Number of tasks that the back end runs at once.
    pub slots: u32,
}

/// A service that callers submit jobs to, with the pool that runs its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Name of the pool that runs its tasks.
    pub pool: PoolName,
    /// Maximum number of tasks in one job.
    #[serde(default = "default_max_tasks_per_job")]
    pub max_tasks_per_job: u32,
    /// Task classes of the service.
    pub classes: Vec<Class>,
}

/// A class of tasks with similar run times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: ClassName,
    /// Estimated mean run time of a task, in milliseconds; used until run times have been measured.
    pub expected_millis: u64,
    /// Maximum time from submission to answer, in milliseconds.
    pub deadline_millis: u64,
    /// Whether tasks may be run again. If not, callers must send an idempotency key, which is
    /// claimed in the platform's table.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

/// A tenant: a team with a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Weight of the tenant's jobs in the order of the queue.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of slots that the tenant's tasks hold at once in each pool.
    pub quota_slots: u32,
    /// Maximum number of the tenant's tasks in each pool's queue.
    #[serde(default = "default_max_queued_tasks")]
    pub max_queued_tasks: u32,
}

fn default_max_queued_tasks() -> u32 {
    50_000
}

fn default_max_tasks_per_job() -> u32 {
    820
}

fn default_repeatable() -> bool {
    true
}

fn default_weight() -> u32 {
    1
}

/// Why a well-formed configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The file has another version of the format.
    #[error("version {found} of the format is not supported, expected {FORMAT_VERSION}")]
    Version {
        /// Version in the file.
        found: u32,
    },
    /// Two entries of the same kind have the same name.
    #[error("{place}: name {name:?} is used twice")]
    Duplicate {
        /// Path of the second entry.
        place: String,
        /// The duplicate name.
        name: String,
    },
    /// A name is empty or contains characters outside `[a-zA-Z0-9._-]`.
    #[error("{place}: {name:?} is not a name (letters, digits, '.', '_' and '-')")]
    BadName {
        /// Path of the entry.
        place: String,
        /// The invalid name.
        name: String,
    },
    /// A service refers to a pool that does not exist.
    #[error("{place}: no pool is named {pool}")]
    UnknownPool {
        /// Path of the reference.
        place: String,
        /// Name of the missing pool.
        pool: PoolName,
    },
    /// A number is out of range.
    #[error("{place}: {value} is not in {min}..={max}")]
    Range {
        /// Path of the number.
        place: String,
        /// The invalid number.
        value: u64,
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// A tenant's quota exceeds the largest pool.
    #[error("{place}: a quota of {quota} slots exceeds the largest pool, which has {capacity}")]
    QuotaOverCapacity {
        /// Path of the quota.
        place: String,
        /// The quota, in slots.
        quota: u32,
        /// Slots of the largest pool.
        capacity: u32,
    },
}

impl Configuration {
    /// Validates what the types do not: the version, names, ranges, references, and quotas against
    /// the pools.
    ///
    /// # Errors
    /// The first error found, with the path of its entry.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        if self.version != FORMAT_VERSION {
            return Err(ConfigurationError::Version {
                found: self.version,
            });
        }
        self.check_pools()?;
        self.check_services()?;
        self.check_tenants()
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The tenant with this name.
    pub fn tenant(&self, name: &TenantName) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| tenant.name == *name)
    }

    /// The pool with this name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// The back ends of all pools.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.pools.iter().flat_map(|pool| &pool.backends)
    }

    fn check_pools(&self) -> Result<(), ConfigurationError> {
        let mut pools = NameCheck::default();
        let mut backends = NameCheck::default();
        for (index, pool) in self.pools.iter().enumerate() {
            let place = format!("pools[{index}]");
            pools.add(&place, pool.name.as_str())?;
            check_range(
                format!("{place}.max_queued_tasks"),
                pool.max_queued_tasks.into(),
                1,
                10_000_000,
            )?;
            for (index, backend) in pool.backends.iter().enumerate() {
                let place = format!("{place}.backends[{index}]");
                backends.add(&place, backend.name.as_str())?;
                check_range(format!("{place}.slots"), backend.slots.into(), 1, 4_096)?;
            }
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), ConfigurationError> {
        let mut services = NameCheck::default();
        for (index, service) in self.services.iter().enumerate() {
            let place = format!("services[{index}]");
            services.add(&place, service.name.as_str())?;
            if self.pool(&service.pool).is_none() {
                return Err(ConfigurationError::UnknownPool {
                    place: format!("{place}.pool"),
                    pool: service.pool.clone(),
                });
            }
            check_range(
                format!("{place}.max_tasks_per_job"),
                service.max_tasks_per_job.into(),
                1,
                100_000,
            )?;
            let mut classes = NameCheck::default();
            for (index, class) in service.classes.iter().enumerate() {
                let place = format!("{place}.classes[{index}]");
                classes.add(&place, class.name.as_str())?;
                check_range(
                    format!("{place}.expected_millis"),
                    class.expected_millis,
                    1,
                    MAX_DEADLINE_MILLIS,
                )?;
                check_range(
                    format!("{place}.deadline_millis"),
                    class.deadline_millis,
                    1,
                    MAX_DEADLINE_MILLIS,
                )?;
            }
        }
        Ok(())
    }

    fn check_tenants(&self) -> Result<(), ConfigurationError> {
        let capacity = self.pools.iter().map(Pool::slots).max().unwrap_or(0);
        let mut tenants = NameCheck::default();
        for (index, tenant) in self.tenants.iter().enumerate() {
            let place = format!("tenants[{index}]");
            tenants.add(&place, tenant.name.as_str())?;
            check_range(format!("{place}.weight"), tenant.weight.into(), 1, 1_000)?;
            check_range(
                format!("{place}.quota_slots"),
                tenant.quota_slots.into(),
                1,
                u32::MAX.into(),
            )?;
            if tenant.quota_slots > capacity {
                return Err(ConfigurationError::QuotaOverCapacity {
                    place: format!("{place}.quota_slots"),
                    quota: tenant.quota_slots,
                    capacity,
                });
            }
        }
        Ok(())
    }
}

impl Pool {
    /// Total slots of the pool's back ends.
    pub fn slots(&self) -> u32 {
        self.backends.iter().map(|backend| backend.slots).sum()
    }
}

impl Service {
    /// The class with this name.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == *name)
    }
}

/// Checks that the names of one kind are well-formed and unique.
#[derive(Default)]
struct NameCheck<'a> {
    seen: BTreeSet<&'a str>,
}

impl<'a> NameCheck<'a> {
    fn add(&mut self, place: &str, name: &'a str) -> Result<(), ConfigurationError> {
        let well_formed = !name.is_empty()
            && name
                .chars()
                .all(|letter| letter.is_ascii_alphanumeric() || "._-".contains(letter));
        if !well_formed {
            return Err(ConfigurationError::BadName {
                place: place.to_owned(),
                name: name.to_owned(),
            });
        }
        if !self.seen.insert(name) {
            return Err(ConfigurationError::Duplicate {
                place: place.to_owned(),
                name: name.to_owned(),
            });
        }
        Ok(())
    }
}

fn check_range(place: String, value: u64, min: u64, max: u64) -> Result<(), ConfigurationError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ConfigurationError::Range {
        place,
        value,
        min,
        max,
    })
}
