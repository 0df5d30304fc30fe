//! The configuration that a cell's processes make together.

use std::net::SocketAddr;

use laurelstile_types::configuration::{
    Backend, Class, Configuration, FORMAT_VERSION, Pool, Service,
};

use super::{Cell, ONCE, POOL, REPEATABLE, SERVICE};

const WORKERS_PER_RACK: usize = 3;

impl Cell {
    /// The cell's configuration: one pool, one service, two classes.
    pub fn configuration(&self) -> Configuration {
        let class = |name: &str, repeatable| Class {
            name: name.into(),
            expected_millis: u64::try_from(self.plan.expected_run.as_millis())
                .unwrap_or(1)
                .max(1),
            deadline_millis: u64::try_from(self.plan.deadline.as_millis()).unwrap_or(1),
            repeatable,
        };
        Configuration {
            version: FORMAT_VERSION,
            pools: vec![Pool {
                name: POOL.into(),
                max_queued_tasks: 50_000,
                backends: self.backend_entries(),
            }],
            services: vec![Service {
                name: SERVICE.into(),
                pool: POOL.into(),
                max_tasks_per_job: 820,
                classes: vec![class(REPEATABLE, true), class(ONCE, false)],
            }],
            tenants: self.plan.tenants.clone(),
        }
    }

    pub(super) fn zone(&self, index: usize) -> &str {
        &self.plan.zones[index % self.plan.zones.len()]
    }

    pub(super) fn backend_entries(&self) -> Vec<Backend> {
        let real = self
            .agents
            .iter()
            .map(|agent| (agent.process.name().to_owned(), agent.dialed));
        let hollow = self
            .hollow
            .iter()
            .flat_map(|hollow| &hollow.agents)
            .cloned();
        real.chain(hollow)
            .enumerate()
            .map(|(index, (name, dialed))| self.backend_entry(index, &name, dialed))
            .collect()
    }

    fn backend_entry(&self, index: usize, name: &str, dialed: SocketAddr) -> Backend {
        Backend {
            name: name.into(),
            agent: dialed,
            zone: self.zone(index).into(),
            rack: format!("rack-{}", index / WORKERS_PER_RACK).as_str().into(),
            slots: self.plan.slots,
        }
    }
}
