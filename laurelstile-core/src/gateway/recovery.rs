//! Recovery of submissions whose scheduler was lost. The agents report which
//! tasks they started and refuse further starts of the lost delegation; the
//! remaining tasks are delegated to another scheduler.

use std::collections::BTreeSet;

use laurelstile_types::outcome::{Failure, Reason};
use laurelstile_types::time::Timestamp;

use super::links::{Link, LinkIndex};
use super::submission::{Phase, Submission};
use super::{Gateway, GatewayEffect};
use crate::messages::agent::{DispatchStatus, Fence, Recovered, TaskOutcome};
use crate::messages::peer::DelegationKey;

impl Gateway {
    /// Starts the recovery of a delegation whose scheduler was lost.
    pub(super) fn recover(
        &mut self,
        now: Timestamp,
        lost: DelegationKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let number = lost.submission.number;
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        if submission.key() != lost {
            return;
        }
        // Only the next delegation may start tasks.
        let fence = Fence {
            submission: submission.id,
            delegation: submission.delegation + 1,
        };
        let agents: BTreeSet<LinkIndex> = self
            .links
            .iter()
            .filter(|(_, link)| may_have_tasks(link, submission))
            .map(|(index, _)| index)
            .collect();
        submission.phase = Phase::Recovering(agents.clone());
        for index in agents {
            self.links.get_mut(index).pending_fences.push(fence);
        }
        self.finish_recovery(now, number, effects);
    }

    /// Handles an agent's report of the tasks that it started.
    pub(super) fn on_recovered(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        recovered: Recovered,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let number = recovered.fence.submission.number;
        let incarnation_started_at = self.links.get(index).incarnation_started_at;
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        let is_current = submission.id == recovered.fence.submission;
        if !is_current {
            return;
        }
        submission.fenced_on.insert(index);
        // An incarnation that started after the submission was accepted does
        // not know which tasks the previous one started.
        submission.starts_unknown |= incarnation_started_at > submission.accepted_at;
        let mut failed = None;
        for (task, status) in recovered.tasks {
            match status {
                DispatchStatus::Running => {
                    submission.running_on.insert(task, index);
                }
                DispatchStatus::Finished {
                    outcome: TaskOutcome::Output(output),
                    ..
                } => submission.set_output(task, output),
                DispatchStatus::Finished {
                    outcome: TaskOutcome::Failed,
                    ..
                } => failed = Some(Reason::TaskFailed),
                DispatchStatus::Finished { .. } => failed = Some(Reason::WorkerLost),
                DispatchStatus::NeverReceived => {}
            }
        }
        if let Phase::Recovering(awaited) = &mut submission.phase {
            awaited.remove(&index);
        }
        if let Some(reason) = failed {
            self.answer(now, number, Err(Failure::may_have_run(reason)), effects);
            return;
        }
        self.finish_recovery(now, number, effects);
        self.answer_if_complete(now, number, effects);
    }

    /// Once all agents have reported, delegates the missing tasks again, or
    /// fails the submission if they may have started without a record.
    fn finish_recovery(&mut self, now: Timestamp, number: u64, effects: &mut Vec<GatewayEffect>) {
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        let Phase::Recovering(awaited) = &submission.phase else {
            return;
        };
        if !awaited.is_empty() {
            return;
        }
        if submission.missing_tasks().is_empty() {
            submission.phase = Phase::Collecting;
            return;
        }
        if submission.starts_unknown {
            let failure = Failure::may_have_run(Reason::WorkerLost);
            self.answer(now, number, Err(failure), effects);
            return;
        }
        self.delegate(now, number, effects);
    }

    /// Repeats the recovery requests to an agent after a new session, for
    /// submissions that depend on its report.
    pub(super) fn requeue_recovery(&mut self, index: LinkIndex) {
        let fences: Vec<Fence> = self
            .submissions
            .values()
            .filter(|submission| awaits_agent(submission, index))
            .map(|submission| Fence {
                submission: submission.id,
                delegation: match submission.phase {
                    Phase::Recovering(_) => submission.delegation + 1,
                    _ => submission.delegation,
                },
            })
            .collect();
        self.links.get_mut(index).pending_fences = fences;
    }

    /// Handles the loss of an agent's incarnation: the outcome of its tasks
    /// cannot be determined.
    pub(super) fn on_agent_lost(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.scheduler.on_agent_lost(index, &mut self.links);
        let affected: Vec<u64> = self
            .submissions
            .iter()
            .filter(|(_, submission)| awaits_agent(submission, index))
            .map(|(number, _)| *number)
            .collect();
        for number in affected {
            let Some(submission) = self.submissions.get_mut(&number) else {
                continue;
            };
            submission.starts_unknown = true;
            if submission.running_on.values().any(|agent| *agent == index) {
                let failure = Failure::may_have_run(Reason::WorkerLost);
                self.answer(now, number, Err(failure), effects);
                continue;
            }
            if let Phase::Recovering(awaited) = &mut submission.phase {
                awaited.remove(&index);
            }
            self.finish_recovery(now, number, effects);
        }
    }
}

/// Whether the lost scheduler may have sent tasks of a submission to an agent.
fn may_have_tasks(link: &Link, submission: &Submission) -> bool {
    let gone_before = link
        .listed_gone_since
        .is_some_and(|since| since < submission.accepted_at);
    link.pool == submission.pool && !(gone_before && link.session.is_none())
}

fn awaits_agent(submission: &Submission, index: LinkIndex) -> bool {
    let awaited = match &submission.phase {
        Phase::Recovering(awaited) => awaited.contains(&index),
        _ => false,
    };
    awaited || submission.running_on.values().any(|agent| *agent == index)
}
