//! One job, from its first line to its answer, and why it ended so.

use serde::Serialize;

use crate::log_line::LogLine;

/// A job was placed in part if its last task was placed so many percent of the
/// objective after the first.
const IN_PART_PERCENT: u64 = 10;
/// A job was started late if its first task was placed after so many percent of the
/// objective.
const STARTED_LATE_PERCENT: u64 = 25;

/// Why a job ended as it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Done within its objective.
    InTime,
    /// Refused when it came: a stopping gateway, no worker, an unknown wish.
    RefusedAtOnce,
    /// Refused after it had waited for room.
    RefusedForRoom,
    /// Refused by a gateway that had no configuration.
    Unconfigured,
    /// Late: a task hung, crawled or failed and was started again.
    Straggler,
    /// Late: a worker or its agent was lost with a task.
    LostWithWorker,
    /// Late: its tasks were started one after the other.
    StartedInPart,
    /// Late: its first task was started late.
    StartedLate,
    /// Late: it was started at once and ran longer than expected.
    RanLong,
    /// A task failed as often as its queue allows.
    Failed,
    /// A task took the workers down that started it.
    TookWorkersDown,
    /// Given up at its caller's deadline.
    GivenUp,
    /// Its caller left first, or cancelled it.
    CallerGone,
    /// Its gateway ended, or the lines of its end are missing.
    GatewayLost,
}

impl Cause {
    /// Its name, as printed.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::RefusedAtOnce => "refused at once",
            Self::RefusedForRoom => "refused for want of room",
            Self::Unconfigured => "refused without configuration",
            Self::Straggler => "late: straggler",
            Self::LostWithWorker => "late: lost with a worker",
            Self::StartedInPart => "late: started in part",
            Self::StartedLate => "late: started late",
            Self::RanLong => "late: ran long",
            Self::Failed => "failed",
            Self::TookWorkersDown => "failed: took workers down",
            Self::GivenUp => "given up",
            Self::CallerGone => "caller gone",
            Self::GatewayLost => "lost with its gateway",
        }
    }

    /// Whether the caller got the result, but late.
    pub fn is_late(self) -> bool {
        matches!(
            self,
            Self::Straggler
                | Self::LostWithWorker
                | Self::StartedInPart
                | Self::StartedLate
                | Self::RanLong
        )
    }

    /// Whether the caller was told that nothing has run.
    pub fn is_refusal(self) -> bool {
        matches!(
            self,
            Self::RefusedAtOnce | Self::RefusedForRoom | Self::Unconfigured
        )
    }
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// When, as the gateway wrote it.
    pub time: String,
    /// Its queue.
    pub queue: String,
    /// Its size among the jobs of its queue.
    pub size: String,
    /// Why.
    pub cause: Cause,
    /// How long the gateway had it, in milliseconds.
    pub held_millis: u64,
    /// Its work by the estimates, in core-milliseconds.
    pub work: u64,
}

impl Outcome {
    /// A call that a gateway without a configuration refused.
    pub fn unconfigured(time: &str) -> Self {
        Self {
            time: time.to_owned(),
            queue: "unknown".to_owned(),
            size: "unknown".to_owned(),
            cause: Cause::Unconfigured,
            held_millis: 0,
            work: 0,
        }
    }
}

/// A job of which no end was read yet.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// The gateway that wrote its first line.
    pub gateway: String,
    /// Whether the line of its coming was read.
    pub is_taken: bool,
    first_line: String,
    queue: String,
    first_placed: Option<u64>,
    last_placed: u64,
    has_straggled: bool,
    was_lost: bool,
    took_workers_down: bool,
}

impl OpenJob {
    /// A job whose first line is of `time`.
    pub fn new(gateway: &str, time: &str) -> Self {
        Self {
            gateway: gateway.to_owned(),
            is_taken: false,
            first_line: time.to_owned(),
            queue: "unknown".to_owned(),
            first_placed: None,
            last_placed: 0,
            has_straggled: false,
            was_lost: false,
            took_workers_down: false,
        }
    }

    /// Takes a line in; `true` if it is the first of its coming.
    pub fn take(&mut self, line: &LogLine) -> bool {
        match line.event() {
            Some("taken") => {
                self.queue = line.text("queue").unwrap_or("unknown").to_owned();
                return !std::mem::replace(&mut self.is_taken, true);
            }
            Some("placed") => {
                let age = line.number("age_ms").unwrap_or(0);
                self.first_placed.get_or_insert(age);
                self.last_placed = self.last_placed.max(age);
            }
            Some("came_back") => {
                let how = line.text("how").unwrap_or_default();
                self.was_lost |= how == "Lost";
                self.has_straggled |= ["TooSlow", "Stalled", "Failed"]
                    .iter()
                    .any(|kind| how.starts_with(kind));
            }
            Some("task_suspected") => {
                self.took_workers_down |= line.flag("is_given_up");
            }
            _ => {}
        }
        false
    }

    /// How it ended, by the line of its end.
    pub fn end(&self, line: &LogLine) -> Outcome {
        let held_millis = line.number("age_ms").unwrap_or(0);
        let objective = line.number("objective_ms").unwrap_or(0);
        Outcome {
            time: line.timestamp.clone(),
            queue: line.text("queue").unwrap_or(&self.queue).to_owned(),
            size: line.text("size").unwrap_or("unknown").to_owned(),
            cause: self.cause(line, held_millis, objective),
            held_millis,
            work: line.number("work_core_ms").unwrap_or(0),
        }
    }

    /// It was lost with its gateway, or its end was not written.
    pub fn lost(&self) -> Outcome {
        Outcome {
            time: self.first_line.clone(),
            queue: self.queue.clone(),
            size: "unknown".to_owned(),
            cause: Cause::GatewayLost,
            held_millis: 0,
            work: 0,
        }
    }

    fn cause(&self, line: &LogLine, held_millis: u64, objective: u64) -> Cause {
        let answer = line.text("answer").unwrap_or_default();
        match answer {
            "completed" if held_millis <= objective => Cause::InTime,
            "completed" => self.cause_of_lateness(objective),
            "failed" if self.took_workers_down => Cause::TookWorkersDown,
            "failed" => Cause::Failed,
            "givenup" => Cause::GivenUp,
            _ if answer.starts_with("refused:") && held_millis == 0 => Cause::RefusedAtOnce,
            _ if answer.starts_with("refused:") => Cause::RefusedForRoom,
            _ => Cause::CallerGone,
        }
    }

    fn cause_of_lateness(&self, objective: u64) -> Cause {
        let first = self.first_placed.unwrap_or(0);
        let spread = self.last_placed.saturating_sub(first);
        if self.was_lost {
            Cause::LostWithWorker
        } else if self.has_straggled {
            Cause::Straggler
        } else if spread * 100 > objective * IN_PART_PERCENT {
            Cause::StartedInPart
        } else if first * 100 > objective * STARTED_LATE_PERCENT {
            Cause::StartedLate
        } else {
            Cause::RanLong
        }
    }
}
