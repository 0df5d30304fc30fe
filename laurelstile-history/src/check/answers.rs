//! Starts and answers: points 1 to 5.

use std::collections::BTreeMap;

use laurelstile_types::outcome::RunState;

use super::{Point, Report};
use crate::event::{Event, Record, RequestId, ResultTag};

/// Everything that a history says of one request.
#[derive(Default)]
struct Request<'a> {
    submitted: Option<&'a Record>,
    tasks: u32,
    starts: BTreeMap<u32, Vec<&'a Record>>,
    answered: Vec<&'a Record>,
    failed: Vec<&'a Record>,
    not_run: Option<&'a Record>,
}

pub(super) fn check(records: &[Record], report: &mut Report) {
    let mut requests: BTreeMap<&RequestId, Request> = BTreeMap::new();
    let mut keyed: BTreeMap<(&str, u32), Vec<&Record>> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Submitted { request, tasks, .. } => {
                report.submissions += 1;
                let entry = requests.entry(request).or_default();
                entry.submitted = Some(record);
                entry.tasks = *tasks;
            }
            Event::Answered { request, .. } => {
                report.answered += 1;
                requests.entry(request).or_default().answered.push(record);
            }
            Event::Failed {
                request, run_state, ..
            } => {
                let entry = requests.entry(request).or_default();
                entry.failed.push(record);
                if *run_state == RunState::NotRun {
                    report.refused_not_run += 1;
                    entry.not_run = Some(record);
                } else {
                    report.failed += 1;
                }
            }
            Event::Lost { request, unsent } => {
                report.lost += 1;
                let entry = requests.entry(request).or_default();
                entry.failed.push(record);
                if *unsent {
                    entry.not_run = Some(record);
                }
            }
            Event::TaskStarted {
                request, task, key, ..
            } => {
                report.starts += 1;
                let entry = requests.entry(request).or_default();
                entry.starts.entry(*task).or_default().push(record);
                if let Some(key) = key {
                    keyed.entry((key.as_str(), *task)).or_default().push(record);
                }
            }
            Event::FaultBegan { kind, .. } => {
                *report.faults.entry(kind.clone()).or_default() += 1;
            }
            _ => {}
        }
    }
    for (name, request) in &requests {
        check_request(name, request, report);
    }
    for ((key, task), starts) in keyed {
        if starts.len() > 1 {
            let message = format!("task {task} of key {key} started {} times", starts.len());
            report.violate(Point::AtMostOnce, message, starts);
        }
    }
}

fn check_request(name: &str, request: &Request, report: &mut Report) {
    for (task, starts) in &request.starts {
        if starts.len() > 1 {
            let message = format!("task {task} of {name} started {} times", starts.len());
            report.violate(Point::StartsOnce, message, starts.iter().copied());
        }
    }
    let ends = request.answered.len() + request.failed.len();
    if ends > 1 {
        let events = request.answered.iter().chain(&request.failed).copied();
        let message = format!("{name} has {ends} final answers");
        report.violate(Point::WholeOrFailed, message, events);
    }
    for answer in &request.answered {
        if let Event::Answered { results, .. } = &answer.event {
            check_answer(name, request, answer, results, report);
        }
    }
    if let Some(refusal) = request.not_run
        && let Some(start) = request.starts.values().flatten().next()
    {
        let message = format!("{name} was refused as not run, but ran");
        report.violate(Point::NotRunIsTrue, message, [refusal, *start]);
    }
}

fn check_answer(
    name: &str,
    request: &Request,
    answer: &Record,
    results: &[ResultTag],
    report: &mut Report,
) {
    let events = request.submitted.into_iter().chain([answer]);
    if results.len() != request.tasks as usize {
        let message = format!(
            "{name} has {} tasks, its answer {}",
            request.tasks,
            results.len()
        );
        report.violate(Point::WholeOrFailed, message, events);
        return;
    }
    let own = (0..)
        .zip(results)
        .all(|(index, result)| result.request == name && result.task == index);
    if !own {
        let message = format!("the answer to {name} has results of other tasks");
        report.violate(Point::OwnAnswer, message, events);
    }
}
