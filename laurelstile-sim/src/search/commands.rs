//! Commands on their way from agents to workers, and the answers.

use laurelstile_core::leased::agent::worker::{CommandError, WorkerClock};
use laurelstile_core::leased::agent::{
    AgentEvent, CommandAnswer, CommandKind, WatchAnswer, WorkerCommand,
};
use laurelstile_core::leased::task::RunId;
use laurelstile_core::leased::worker_incarnation::WorkerIncarnation;
use laurelstile_history::leased::Life;
use laurelstile_types::id::Incarnation;

use super::fault::{CommandType, Fault, LateLease, Micros};
use super::world::{EARLIER_RUN_TIME, Event, JOB, RUN_TIME, World};
use crate::leased::worker::{Change, RunPlan};

/// One-way delay between an agent and its worker.
const NEARBY: Micros = 100;
/// How long an agent waits for the answer to a start or stop, and to a watch beyond its wait.
const COMMAND_TIMEOUT: Micros = 25_000;

/// A fault that affects the next command of a kind.
#[derive(Clone, Copy, Debug)]
pub struct Armed {
    fault: Fault,
    agent: usize,
    command: CommandType,
}

impl Armed {
    /// Waits for the next command that `fault` affects.
    ///
    /// # Panics
    /// If the fault affects no commands.
    pub fn new(fault: Fault) -> Self {
        let (agent, command) = match fault {
            Fault::AnswerLost(agent, command)
            | Fault::CommandLost(agent, command)
            | Fault::CarriedOutLate(agent, command, ..)
            | Fault::HeldInAgent(agent, command, _) => (agent, command),
            _ => unreachable!("not a fault of commands"),
        };
        Self {
            fault,
            agent,
            command,
        }
    }
}

/// How a command is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is answered.
    Answered,
    /// It is not answered.
    Unanswered,
    /// It is not answered, and is lost if this incarnation of the worker has ended.
    HeldBy(Life),
}

/// A watch that waits at a worker.
#[derive(Clone, Debug)]
pub struct PendingWatch {
    number: u64,
    agent: Incarnation,
    incarnation: WorkerIncarnation,
}

impl CommandType {
    /// Name of the kind.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Stop => "stop",
            Self::Watch => "watch",
        }
    }

    fn of(kind: &CommandKind) -> Self {
        match kind {
            CommandKind::Start { .. } => Self::Start,
            CommandKind::Stop { .. } => Self::Stop,
            CommandKind::Watch { .. } => Self::Watch,
        }
    }
}

impl World {
    /// An agent gives its worker a command, unless a fault affects it.
    pub fn give_command(&mut self, index: usize, agent: Incarnation, command: Box<WorkerCommand>) {
        let kind = CommandType::of(&command.kind);
        let is_affected = |armed: &Armed| armed.agent == index && armed.command == kind;
        let Some(position) = self.armed.iter().position(is_affected) else {
            self.send_to_worker(index, agent, command);
            return;
        };
        let fault = self.armed.remove(position).fault;
        self.note(|| format!("agent-{index}: {kind}: {}", fault.kind()));
        if let Fault::HeldInAgent(_, _, micros) = fault {
            self.commands_in_flight += 1;
            let event = Event::CommandLeaves(index, agent, command);
            self.schedule(self.now + micros, event);
            return;
        }
        self.time_out(index, agent, &command);
        match fault {
            Fault::AnswerLost(..) => {
                self.arrive_later(index, agent, command, NEARBY, Delivery::Unanswered)
            }
            Fault::CarriedOutLate(_, _, micros, lease) => {
                let command = match lease {
                    LateLease::Absolute | LateLease::OutlivesProcess => command,
                    LateLease::FromExecution => Box::new(with_lease_after(*command, micros)),
                };
                let delivery = match lease {
                    LateLease::OutlivesProcess => Delivery::Unanswered,
                    _ => Delivery::HeldBy(self.workers[index].life),
                };
                self.arrive_later(index, agent, command, micros, delivery);
            }
            _ => {}
        }
    }

    /// Sends a command to a worker.
    pub fn send_to_worker(
        &mut self,
        index: usize,
        agent: Incarnation,
        command: Box<WorkerCommand>,
    ) {
        let kind = CommandType::of(&command.kind);
        let ignored_until = self.ignores[index].get(kind.name()).copied();
        if ignored_until.is_some_and(|until| self.now < until) {
            self.time_out(index, agent, &command);
            return;
        }
        let is_refused = self.refuses[index]
            .is_some_and(|refuses_watches| refuses_watches || kind != CommandType::Watch);
        if is_refused {
            let event = failed(&command, CommandError::ConnectionRefused);
            self.answer(index, agent, NEARBY, event);
            return;
        }
        self.arrive_later(index, agent, command, NEARBY, Delivery::Answered);
    }

    fn arrive_later(
        &mut self,
        index: usize,
        agent: Incarnation,
        command: Box<WorkerCommand>,
        delay: Micros,
        delivery: Delivery,
    ) {
        self.commands_in_flight += 1;
        let event = Event::CommandArrives(index, agent, command, delivery);
        self.schedule(self.now + delay, event);
    }

    fn time_out(&mut self, index: usize, agent: Incarnation, command: &WorkerCommand) {
        let wait = match &command.kind {
            CommandKind::Watch { wait, .. } => wait.0,
            CommandKind::Start { .. } | CommandKind::Stop { .. } => 0,
        };
        let event = failed(command, CommandError::NoAnswer);
        self.answer(index, agent, wait + COMMAND_TIMEOUT, event);
    }

    fn answer(&mut self, index: usize, agent: Incarnation, delay: Micros, event: AgentEvent) {
        let event = Event::AgentInput(index, agent, Box::new(event));
        self.schedule(self.now + delay, event);
    }

    /// A command reaches a worker.
    pub fn command_arrives(
        &mut self,
        index: usize,
        agent: Incarnation,
        command: &WorkerCommand,
        delivery: Delivery,
    ) {
        self.settle(index);
        let is_answered = delivery == Delivery::Answered;
        let worker = &self.workers[index];
        if matches!(delivery, Delivery::HeldBy(life) if life != worker.life) {
            return;
        }
        if worker.life == 0 || *worker.id != *command.incarnation.id {
            let failure = if worker.life == 0 {
                CommandError::ConnectionRefused
            } else {
                CommandError::IncarnationEnded
            };
            if is_answered {
                self.answer(index, agent, NEARBY, failed(command, failure));
            }
            return;
        }
        if let CommandKind::Watch { .. } = command.kind {
            self.watch_arrives(index, agent, command, is_answered);
        } else {
            self.order_arrives(index, agent, command, is_answered);
        }
        self.settle_later(index);
    }

    fn order_arrives(
        &mut self,
        index: usize,
        agent: Incarnation,
        command: &WorkerCommand,
        is_answered: bool,
    ) {
        let is_judged = |run: &RunId| run.task.job == JOB;
        let duration = match &command.kind {
            CommandKind::Start { run, .. } if !is_judged(run) => EARLIER_RUN_TIME,
            _ => RUN_TIME,
        };
        let plan = RunPlan {
            duration,
            crashes: false,
            is_late: false,
        };
        let (answer, changes) =
            self.workers[index].order(self.now, command.token, &command.kind, plan);
        self.note(|| {
            let rejection = answer.rejection;
            format!(
                "worker-{index} gets {}: {rejection:?}",
                describe(&command.kind)
            )
        });
        if let CommandKind::Start { run, .. } = &command.kind
            && is_judged(run)
            && changes
                .iter()
                .any(|change| matches!(change, Change::Started(..)))
        {
            self.run_started(index, *run);
        }
        if is_answered {
            self.answer(index, agent, NEARBY, event_of(command, Ok(answer)));
        }
    }

    fn watch_arrives(
        &mut self,
        index: usize,
        agent: Incarnation,
        command: &WorkerCommand,
        is_answered: bool,
    ) {
        let CommandKind::Watch {
            last_seen,
            lease_until,
            wait,
        } = &command.kind
        else {
            return;
        };
        let watched = self.workers[index].watch(self.now, command.token, *last_seen, *lease_until);
        if let Err(rejection) = watched {
            let answer = WatchAnswer {
                clock: Some(self.workers[index].clock(self.now)),
                started_at: self.workers[index].worker_incarnation().started_at,
                lists: Err(rejection),
            };
            if is_answered {
                let event = AgentEvent::Watched {
                    incarnation: command.incarnation.clone(),
                    answer: Ok(answer),
                };
                self.answer(index, agent, NEARBY, event);
            }
            return;
        }
        if !is_answered {
            return;
        }
        let number = self.fresh();
        let incarnation = command.incarnation.clone();
        self.watches[index] = Some(PendingWatch {
            number,
            agent,
            incarnation,
        });
        let has_ends = !self.workers[index].lists(self.now).ended.is_empty();
        let wait = if has_ends { 0 } else { wait.0 };
        self.schedule(self.now + wait, Event::WatchEnds(index, number));
    }

    /// A worker answers a watch.
    pub fn end_watch(&mut self, index: usize, number: u64) {
        if let Some(watch) = self.watches[index].take_if(|watch| watch.number == number) {
            let worker = &self.workers[index];
            let answer = WatchAnswer {
                clock: Some(worker.clock(self.now)),
                started_at: worker.worker_incarnation().started_at,
                lists: Ok(worker.lists(self.now)),
            };
            let event = AgentEvent::Watched {
                incarnation: watch.incarnation,
                answer: Ok(answer),
            };
            self.answer(index, watch.agent, NEARBY, event);
        }
    }

    /// The connection of a pending watch breaks.
    pub fn break_watch(&mut self, index: usize) {
        if let Some(watch) = self.watches[index].take() {
            let event = AgentEvent::Watched {
                incarnation: watch.incarnation,
                answer: Err(CommandError::NoAnswer),
            };
            self.answer(index, watch.agent, NEARBY, event);
        }
    }

    /// A worker ends what is due, and answers a watch that waits for it.
    pub fn settle(&mut self, index: usize) {
        if self.workers[index].life == 0 {
            return;
        }
        let changes = self.workers[index].settle(self.now);
        for change in &changes {
            if let Change::Ended(task, how) = change {
                self.note(|| format!("WORKER-{index} ENDS its run: {how:?}"));
                self.running
                    .retain(|run| run.worker != index || run.run.task != *task);
            }
        }
        if !changes.is_empty()
            && let Some(number) = self.watches[index].as_ref().map(|watch| watch.number)
        {
            self.end_watch(index, number);
        }
        self.settle_later(index);
    }

    fn settle_later(&mut self, index: usize) {
        if let Some(at) = self.workers[index].next_end()
            && at < self.settles_at[index]
        {
            self.settles_at[index] = at;
            self.schedule(at, Event::Settle(index));
        }
    }
}

/// The command with a lease that ends `micros` later.
fn with_lease_after(mut command: WorkerCommand, micros: Micros) -> WorkerCommand {
    let later = |until: WorkerClock| WorkerClock(until.0 + micros / 1_000);
    match &mut command.kind {
        CommandKind::Start { lease_until, .. } => *lease_until = later(*lease_until),
        CommandKind::Watch { lease_until, .. } => *lease_until = lease_until.map(later),
        CommandKind::Stop { .. } => {}
    }
    command
}

fn describe(kind: &CommandKind) -> String {
    match kind {
        CommandKind::Start {
            run, lease_until, ..
        } => {
            format!("start of run {} until {}", run.run.0, lease_until.0)
        }
        CommandKind::Stop { run } => format!("stop of run {}", run.run.0),
        CommandKind::Watch { .. } => "watch".into(),
    }
}

fn failed(command: &WorkerCommand, error: CommandError) -> AgentEvent {
    event_of(command, Err(error))
}

fn event_of(command: &WorkerCommand, answer: Result<CommandAnswer, CommandError>) -> AgentEvent {
    let incarnation = command.incarnation.clone();
    match &command.kind {
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
            answer: Err(answer.err().unwrap_or(CommandError::NoAnswer)),
        },
    }
}
