//! Configurations in force: point 8.

use std::collections::{BTreeMap, BTreeSet};

use super::{Bounds, Point, Report, seconds};
use crate::event::{Event, PLATFORM, Record};

/// What a history says of one node.
#[derive(Default)]
struct Node<'a> {
    in_force: Vec<(u64, &'a Record)>,
    /// Times in which the node was not whole, in order.
    faults: Vec<Fault>,
    stopped_at: Option<u64>,
}

struct Fault {
    from: u64,
    to: u64,
}

pub(super) fn check(records: &[Record], bounds: Bounds, report: &mut Report) {
    check_no_revert(records, report);
    let end = records.last().map_or(0, |record| record.at_micros);
    let nodes = nodes_of(records, end);
    for record in records {
        let Event::ChangeAccepted { revision, .. } = &record.event else {
            continue;
        };
        for (name, node) in &nodes {
            check_in_force(record, *revision, name, node, bounds, end, report);
        }
    }
}

fn check_no_revert(records: &[Record], report: &mut Report) {
    let mut newest: BTreeMap<(&str, &str), (u64, &Record)> = BTreeMap::new();
    for record in records {
        let Event::InForce {
            incarnation,
            revision,
        } = &record.event
        else {
            continue;
        };
        let key = (record.node.as_str(), incarnation.as_str());
        if let Some((before, earlier)) = newest.get(&key)
            && revision < before
        {
            let message = format!("{} went from revision {before} to {revision}", record.node);
            report.violate(Point::ConfigurationInForce, message, [*earlier, record]);
        }
        newest.insert(key, (*revision, record));
    }
}

fn check_in_force(
    accepted: &Record,
    revision: u64,
    name: &str,
    node: &Node,
    bounds: Bounds,
    end: u64,
    report: &mut Report,
) {
    let due_from = node.whole_from(accepted.at_micros, bounds.in_force_micros);
    let due = due_from.saturating_add(bounds.in_force_micros);
    if due > end || node.stopped_at.is_some_and(|stopped| stopped < due) {
        return;
    }
    let reached = node
        .in_force
        .iter()
        .find(|(number, _)| *number >= revision)
        .map(|(_, record)| record.at_micros);
    match reached {
        Some(at) if at <= due => {
            let micros = at.saturating_sub(accepted.at_micros);
            if node.whole_from(accepted.at_micros, micros) == accepted.at_micros {
                let took = seconds(micros);
                report.config_max_seconds_in_force = report.config_max_seconds_in_force.max(took);
            }
        }
        _ => {
            let message = format!(
                "revision {revision} was not in force on {name} within {:.0} s",
                seconds(bounds.in_force_micros)
            );
            report.violate(Point::ConfigurationInForce, message, [accepted]);
        }
    }
}

impl Node<'_> {
    /// The earliest time from `at` on after which the node is whole for `span`.
    fn whole_from(&self, at: u64, span: u64) -> u64 {
        let mut from = at;
        for fault in &self.faults {
            let overlaps = fault.from <= from.saturating_add(span) && fault.to >= from;
            if overlaps {
                from = from.max(fault.to);
            }
        }
        from
    }
}

/// The nodes that ever put a revision in force.
fn nodes_of(records: &[Record], end: u64) -> BTreeMap<&str, Node<'_>> {
    let mut nodes: BTreeMap<&str, Node> = BTreeMap::new();
    for record in records {
        if let Event::InForce { revision, .. } = &record.event {
            let node = nodes.entry(&record.node).or_default();
            node.in_force.push((*revision, record));
        }
    }
    // Faults of one kind may overlap on a node.
    let mut open: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::FaultBegan { target, kind } => {
                let starts = open.entry((target, kind)).or_default();
                starts.push(record.at_micros);
            }
            Event::FaultEnded { target, kind } => {
                let starts = open.get_mut(&(target.as_str(), kind.as_str()));
                if let Some(from) = starts.and_then(Vec::pop) {
                    add_fault(&mut nodes, target, from, record.at_micros);
                }
            }
            Event::StopBegan { target } => {
                if let Some(node) = nodes.get_mut(target.as_str()) {
                    node.stopped_at.get_or_insert(record.at_micros);
                }
            }
            _ => {}
        }
    }
    for ((target, _), starts) in open {
        for from in starts {
            add_fault(&mut nodes, target, from, end);
        }
    }
    for (from, to) in times_without_gateway(records, &nodes) {
        add_fault(&mut nodes, PLATFORM, from, to);
    }
    for node in nodes.values_mut() {
        node.faults.sort_by_key(|fault| fault.from);
    }
    nodes
}

/// Times in which every gateway was under a fault: nobody could tell anyone.
fn times_without_gateway(records: &[Record], nodes: &BTreeMap<&str, Node<'_>>) -> Vec<(u64, u64)> {
    let gateways: BTreeSet<&str> = records
        .iter()
        .filter_map(|record| match &record.event {
            Event::Submitted { gateway, .. } => Some(gateway.as_str()),
            _ => None,
        })
        .collect();
    let mut common: Option<Vec<(u64, u64)>> = None;
    for gateway in gateways {
        let faults: Vec<(u64, u64)> = nodes.get(gateway).map_or_else(Vec::new, |node| {
            node.faults
                .iter()
                .map(|fault| (fault.from, fault.to))
                .collect()
        });
        common = Some(match common {
            None => faults,
            Some(common) => overlaps(&common, &faults),
        });
    }
    common.unwrap_or_default()
}

fn overlaps(one: &[(u64, u64)], other: &[(u64, u64)]) -> Vec<(u64, u64)> {
    let mut both = Vec::new();
    for (from, to) in one {
        for (other_from, other_to) in other {
            let overlap = (*from.max(other_from), *to.min(other_to));
            if overlap.0 < overlap.1 {
                both.push(overlap);
            }
        }
    }
    both
}

/// A fault of the platform may keep every node from learning.
fn add_fault(nodes: &mut BTreeMap<&str, Node>, target: &str, from: u64, to: u64) {
    for (name, node) in nodes {
        if *name == target || target == PLATFORM {
            node.faults.push(Fault { from, to });
        }
    }
}
