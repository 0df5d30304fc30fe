//! Orders on their way to workers and back.

use laurelstile_core::leased::agent::worker::{CommandError, RunLists};
use laurelstile_core::leased::agent::{
    AgentEvent, CommandAnswer, CommandKind, WatchAnswer, WorkerCommand,
};
use laurelstile_core::leased::resources::Resources;
use laurelstile_history::leased::TaskName;
use laurelstile_types::id::Incarnation;
use rand::Rng;

use super::faults::Sabotage;
use super::worker::RunPlan;
use super::world::{Happening, PendingWatch, World};

/// Way to the worker beside an agent.
const NEARBY: u64 = 100;
/// How long an agent waits for the answer to a start or stop.
const ORDER_LIMIT: u64 = 25_000;
/// How long it waits for a watch, beyond the wait in it.
const WATCH_LIMIT: u64 = 25_000;
/// Chance that an order is not answered, in permille, while orders are late.
const LOST_PERMILLE: u32 = 150;
/// How long a worker stays away that one of its runs has taken down.
const SHORTEST_AWAY: u64 = 2_000_000;
const LONGEST_AWAY: u64 = 4_000_000;
/// Interval at which a busy worker looks for what has ended.
const SETTLE: u64 = 2_000;

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and answered so many microseconds later.
    AnsweredAfter(u64),
    /// It is carried out, and not answered.
    Unanswered,
    /// It is carried out seconds later, and not answered.
    Late,
}

impl Delivery {
    /// How long the answer takes, if there is one.
    fn answer_delay(self) -> Option<u64> {
        match self {
            Self::Answered => Some(NEARBY),
            Self::AnsweredAfter(delay) => Some(delay),
            Self::Unanswered | Self::Late => None,
        }
    }
}

impl World {
    /// An agent gives its worker an order.
    pub fn give(&mut self, index: usize, agent: Incarnation, order: WorkerCommand) {
        if !self.admit_command(index, &order) {
            return;
        }
        let limit = match &order.kind {
            CommandKind::Watch { wait, .. } => wait.0 + WATCH_LIMIT,
            CommandKind::Start { .. } | CommandKind::Stop { .. } => ORDER_LIMIT,
        };
        if let Some((arrival, delivery)) = self.faulty_delivery(index, &order.kind, ORDER_LIMIT) {
            if delivery.answer_delay().is_none() {
                let event = unanswered(&order, CommandError::NoAnswer);
                self.answer_agent(index, agent, limit, event);
            }
            if let Some(delay) = arrival {
                let happening = Happening::OrderArrives(index, agent, order, delivery);
                self.schedule(self.now + delay, happening);
            }
            return;
        }
        let is_late =
            self.now < self.late_orders_until && self.random.random_range(0..1_000) < LOST_PERMILLE;
        if !is_late {
            let happening = Happening::OrderArrives(index, agent, order, Delivery::Answered);
            self.schedule(self.now + NEARBY, happening);
            return;
        }
        self.answer_agent(
            index,
            agent,
            limit,
            unanswered(&order, CommandError::NoAnswer),
        );
        let (delay, delivery) = if self.random.random_bool(0.5) {
            (NEARBY, Delivery::Unanswered)
        } else {
            let delay = self.random.random_range(2_000_000..12_000_000);
            (delay, Delivery::Late)
        };
        let happening = Happening::OrderArrives(index, agent, order, delivery);
        self.schedule(self.now + delay, happening);
    }

    fn answer_agent(&mut self, index: usize, agent: Incarnation, delay: u64, event: AgentEvent) {
        let happening = Happening::OrderAnswered(index, agent, Box::new(event));
        self.schedule(self.now + delay, happening);
    }

    /// An order reaches a worker.
    pub fn order_arrives(
        &mut self,
        worker: usize,
        agent: Incarnation,
        order: &WorkerCommand,
        delivery: Delivery,
    ) {
        let answer_delay = delivery.answer_delay();
        // What is due first may end the life.
        self.settle(worker);
        let life = self.workers[worker].life;
        let worker_state = &self.workers[worker];
        let is_shut = self.is_shut(worker);
        let refuses = worker_state.keeps_id || self.dead_workers_refuse;
        let is_nobody_there = is_shut || life == 0 && refuses;
        if life == 0 || is_shut || *worker_state.id != *order.incarnation.id {
            let failure = if is_nobody_there {
                CommandError::ConnectionRefused
            } else {
                CommandError::IncarnationEnded
            };
            if let Some(delay) = answer_delay {
                let event = unanswered(order, failure);
                self.answer_agent(worker, agent, delay, event);
            }
            return;
        }
        if let Some(event) = self.unhealthy_answer(worker, order) {
            if let Some(delay) = answer_delay {
                self.answer_agent(worker, agent, delay, event);
            }
            return;
        }
        match &order.kind {
            CommandKind::Watch {
                last_seen,
                lease_until,
                wait,
            } => {
                let watched =
                    self.workers[worker].watch(self.now, order.token, *last_seen, *lease_until);
                if let Err(rejection) = watched {
                    let answer = WatchAnswer {
                        clock: Some(self.workers[worker].clock(self.now)),
                        started_at: self.workers[worker].worker_incarnation().started_at,
                        lists: Err(rejection),
                    };
                    let event = AgentEvent::Watched {
                        incarnation: order.incarnation.clone(),
                        answer: Ok(answer),
                    };
                    if let Some(delay) = answer_delay {
                        self.answer_agent(worker, agent, delay, event);
                    }
                    return;
                }
                let number = self.fresh();
                // A watch of an earlier agent process does not replace that of the present one.
                let is_current = agent == self.agents[worker].incarnation;
                if let Some(answer_delay) = answer_delay.filter(|_| is_current) {
                    let incarnation = order.incarnation.clone();
                    self.watches[worker] = Some(PendingWatch {
                        number,
                        agent,
                        incarnation,
                        answer_delay,
                    });
                }
                let has_ends = !self.workers[worker].lists(self.now).ended.is_empty();
                let wait = if has_ends { 0 } else { wait.0 };
                self.schedule(self.now + wait, Happening::WatchOver(worker, number));
            }
            kind => {
                let RunAnswer { answer, changes } =
                    self.carry_out_order(worker, order, kind, delivery);
                self.see_changes(life, worker, &changes);
                let event = answered(order, answer);
                if let Some(delay) = answer_delay {
                    self.answer_agent(worker, agent, delay, event);
                }
            }
        }
        self.settle_later(worker);
    }

    fn carry_out_order(
        &mut self,
        worker: usize,
        order: &WorkerCommand,
        kind: &CommandKind,
        delivery: Delivery,
    ) -> RunAnswer {
        let plan = match kind {
            CommandKind::Start { run, .. } => RunPlan {
                is_late: delivery == Delivery::Late,
                ..self.plan_of(run.task)
            },
            _ => RunPlan {
                duration: 0,
                crashes: false,
                is_late: false,
            },
        };
        let (answer, changes) = self.workers[worker].order(self.now, order.token, kind, plan);
        RunAnswer { answer, changes }
    }

    /// A worker ends what is due, and answers a watch that waits for it.
    pub fn settle(&mut self, worker: usize) {
        let life = self.workers[worker].life;
        if life == 0 {
            return;
        }
        if let Some(task) = self.workers[worker].crashing(self.now) {
            self.kill_worker(worker, Some(task));
            return;
        }
        let changes = self.workers[worker].settle(self.now);
        self.see_changes(life, worker, &changes);
        if !changes.is_empty()
            && let Some(number) = self.watches[worker].as_ref().map(|watch| watch.number)
        {
            self.watch_over(worker, number);
        }
        self.settle_later(worker);
    }

    /// A worker's process ends; it is back after some seconds.
    pub fn kill_worker(&mut self, worker: usize, by: Option<TaskName>) {
        self.crash_worker(worker, by);
        let away = self.random.random_range(SHORTEST_AWAY..LONGEST_AWAY);
        self.schedule(self.now + away, Happening::WorkerBegins(worker));
    }

    /// Whether a worker runs on and refuses connections.
    pub fn is_shut(&self, worker: usize) -> bool {
        let life = self.workers[worker].life;
        life != 0 && self.shut[worker] == Some(life)
    }

    /// The connection breaks on which an agent waits for its worker's lists.
    pub fn break_watch(&mut self, worker: usize) {
        let Some(watch) = self.watches[worker].take() else {
            return;
        };
        let event = AgentEvent::Watched {
            incarnation: self.workers[worker].worker_incarnation(),
            answer: Err(CommandError::NoAnswer),
        };
        self.answer_agent(worker, watch.agent, NEARBY, event);
    }

    fn settle_later(&mut self, worker: usize) {
        if self.workers[worker].is_busy() && !self.settles[worker] {
            self.settles[worker] = true;
            self.schedule(self.now + SETTLE, Happening::Settle(worker));
        }
    }

    /// A worker answers a watch.
    pub fn watch_over(&mut self, worker: usize, number: u64) {
        if self.watches[worker]
            .as_ref()
            .is_none_or(|watch| watch.number != number)
        {
            return;
        }
        let Some(watch) = self.watches[worker].take() else {
            return;
        };
        let state = &self.workers[worker];
        let mut lists = state.lists(self.now);
        if self.sabotage == Some(Sabotage::NoTakeover) {
            self.hide_foreign(worker, &mut lists);
        }
        let state = &self.workers[worker];
        let answer = WatchAnswer {
            clock: Some(state.clock(self.now)),
            started_at: state.worker_incarnation().started_at,
            lists: Ok(lists),
        };
        let event = AgentEvent::Watched {
            incarnation: watch.incarnation,
            answer: Ok(answer),
        };
        self.answer_agent(worker, watch.agent, watch.answer_delay, event);
    }

    fn hide_foreign(&self, worker: usize, lists: &mut RunLists) {
        if self.agents[worker].machine.taken_resources() == Resources::default() {
            lists.running.clear();
        }
    }
}

struct RunAnswer {
    answer: CommandAnswer,
    changes: Vec<super::worker::Change>,
}

pub(super) fn answered(order: &WorkerCommand, answer: CommandAnswer) -> AgentEvent {
    event_of(order, Ok(answer))
}

fn unanswered(order: &WorkerCommand, failure: CommandError) -> AgentEvent {
    event_of(order, Err(failure))
}

fn event_of(order: &WorkerCommand, answer: Result<CommandAnswer, CommandError>) -> AgentEvent {
    let incarnation = order.incarnation.clone();
    match &order.kind {
        CommandKind::Start { run, .. } => AgentEvent::StartAnswered {
            run: *run,
            incarnation,
            answer,
        },
        CommandKind::Stop { run } => AgentEvent::StopAnswered {
            run: *run,
            incarnation,
            answer,
        },
        CommandKind::Watch { .. } => AgentEvent::Watched {
            incarnation,
            answer: answer.map(|answer| WatchAnswer {
                clock: answer.clock,
                started_at: None,
                lists: Ok(RunLists::default()),
            }),
        },
    }
}
