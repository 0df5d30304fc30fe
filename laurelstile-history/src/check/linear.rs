//! Linearizability of the configuration log and of the claims, by the checker
//! of `todc-utils`.

use std::collections::BTreeMap;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::{Point, Report};
use crate::event::{Event, Record};

pub(super) fn check(records: &[Record], report: &mut Report) {
    check_log(records, report);
    check_claims(records, report);
}

/// The configuration log: an append gives the next number.
struct LogSpecification;

#[derive(Clone, Debug)]
struct Append {
    revision: u64,
}

impl Specification for LogSpecification {
    type State = u64;
    type Operation = Append;

    fn init() -> u64 {
        0
    }

    fn apply(append: &Append, head: &u64) -> (bool, u64) {
        (append.revision == head + 1, append.revision)
    }
}

fn check_log(records: &[Record], report: &mut Report) {
    let mut processes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut revisions: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        if let Event::ChangeAccepted {
            change, revision, ..
        } = &record.event
        {
            revisions.insert(change.as_str(), *revision);
        }
    }
    let mut actions = Vec::new();
    let mut events = Vec::new();
    for record in records {
        let (change, is_call) = match &record.event {
            Event::ChangeRequested { change } => (change.as_str(), true),
            Event::ChangeAccepted { change, .. } => (change.as_str(), false),
            _ => continue,
        };
        // A change that was refused has no place in the order.
        let Some(revision) = revisions.get(change).copied() else {
            continue;
        };
        let next = processes.len();
        let process = *processes.entry(change).or_insert(next);
        let append = Append { revision };
        let action = if is_call {
            Action::Call(append)
        } else {
            Action::Response(append)
        };
        actions.push((process, action));
        events.push(record);
    }
    if !is_linearizable::<LogSpecification>(actions) {
        let message = "the accepted changes have no order that their numbers and times allow";
        report.violate(Point::ConfigurationInForce, message, events);
    }
}

/// A claim: whoever claims it while it is free has it until it is released.
struct ClaimSpecification;

#[derive(Clone, Debug)]
enum ClaimOperation {
    Claim { submission: String, granted: bool },
    Release { submission: String },
}

impl Specification for ClaimSpecification {
    type State = Option<String>;
    type Operation = ClaimOperation;

    fn init() -> Option<String> {
        None
    }

    fn apply(operation: &ClaimOperation, holder: &Option<String>) -> (bool, Option<String>) {
        match operation {
            ClaimOperation::Claim {
                submission,
                granted,
            } => match holder {
                None => (*granted, Some(submission.clone())),
                Some(held) => (*granted == (held == submission), holder.clone()),
            },
            ClaimOperation::Release { submission } => {
                let is_own = holder.as_ref() == Some(submission);
                let next = if is_own { None } else { holder.clone() };
                (true, next)
            }
        }
    }
}

fn check_claims(records: &[Record], report: &mut Report) {
    let mut claims: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::ClaimRequested { claim, .. }
            | Event::ClaimDecided { claim, .. }
            | Event::ReleaseRequested { claim, .. }
            | Event::ReleaseDone { claim, .. } => {
                claims.entry(claim).or_default().push(record);
            }
            _ => {}
        }
    }
    for (claim, events) in claims {
        match claim_actions(&events) {
            Some(actions) => {
                if !is_linearizable::<ClaimSpecification>(actions) {
                    let message = format!("the outcomes of claim {claim} contradict each other");
                    report.violate(Point::AtMostOnce, message, events);
                }
            }
            None => report.claims_not_judged += 1,
        }
    }
}

/// The operations on one claim; `None` if the outcome of one is not known.
fn claim_actions(events: &[&Record]) -> Option<Vec<(usize, Action<ClaimOperation>)>> {
    let mut processes: BTreeMap<(&str, bool), usize> = BTreeMap::new();
    let mut actions = Vec::new();
    for record in events {
        let (submission, is_release, is_call) = match &record.event {
            Event::ClaimRequested { submission, .. } => (submission, false, true),
            Event::ClaimDecided { submission, .. } => (submission, false, false),
            Event::ReleaseRequested { submission, .. } => (submission, true, true),
            Event::ReleaseDone { submission, .. } => (submission, true, false),
            _ => continue,
        };
        let operation = if is_release {
            ClaimOperation::Release {
                submission: submission.clone(),
            }
        } else {
            ClaimOperation::Claim {
                submission: submission.clone(),
                granted: granted(events, submission)?,
            }
        };
        let next = processes.len();
        let process = *processes
            .entry((submission.as_str(), is_release))
            .or_insert(next);
        let action = if is_call {
            Action::Call(operation)
        } else {
            Action::Response(operation)
        };
        actions.push((process, action));
    }
    let calls = actions
        .iter()
        .filter(|(_, action)| matches!(action, Action::Call(_)))
        .count();
    (calls * 2 == actions.len()).then_some(actions)
}

fn granted(events: &[&Record], wanted: &str) -> Option<bool> {
    events.iter().find_map(|record| match &record.event {
        Event::ClaimDecided {
            submission,
            granted,
            ..
        } if submission == wanted => Some(*granted),
        _ => None,
    })
}

fn is_linearizable<S: Specification>(actions: Vec<(usize, Action<S::Operation>)>) -> bool {
    actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}
