//! What applying a file would change, and whether the workers can carry its
//! quotas.

use std::collections::BTreeMap;
use std::fmt;

use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::PoolName;
use serde::Serialize;

/// What applying a file would change.
#[derive(Debug, Serialize)]
pub struct Plan {
    /// Revision that the file is compared with; 0 if there is none.
    pub against_revision: u64,
    /// What changes.
    pub changes: Vec<PlannedChange>,
    /// Slots and quotas of each pool.
    pub capacity: Vec<PoolCapacity>,
}

/// One entry that a file changes.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct PlannedChange {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name of the entry.
    pub name: String,
    /// What happens to it.
    pub action: Action,
}

/// Kinds of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A back end.
    Backend,
    /// A service.
    Service,
    /// A tenant.
    Tenant,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// It is new.
    Added,
    /// It goes.
    Removed,
    /// It is different.
    Changed,
}

/// Whether a pool can carry the quotas.
#[derive(Debug, Serialize)]
pub struct PoolCapacity {
    /// The pool.
    pub pool: PoolName,
    /// Its slots.
    pub slots: u32,
    /// Sum of all tenants' quotas.
    pub quotas: u64,
    /// Whether all tenants can have their whole quota at once.
    pub carried: bool,
}

impl Plan {
    /// Compares a file with the configuration in force.
    pub fn of(against_revision: u64, old: Option<&Configuration>, new: &Configuration) -> Self {
        let mut changes = Vec::new();
        let old_entries = old.map(entries).unwrap_or_default();
        let new_entries = entries(new);
        for (key, value) in &new_entries {
            match old_entries.get(key) {
                None => changes.push(planned(key, Action::Added)),
                Some(old) if old != value => changes.push(planned(key, Action::Changed)),
                Some(_) => {}
            }
        }
        for key in old_entries.keys() {
            if !new_entries.contains_key(key) {
                changes.push(planned(key, Action::Removed));
            }
        }
        Self {
            against_revision,
            changes,
            capacity: capacity(new),
        }
    }
}

type EntryKey = (u8, String);

/// Every entry of a configuration as text, to compare them.
fn entries(configuration: &Configuration) -> BTreeMap<EntryKey, String> {
    let mut entries = BTreeMap::new();
    for pool in &configuration.pools {
        for backend in &pool.backends {
            let key = (EntryKind::Backend as u8, backend.name.to_string());
            entries.insert(key, format!("{} {backend:?}", pool.name));
        }
    }
    for service in &configuration.services {
        let key = (EntryKind::Service as u8, service.name.to_string());
        entries.insert(key, format!("{service:?}"));
    }
    for tenant in &configuration.tenants {
        let key = (EntryKind::Tenant as u8, tenant.name.to_string());
        entries.insert(key, format!("{tenant:?}"));
    }
    entries
}

fn planned(key: &EntryKey, action: Action) -> PlannedChange {
    let kind = match key.0 {
        kind if kind == EntryKind::Backend as u8 => EntryKind::Backend,
        kind if kind == EntryKind::Service as u8 => EntryKind::Service,
        _ => EntryKind::Tenant,
    };
    PlannedChange {
        kind,
        name: key.1.clone(),
        action,
    }
}

fn capacity(configuration: &Configuration) -> Vec<PoolCapacity> {
    let quotas = configuration
        .tenants
        .iter()
        .map(|tenant| u64::from(tenant.quota_slots))
        .sum();
    configuration
        .pools
        .iter()
        .map(|pool| PoolCapacity {
            pool: pool.name.clone(),
            slots: pool.slots(),
            quotas,
            carried: quotas <= u64::from(pool.slots()),
        })
        .collect()
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "against revision {}:", self.against_revision)?;
        if self.changes.is_empty() {
            writeln!(formatter, "  nothing changes")?;
        }
        for change in &self.changes {
            writeln!(
                formatter,
                "  {:?} {:?} {}",
                change.action, change.kind, change.name
            )?;
        }
        for pool in &self.capacity {
            let verdict = if pool.carried {
                "carried"
            } else {
                "more than the pool has; tenants share it by weight when all are busy"
            };
            writeln!(
                formatter,
                "pool {}: {} slots, quotas {}: {verdict}",
                pool.pool, pool.slots, pool.quotas
            )?;
        }
        Ok(())
    }
}
