//! Recovery of submissions whose scheduler was lost: the agents say what they
//! started and refuse the lost delegation from then on; what none of them
//! started goes to the next scheduler.

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
        // The fence is the next delegation's number.
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

    /// An agent says what it started of a submission.
    pub(super) fn on_recovered(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        recovered: Recovered,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let number = recovered.fence.submission.number;
        let started = self.links.get(index).incarnation_started;
        let Some(submission) = self.submissions.get_mut(&number) else {
            return;
        };
        let is_current = submission.id == recovered.fence.submission;
        if !is_current {
            return;
        }
        submission.fenced_at.insert(index);
        // An incarnation younger than the submission cannot speak for the
        // one before it.
        submission.starts_unknown |= started > submission.accepted;
        let mut failed = None;
        for (task, status) in recovered.tasks {
            match status {
                DispatchStatus::Running => {
                    submission.running_at.insert(task, index);
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

    /// Goes on once every agent has answered.
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

    /// After a new session to an agent: asks again what it has of the
    /// submissions that wait for its word.
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

    /// An agent's incarnation is gone: nothing can be learned of what it had.
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
            if submission.running_at.values().any(|at| *at == index) {
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
        .is_some_and(|since| since < submission.accepted);
    link.pool == submission.pool && !(gone_before && link.session.is_none())
}

fn awaits_agent(submission: &Submission, index: LinkIndex) -> bool {
    let awaited = match &submission.phase {
        Phase::Recovering(awaited) => awaited.contains(&index),
        _ => false,
    };
    awaited || submission.running_at.values().any(|at| *at == index)
}
