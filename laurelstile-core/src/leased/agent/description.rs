//! Which description of the worker a gateway had received when it sent a message.
//!
//! Gateways choose a worker for its service, labels, capacity, health and place, as the latest snapshot
//! says. All of these belong to one incarnation, and service and labels may change within one. A message
//! that was sent by an earlier description must not be carried out: its task may require a label that the
//! worker does not have.
//!
//! Messages need not name the description. Each carries the latest reading of the agent's clock that its
//! sender has received, which is at least that of the snapshot if the sender has received the snapshot.
//! This also holds for gateways of older versions.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{EndKind, NotStartedReason};
use super::proof::EndProof;
use super::run_table::RunState;
use super::{AgentEffect, LeasedAgent};

/// Number of a description of the worker, which rises with each change of the incarnation, the service
/// or the labels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DescriptionNumber(u64);

/// The latest description that was sent to a gateway.
#[derive(Clone, Copy, Debug)]
pub struct SentDescription {
    number: DescriptionNumber,
    /// Reading of the agent's clock in the first snapshot with the description. Higher than in all
    /// earlier messages of the session.
    clock: Timestamp,
}

impl SentDescription {
    /// Records a snapshot with the description `number` that is sent at `now`, after one with the
    /// description `earlier`. Returns the reading of the agent's clock that the snapshot has to carry.
    pub fn record(
        earlier: &mut Option<Self>,
        now: Timestamp,
        number: DescriptionNumber,
    ) -> Timestamp {
        if let Some(sent) = earlier
            && sent.number == number
        {
            return now.max(sent.clock);
        }
        // Other messages may have been sent at the same time.
        let latest = earlier.map_or(now, |sent| now.max(sent.clock));
        let clock = latest.after(Span(1));
        *earlier = Some(Self { number, clock });
        clock
    }

    /// Whether a gateway that echoes `echo` has received the description `number`.
    fn is_known(sent: Option<Self>, number: DescriptionNumber, echo: Timestamp) -> bool {
        sent.is_some_and(|sent| sent.number == number && sent.clock <= echo)
    }
}

impl LeasedAgent {
    /// Begins a new description of the worker: has it sent to all gateways, forgets which of their tasks
    /// wait for the worker as it was described before, and returns those that wait here.
    pub(super) fn change_description(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        self.description.0 += 1;
        self.invalidate_snapshots();
        for owner in self.owners.values_mut() {
            owner.clear_waiting();
        }
        self.return_all_waiting(now, effects);
    }

    /// Returns the tasks that wait for room on a worker that has ended, or is another one now. They have
    /// not been sent to it.
    pub(super) fn return_all_waiting(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let how = EndKind::NotStarted(NotStartedReason::Unavailable);
        for task in self.runs.tasks_where(|run| run.state == RunState::Waiting) {
            self.end_run(now, task, how, EndProof::NotSent, effects);
        }
    }

    /// Whether a gateway had received the current description of the worker when it sent a message with
    /// this echo.
    pub(super) fn knows_description(&self, gateway: Incarnation, echo: Timestamp) -> bool {
        let owner = self.owners.get(&gateway);
        owner.is_some_and(|owner| {
            SentDescription::is_known(owner.sent_description, self.description, echo)
        })
    }
}
