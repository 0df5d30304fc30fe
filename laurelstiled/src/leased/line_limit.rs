//! Limits of log lines, one for each class of lines, so that frequent lines cannot use up the limit of
//! those that an investigation relies on.

use std::time::{Duration, Instant};

use laurelstile_core::leased::agent::AgentDecision;
use laurelstile_core::leased::gateway::{EndSource, GatewayDecision};
use laurelstile_core::leased::messages::{EndKind, NotStartedReason};
use laurelstile_core::leased::timing::CALLER_RETRY_DELAY;

/// Period after which the counts of lines start again from zero.
const PERIOD: Duration = Duration::from_secs(1);
/// Number of classes.
const CLASSES: usize = 5;

/// Class of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// An intermediate step of a job or run.
    Step,
    /// An outcome, or a change of the process's view.
    Outcome,
    /// A run that may overlap with another of its task, or evidence that it does not.
    Overlap,
    /// An agent that has expired, or the end of a run that its agent has not reported. A gateway that is
    /// cut off from its agents has many.
    Expiry,
    /// A placement of a job whose caller may have resubmitted it.
    LatePlacement,
}

impl LineClass {
    /// Maximum number of lines per period.
    fn limit(self) -> u32 {
        match self {
            Self::Step => 400,
            Self::Outcome => 600,
            Self::Overlap | Self::Expiry => 300,
            // In overload most placements are late.
            Self::LatePlacement => 100,
        }
    }
}

/// Counts the lines of each class in the current period.
#[derive(Debug, Default)]
pub struct LineLimit {
    period_start: Option<Instant>,
    lines: [u32; CLASSES],
    dropped: [u64; CLASSES],
}

impl LineLimit {
    /// Counts a line; returns whether it is within the limit of its class. Logs the lines that were
    /// dropped in earlier periods.
    pub fn admit(&mut self, class: LineClass) -> bool {
        let now = Instant::now();
        let is_period_over = self.period_start.is_none_or(|start| now - start >= PERIOD);
        if is_period_over {
            self.period_start = Some(now);
            self.lines = [0; CLASSES];
            self.log_dropped();
        }
        let lines = &mut self.lines[class as usize];
        *lines += 1;
        let is_admitted = *lines <= class.limit();
        self.dropped[class as usize] += u64::from(!is_admitted);
        is_admitted
    }

    fn log_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        let count: u64 = dropped.iter().sum();
        if count == 0 {
            return;
        }
        let of_class = |class: LineClass| dropped[class as usize];
        log::warn!(event = "lines_dropped", count = count, steps = of_class(LineClass::Step), outcomes = of_class(LineClass::Outcome), overlaps = of_class(LineClass::Overlap), expiries = of_class(LineClass::Expiry), late_placements = of_class(LineClass::LatePlacement); "");
    }
}

/// The class of a gateway's line.
pub fn class_of_gateway_decision(decision: &GatewayDecision) -> LineClass {
    match decision {
        GatewayDecision::Claimed { .. }
        | GatewayDecision::ReleaseRequested { .. }
        | GatewayDecision::ReleaseConfirmed { .. }
        | GatewayDecision::ReleaseTimedOut { .. }
        | GatewayDecision::ClaimUnconfirmed { .. }
        | GatewayDecision::ClaimSentToAgents { .. }
        | GatewayDecision::ReleasedToPeer { .. }
        | GatewayDecision::EarlierRunsPending { .. }
        | GatewayDecision::RunsLost { .. }
        | GatewayDecision::LateHandshake { .. } => LineClass::Overlap,
        GatewayDecision::TaskReturned { how, .. } if is_rejected_as_second_run(*how) => {
            LineClass::Overlap
        }
        GatewayDecision::AgentExpired { .. } => LineClass::Expiry,
        GatewayDecision::TaskReturned { source, .. } if *source != EndSource::Agent => {
            LineClass::Expiry
        }
        GatewayDecision::Placed { age, .. } if *age >= CALLER_RETRY_DELAY => {
            LineClass::LatePlacement
        }
        GatewayDecision::Answered { .. }
        | GatewayDecision::Abandoned { .. }
        | GatewayDecision::CancelAnswered { .. }
        | GatewayDecision::Suspected { .. }
        | GatewayDecision::Contained { .. }
        | GatewayDecision::QueueShare { .. }
        | GatewayDecision::ConfigurationClamped { .. }
        | GatewayDecision::Evacuated(_)
        | GatewayDecision::CapacityDeparting { .. }
        | GatewayDecision::Neighbors(_)
        | GatewayDecision::SessionAccepted { .. }
        | GatewayDecision::RefusedForCapacity { .. }
        | GatewayDecision::QueueForecast { .. } => LineClass::Outcome,
        GatewayDecision::Admitted { .. }
        | GatewayDecision::Placed { .. }
        | GatewayDecision::TaskReturned { .. }
        | GatewayDecision::TaskPreempted { .. }
        | GatewayDecision::DataPlaced { .. }
        | GatewayDecision::WaitedForNear { .. }
        | GatewayDecision::OfferAnswered { .. }
        | GatewayDecision::ClaimsReceived { .. }
        | GatewayDecision::StepDone { .. } => LineClass::Step,
    }
}

/// The class of an agent's line.
pub fn class_of_agent_decision(decision: &AgentDecision) -> LineClass {
    match decision {
        AgentDecision::Stopping { reason, .. } if is_stop_of_orphan(reason) => LineClass::Overlap,
        AgentDecision::Ended { how, .. }
            if matches!(how, EndKind::Stopped | EndKind::Lost)
                || is_rejected_as_second_run(*how) =>
        {
            LineClass::Overlap
        }
        AgentDecision::StartOfClaimedJob { .. }
        | AgentDecision::StopUnanswered { .. }
        | AgentDecision::StartHeld { .. }
        | AgentDecision::SessionSilent { .. }
        | AgentDecision::SessionResumed { .. }
        | AgentDecision::IncarnationEnded { .. } => LineClass::Overlap,
        AgentDecision::Stopping { .. }
        | AgentDecision::Preempting { .. }
        | AgentDecision::StartOutdated { .. }
        | AgentDecision::Ended { .. } => LineClass::Step,
        _ => LineClass::Outcome,
    }
}

/// Whether an agent did not start a run because it has had another of its task.
fn is_rejected_as_second_run(how: EndKind) -> bool {
    matches!(
        how,
        EndKind::NotStarted(
            NotStartedReason::Duplicate | NotStartedReason::OldRun | NotStartedReason::Claimed
        )
    )
}

/// Whether a run is stopped because its gateway, its start or its worker's process is in doubt.
fn is_stop_of_orphan(reason: &str) -> bool {
    matches!(reason, "owner_silent" | "unanswered" | "life_changed")
}
