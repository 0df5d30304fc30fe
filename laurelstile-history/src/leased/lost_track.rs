//! Tells whether a double run is of a gateway that lost track of a run which went on
//! undisturbed.

use std::fmt;

use serde::Serialize;

use super::{DoubleRun, OverlappingRun, RunEnd};

/// How long a worker continues a run after its lease was last renewed, in microseconds.
const LEASE: u64 = 815_000;
/// How long an agent that watches its worker takes at most to acknowledge an end, in microseconds.
const ACKNOWLEDGED_WITHIN: u64 = 50_000;

/// What holds of a run that its gateway lost track of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Point {
    /// Two runs overlap, and their numbers are 1 and 2.
    Numbers,
    /// One process of a gateway ordered both.
    Gateway,
    /// The job had been submitted once.
    Submission,
    /// The second started before a lease that began with the first would have expired.
    Gap,
    /// The first ended as done.
    End,
    /// No stop reached the first while it ran.
    Stop,
    /// An agent acknowledged the end of the first at once.
    Acknowledgement,
    /// That agent's fencing token was the one of the start. A process raises its own token, so
    /// that another one does not tell whether it was replaced.
    Agent,
}

/// Whether the points hold of a double run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LostTrack {
    /// Those that do not.
    pub missed: Vec<Point>,
    /// Those of which the history does not say.
    pub unknown: Vec<Point>,
}

impl LostTrack {
    /// Whether no point is known not to hold.
    pub fn is_match(&self) -> bool {
        self.missed.is_empty()
    }

    fn note(&mut self, point: Point, holds: Option<bool>) {
        match holds {
            Some(true) => {}
            Some(false) => self.missed.push(point),
            None => self.unknown.push(point),
        }
    }
}

impl fmt::Display for LostTrack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_match() {
            write!(f, "lost track: yes")?;
        } else {
            write!(f, "lost track: no, misses {:?}", self.missed)?;
        }
        if self.unknown.is_empty() {
            return Ok(());
        }
        write!(f, ", unknown {:?}", self.unknown)
    }
}

/// What a history records besides the runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Recorded {
    /// Whether it records stops.
    pub stops: bool,
    /// Whether it records acknowledgements.
    pub acknowledgements: bool,
}

impl DoubleRun {
    /// Whether its gateway lost track of the first run, which went on undisturbed.
    pub fn lost_track(&self) -> LostTrack {
        let mut found = LostTrack::default();
        found.note(Point::Numbers, self.has_numbers_one_and_two());
        found.note(Point::Gateway, self.has_same_gateway());
        found.note(Point::Submission, Some(self.submissions == 1));
        let [first, .., last] = &self.runs[..] else {
            return found;
        };
        found.note(Point::Gap, Some(last.started - first.started < LEASE));
        let how = first.ended.map(|(_, how)| how);
        found.note(Point::End, how.map(|how| how == RunEnd::Done));
        let is_told = self.recorded.stops && first.order.is_some();
        let is_stopped = first.stopped_at.is_some();
        found.note(Point::Stop, is_told.then_some(!is_stopped));
        found.note(Point::Acknowledgement, self.is_acknowledged_at_once(first));
        found.note(Point::Agent, has_agent_of_start(first).then_some(true));
        found
    }

    fn has_numbers_one_and_two(&self) -> Option<bool> {
        let numbers = self.runs.iter().map(|run| Some(run.order?.run));
        let numbers: Vec<u32> = numbers.collect::<Option<_>>()?;
        Some(numbers == [1, 2])
    }

    fn has_same_gateway(&self) -> Option<bool> {
        let orders = self.runs.iter().map(|run| run.order);
        let orders: Vec<_> = orders.collect::<Option<_>>()?;
        let all_same = orders.windows(2).all(|pair| {
            let incarnations = [pair[0], pair[1]].map(|order| order.gateway_incarnation);
            let is_replaced =
                incarnations[0] != incarnations[1] && incarnations.iter().all(Option::is_some);
            pair[0].gateway == pair[1].gateway && !is_replaced
        });
        Some(all_same)
    }

    fn is_acknowledged_at_once(&self, run: &OverlappingRun) -> Option<bool> {
        let (ended_at, _) = run.ended?;
        if !self.recorded.acknowledgements || run.order.is_none() {
            return None;
        }
        let acknowledged = run.acknowledged.map(|(at, _)| at.saturating_sub(ended_at));
        Some(acknowledged.is_some_and(|after| after <= ACKNOWLEDGED_WITHIN))
    }
}

fn has_agent_of_start(run: &OverlappingRun) -> bool {
    let token_of_start = run.order.and_then(|order| order.token);
    let token = run.acknowledged.map(|(_, token)| token);
    token.is_some() && token == token_of_start
}
