//! Workers, and the judgement of what runs there.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::Registration;
use laurelstile_core::leased::messages::{ToAgent, ToAgentBody};
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::task::{RunId, TaskId};
use laurelstile_core::session::SessionId;

use super::super::fault::Micros;
use super::{CPU_MILLIS, Event, NODES, World};
use crate::leased::nodes;

/// Interval of workers' heartbeats, and when the first one after the registration is sent.
pub const HEARTBEAT: Micros = 1_500_000;

/// A run in progress, or its order.
#[derive(Clone, Debug)]
pub struct OrderedRun {
    /// Index of the worker.
    pub worker: usize,
    /// Index of the gateway that ordered it.
    pub gateway: usize,
    /// The run.
    pub run: RunId,
    /// When it started.
    pub started: Micros,
}

/// Two runs of the task at the same time.
#[derive(Clone, Debug)]
pub struct Overlap {
    /// When the later run started.
    pub at: Micros,
    /// The runs, earlier one first.
    pub runs: [OrderedRun; 2],
    /// How often the caller had submitted the job.
    pub submissions: u64,
}

impl World {
    /// Records which gateway orders the runs in a message.
    pub(super) fn record_owner(&mut self, agent: usize, session: SessionId, message: &ToAgent) {
        let gateway = self.agents[agent].sessions.get(&session).copied();
        if let (ToAgentBody::Start(batch), Some(gateway)) = (&message.body, gateway) {
            for (index, run) in &batch.tasks {
                let task = TaskId {
                    job: batch.job,
                    repetition: 0,
                    step: batch.step,
                    index: *index,
                };
                self.owners
                    .insert((agent, RunId { task, run: *run }), gateway);
            }
        }
    }

    /// The gateway that ordered a run at an agent.
    pub fn owner(&self, agent: usize, run: RunId) -> usize {
        self.owners
            .get(&(agent, run))
            .copied()
            .unwrap_or(usize::MAX)
    }

    /// Records that a run has started, and judges it.
    pub fn run_started(&mut self, worker: usize, run: RunId) {
        // What is due at the same time ends first.
        for other in (0..NODES).filter(|other| *other != worker) {
            self.settle(other);
        }
        let started = OrderedRun {
            worker,
            gateway: self.owner(worker, run),
            run,
            started: self.now,
        };
        self.note(|| {
            format!(
                "WORKER-{worker} STARTS run {} of gateway-{}",
                run.run.0, started.gateway
            )
        });
        if let Some(earlier) = self.running.first() {
            let runs = [earlier.clone(), started.clone()];
            let (at, submissions) = (self.now, self.submissions);
            self.note(|| "TWO RUNS AT THE SAME TIME".into());
            self.overlap = Some(Overlap {
                at,
                runs,
                submissions,
            });
        }
        self.running.push(started);
    }

    /// What a worker reports of itself.
    pub fn registration(&self, worker: usize) -> Registration {
        let state = &self.workers[worker];
        Registration {
            incarnation: state.worker_incarnation(),
            service: nodes::SERVICE.into(),
            capacity: Resources {
                cpu_millis: CPU_MILLIS,
                memory_mib: 0,
                gpus: 0,
            },
            labels: Vec::new(),
            clock: state.clock(self.now),
            draining: state.draining,
            sequence: state.sequence(self.now),
            remaining: None,
        }
    }

    pub(super) fn register(&mut self, worker: usize, registration: Registration) {
        let incarnation = self.agents[worker].incarnation;
        let event = Box::new(AgentEvent::Registered(registration));
        self.schedule(self.now, Event::AgentInput(worker, incarnation, event));
    }

    pub(super) fn start_worker(&mut self, worker: usize) {
        if self.workers[worker].life != 0 {
            return;
        }
        let life = self.fresh();
        self.workers[worker].begin(self.now, life);
        self.refuses[worker] = None;
        self.note(|| format!("worker-{worker} starts as {life}"));
        self.schedule(self.now, Event::Heartbeat(worker, life));
    }

    pub(super) fn end_worker(&mut self, worker: usize) {
        if self.workers[worker].life == 0 {
            return;
        }
        self.ended_registrations[worker] = Some(self.registration(worker));
        self.break_watch(worker);
        self.workers[worker].crash();
        self.running.retain(|run| run.worker != worker);
        self.note(|| format!("worker-{worker}'s process ends, with all that runs there"));
    }

    pub(super) fn refuse_connections(
        &mut self,
        worker: usize,
        micros: Micros,
        keeps_watches: bool,
    ) {
        self.refuses[worker] = Some(!keeps_watches);
        if !keeps_watches {
            self.break_watch(worker);
        }
        let life = self.workers[worker].life;
        self.schedule(self.now + micros, Event::WorkerEnds(worker, life));
    }
}
