//! Revisions of the configuration. Every apply, drain and stop of a service is one entry of a
//! single log, which orders concurrent changes.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::id::{BackendName, ChangeId, ServiceName};

/// Number of a revision; the first is 1, 0 means none.
pub type RevisionNumber = u64;

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Apply a whole configuration file.
    Apply(Configuration),
    /// Drain a back end: it gets no new work.
    Drain(BackendName),
    /// Stop a service: it accepts no new submissions.
    Stop(ServiceName),
}

/// The operational state that a revision puts in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Revision {
    /// Number of the revision.
    pub number: RevisionNumber,
    /// Identifier of the change that created the revision.
    pub change: ChangeId,
    /// The configuration in force.
    pub configuration: Configuration,
    /// Back ends that get no new work. A drain lasts until a file is applied that does not name the
    /// back end.
    pub drained: BTreeSet<BackendName>,
    /// Services that accept no new submissions. A stop lasts until a file is applied that does not
    /// name the service.
    pub stopped: BTreeSet<ServiceName>,
}

impl Revision {
    /// The revision that results from applying `change` to `previous`. `None` if the change refers
    /// to a back end or service that is not configured.
    pub fn following(previous: Option<&Self>, id: ChangeId, change: Change) -> Option<Self> {
        let number = previous.map_or(1, |revision| revision.number + 1);
        let mut next = match (previous, change) {
            (previous, Change::Apply(configuration)) => Self {
                number,
                change: id.clone(),
                configuration,
                drained: previous.map_or_else(BTreeSet::new, |revision| revision.drained.clone()),
                stopped: previous.map_or_else(BTreeSet::new, |revision| revision.stopped.clone()),
            },
            (Some(previous), Change::Drain(backend)) => {
                let mut next = previous.clone();
                next.drained.insert(backend.clone());
                next.has_backend(&backend).then_some(next)?
            }
            (Some(previous), Change::Stop(service)) => {
                let mut next = previous.clone();
                next.stopped.insert(service.clone());
                next.configuration
                    .service(&service)
                    .is_some()
                    .then_some(next)?
            }
            (None, _) => return None,
        };
        next.number = number;
        next.change = id;
        next.drop_unconfigured();
        Some(next)
    }

    fn has_backend(&self, name: &BackendName) -> bool {
        self.configuration
            .backends()
            .any(|backend| backend.name == *name)
    }

    fn drop_unconfigured(&mut self) {
        let configuration = &self.configuration;
        self.drained.retain(|name| {
            configuration
                .backends()
                .any(|backend| backend.name == *name)
        });
        self.stopped
            .retain(|name| configuration.service(name).is_some());
    }
}
