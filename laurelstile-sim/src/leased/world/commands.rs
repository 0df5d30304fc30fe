//! Commands that wait for a connection, arrive late, or are lost or rejected.

use std::collections::VecDeque;

use laurelstile_core::leased::agent::worker::Rejection;
use laurelstile_core::leased::agent::{
    AgentEvent, CommandAnswer, CommandKind, WatchAnswer, WorkerCommand,
};
use laurelstile_types::id::Incarnation;
use rand::Rng;

use super::super::orders::{Delivery, answered};
use super::World;

/// Commands that an agent sends at once; the others wait.
const MAX_COMMANDS: usize = 3;
/// Latest execution of a delayed command, and latest answer after that, in microseconds.
const LONGEST_DELAY: u64 = 100_000;
/// Latest execution of a command that is neither answered nor lost.
const LONGEST_LATENESS: u64 = 4_000_000;

/// Which commands a fault of a worker concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandGroup {
    /// Starts.
    Starts,
    /// Stops.
    Stops,
    /// Starts and stops.
    StartsAndStops,
    /// Watches.
    Watches,
}

impl CommandGroup {
    fn contains(self, kind: &CommandKind) -> bool {
        match kind {
            CommandKind::Start { .. } => matches!(self, Self::Starts | Self::StartsAndStops),
            CommandKind::Stop { .. } => matches!(self, Self::Stops | Self::StartsAndStops),
            CommandKind::Watch { .. } => self == Self::Watches,
        }
    }
}

/// What befalls the commands to a worker.
#[derive(Debug, Default)]
pub struct CommandFaults {
    delayed_until: u64,
    unanswered: Option<(CommandGroup, u64)>,
    rejected: Option<(CommandGroup, u64)>,
    /// Starts and stops that have been sent and not answered.
    in_flight: usize,
    waiting: VecDeque<WorkerCommand>,
}

impl CommandFaults {
    /// Commands are delayed until `end`.
    pub fn delay(&mut self, end: u64) {
        self.delayed_until = end;
    }

    /// Commands of a group get no answer until `end`.
    pub fn leave_unanswered(&mut self, group: CommandGroup, end: u64) {
        self.unanswered = Some((group, end));
    }

    /// The worker rejects commands of a group as unhealthy until `end`.
    pub fn reject(&mut self, group: CommandGroup, end: u64) {
        self.rejected = Some((group, end));
    }

    /// Another agent process: what the one before has not sent is lost.
    pub fn restart(&mut self) {
        self.in_flight = 0;
        self.waiting.clear();
    }
}

fn is_hit(fault: Option<(CommandGroup, u64)>, now: u64, kind: &CommandKind) -> bool {
    fault.is_some_and(|(group, until)| now < until && group.contains(kind))
}

impl World {
    /// Whether a command may be sent now; if not, it waits for one that is in flight.
    pub(in super::super) fn admit_command(&mut self, index: usize, order: &WorkerCommand) -> bool {
        if !self.limits_commands || matches!(order.kind, CommandKind::Watch { .. }) {
            return true;
        }
        let faults = &mut self.command_faults[index];
        if faults.in_flight >= MAX_COMMANDS {
            faults.waiting.push_back(order.clone());
            return false;
        }
        faults.in_flight += 1;
        true
    }

    /// A start or stop has been answered or has timed out: the next one is sent.
    pub(super) fn command_over(&mut self, index: usize, agent: Incarnation, event: &AgentEvent) {
        let is_command = matches!(
            event,
            AgentEvent::StartAnswered { .. } | AgentEvent::StopAnswered { .. }
        );
        if !self.limits_commands || !is_command {
            return;
        }
        let faults = &mut self.command_faults[index];
        faults.in_flight = faults.in_flight.saturating_sub(1);
        if let Some(order) = faults.waiting.pop_front() {
            self.give(index, agent, order);
        }
    }

    /// How a command travels that a fault concerns: when it arrives, if it does, and how it is
    /// answered. `None` if no fault concerns it.
    pub(in super::super) fn faulty_delivery(
        &mut self,
        index: usize,
        kind: &CommandKind,
        limit: u64,
    ) -> Option<(Option<u64>, Delivery)> {
        let faults = &self.command_faults[index];
        if is_hit(faults.unanswered, self.now, kind) {
            let arrival = match self.random.random_range(0..4) {
                0 => None,
                1 | 2 => Some(self.random.random_range(100..LONGEST_DELAY)),
                _ => Some(self.random.random_range(LONGEST_DELAY..LONGEST_LATENESS)),
            };
            let delivery = match arrival {
                Some(delay) if delay >= LONGEST_DELAY => Delivery::Late,
                _ => Delivery::Unanswered,
            };
            return Some((arrival, delivery));
        }
        if self.now < faults.delayed_until {
            let delay = self.random.random_range(100..LONGEST_DELAY);
            let answer_delay = self.random.random_range(100..LONGEST_DELAY);
            // Half of the commands keep within their time-outs.
            let (delay, answer_delay) = match self.random.random_bool(0.5) {
                true => (delay / 10, answer_delay / 10),
                false => (delay, answer_delay),
            };
            let delivery = match delay + answer_delay < limit {
                true => Delivery::AnsweredAfter(answer_delay),
                false => Delivery::Unanswered,
            };
            return Some((Some(delay), delivery));
        }
        None
    }

    /// The answer of a worker that rejects a command as unhealthy, if it does.
    pub(in super::super) fn unhealthy_answer(
        &self,
        worker: usize,
        order: &WorkerCommand,
    ) -> Option<AgentEvent> {
        if !is_hit(self.command_faults[worker].rejected, self.now, &order.kind) {
            return None;
        }
        let rejection = Rejection::Unhealthy;
        if matches!(order.kind, CommandKind::Watch { .. }) {
            return Some(AgentEvent::Watched {
                incarnation: order.incarnation.clone(),
                answer: Ok(WatchAnswer {
                    clock: None,
                    started_at: None,
                    lists: Err(rejection),
                }),
            });
        }
        let rejection = Some(rejection);
        let clock = None;
        Some(answered(order, CommandAnswer { clock, rejection }))
    }
}
