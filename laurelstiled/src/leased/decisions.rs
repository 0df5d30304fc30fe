//! Decisions as log lines, at a bounded rate.
//!
//! A line for each decision that touches a request or changes what the process
//! believes. Lines beyond the bound are dropped and counted; the next line
//! that is written tells how many. The ends of jobs have a bound of their own,
//! so that a busy second hides steps before it hides outcomes.

use std::time::{Duration, Instant};

use laurelstile_core::leased::agent::{AgentDecision, IncarnationEnd, LostRun};
use laurelstile_core::leased::gateway::on_time_rates::SizeGroup;
use laurelstile_core::leased::gateway::stages::StageTimes;
use laurelstile_core::leased::gateway::{Answer, GatewayDecision};
use metrics::{counter, gauge, histogram};

use super::ports::HeartbeatError;
use crate::telemetry::{
    CAME_BACK, CONTAINED_QUEUES, EVACUATED_ZONES, HEARTBEATS_IGNORED, JOB_SECONDS,
    JOB_STAGE_SECONDS, JOBS_ANSWERED, KNOWN_GATEWAYS, OFFERS, OFFERS_EXPIRED, ROOM_AGED,
    RUN_TIME_RATIO, RUNS_ENDED, RUNS_STOPPED, SILENT_NEIGHBORS, STARTS_HELD, STOPS_UNANSWERED,
    TASKS_SUSPECTED, WORKER_CRASHES, WORKER_SILENT,
};

/// Most lines of steps in a period.
const STEPS: u32 = 400;
/// Most lines of outcomes in a period.
const OUTCOMES: u32 = 600;
/// Most runs that the line of a dead worker names: a line has a bounded length, and a task
/// that kills its worker is among the youngest.
const LOST_RUNS_NAMED: usize = 40;
/// That period.
const PERIOD: Duration = Duration::from_secs(1);

/// Writes decisions to the log.
#[derive(Debug, Default)]
pub struct DecisionLog {
    began: Option<Instant>,
    steps: u32,
    outcomes: u32,
    dropped: u64,
}

impl DecisionLog {
    /// A decision of a gateway.
    pub fn gateway(&mut self, decision: &GatewayDecision) {
        count_gateway(decision);
        if is_counted_only(decision) {
            return;
        }
        let is_outcome = matches!(
            decision,
            GatewayDecision::Answered { .. }
                | GatewayDecision::Abandoned { .. }
                | GatewayDecision::Suspected { .. }
                | GatewayDecision::Contained { .. }
                | GatewayDecision::Evacuated(_)
                | GatewayDecision::Neighbors(_)
        );
        if !self.admits(is_outcome) {
            return;
        }
        match decision {
            GatewayDecision::OfferAnswered { .. } | GatewayDecision::StepDone { .. } => {}
            GatewayDecision::Admitted {
                job,
                queue,
                tasks,
                objective,
                version,
            } => {
                log::info!(event = "taken", job:% = job, queue = queue.name.as_str(), tasks = tasks, objective_ms = objective.as_millis(), configuration = version; "");
            }
            GatewayDecision::Placed {
                job,
                agent,
                tasks,
                report_age,
                age,
            } => {
                log::info!(event = "placed", job:% = job, agent = agent.as_str(), tasks = tasks, report_age_ms = report_age.as_millis(), age_ms = age.as_millis(); "");
            }
            GatewayDecision::TaskReturned {
                run,
                agent,
                how,
                source,
            } => {
                log::info!(event = "came_back", task:% = run.task, run = run.run.0, agent = agent.as_str(), how:? = how, source = source.name(); "");
            }
            GatewayDecision::Answered {
                job,
                queue,
                answer,
                age,
                objective,
                size,
                work,
                stages,
            } => {
                let answer = answer_name(answer);
                let size = size.map_or("unknown", SizeGroup::name);
                log::info!(event = "answered", job:% = job, queue = queue.name.as_str(), answer = answer.as_str(), age_ms = age.as_millis(), objective_ms = objective.as_millis(), size = size, work_core_ms = *work, way_in_ms = stages.ingress_delay.as_millis(), waiting_ms = stages.waiting.as_millis(); "");
            }
            GatewayDecision::Evacuated(evacuations) => {
                let zones: Vec<&str> = evacuations.zones.iter().map(String::as_str).collect();
                log::info!(event = "zones_evacuated", zones = zones.join(","), revision = evacuations.revision; "");
            }
            GatewayDecision::Suspected {
                task,
                is_given_up,
                workers,
            } => {
                let (crashes, workers) = (workers.len(), workers.join(" "));
                log::warn!(event = "task_suspected", task:% = task, is_given_up = *is_given_up, crashes = crashes, workers = workers.as_str(); "workers have crashed under it");
            }
            GatewayDecision::Contained {
                queue,
                is_contained,
            } => {
                log::warn!(event = "queue_contained", queue = queue.as_str(), is_contained = *is_contained; "tasks of it take workers down");
            }
            GatewayDecision::Neighbors(view) => {
                log::info!(event = "neighbors", known = view.known, wanted = view.wanted, answering = view.answering, directory:% = view.directory; "");
            }
            GatewayDecision::Abandoned { job, age } => {
                log::info!(event = "abandoned", job:% = job, age_ms = age.as_millis(); "");
            }
            GatewayDecision::AgentExpired {
                agent,
                tasks,
                silence,
            } => {
                log::warn!(event = "agent_lapsed", agent = agent.as_str(), tasks = tasks, silence_ms = silence.as_millis(); "");
            }
        }
    }

    /// A decision of an agent.
    pub fn agent(&mut self, decision: &AgentDecision) {
        count_agent(decision);
        if matches!(decision, AgentDecision::OfferExpired) {
            return;
        }
        let is_step = matches!(
            decision,
            AgentDecision::Stopping { .. } | AgentDecision::Ended { .. }
        );
        if !self.admits(!is_step) {
            return;
        }
        match decision {
            AgentDecision::OfferExpired => {}
            AgentDecision::ControlTaken { incarnation, token } => {
                log::info!(event = "worker_in_control", life:% = incarnation, token = token.0; "");
            }
            AgentDecision::IncarnationStarted {
                incarnation,
                source,
                draining,
            } => {
                log::info!(event = "worker_life_began", life:% = incarnation, source = source.name(), draining = *draining; "");
            }
            AgentDecision::HeartbeatIgnored {
                incarnation,
                reason,
                draining,
                sequence,
            } => {
                log::warn!(event = "heartbeat_ignored", life:% = incarnation, reason = reason.name(), draining = *draining, sequence = *sequence; "answered, and not heeded");
            }
            AgentDecision::StartHeld { run } => {
                log::warn!(event = "start_held", task:% = run.task, run = run.run.0; "the worker's next life may yet carry it out");
            }
            AgentDecision::LateDeregistration { incarnation } => {
                log::warn!(event = "late_deregistration", life:% = incarnation; "it was that of an earlier life: this one goes on");
            }
            AgentDecision::CapacityStale { incarnation } => {
                log::warn!(event = "worker_room_aged", life:% = incarnation; "the worker has not been heard for long: nothing starts there until it is");
            }
            AgentDecision::LateHeartbeat {
                incarnation,
                current,
            } => {
                log::warn!(event = "late_heartbeat", life:% = incarnation, present:% = current; "a heartbeat of an ended life came; it is ignored");
            }
            AgentDecision::SessionSilent { gateway, silence } => {
                log::warn!(event = "session_silent", gateway:% = gateway, silence_ms = silence.as_millis(); "closed, to be dialed anew");
            }
            AgentDecision::SessionResumed {
                gateway,
                silence,
                runs,
            } => {
                log::info!(event = "session_resumed", gateway:% = gateway, silence_ms = silence.as_millis(), runs = *runs; "its runs go on");
            }
            AgentDecision::StopUnanswered {
                run,
                reason,
                age,
                stops,
            } => {
                log::warn!(event = "stop_unanswered", task:% = run.task, run = run.run.0, reason = *reason, age_ms = age.as_millis(), stops = *stops; "the worker does not answer its stop");
            }
            AgentDecision::IncarnationEnded {
                incarnation,
                end,
                runs,
            } => {
                let tasks = names_of(runs);
                log::warn!(event = "worker_life_over", life:% = incarnation, end = end.name(), runs = runs.len(), tasks = tasks.as_str(); "");
            }
            AgentDecision::CapacityChanged {
                incarnation,
                before,
                now,
            } => {
                log::info!(event = "worker_capacity_changed", life:% = incarnation, before_cpu_millis = before.cpu_millis, cpu_millis = now.cpu_millis, memory_mib = now.memory_mib, gpus = now.gpus; "");
            }
            AgentDecision::Draining { incarnation } => {
                log::info!(event = "worker_draining", life:% = incarnation; "");
            }
            AgentDecision::Evacuated {
                is_evacuated,
                revision,
            } => {
                log::info!(event = "worker_evacuated", is_evacuated = *is_evacuated, revision = *revision; "");
            }
            AgentDecision::WorkerSilent { incarnation } => {
                log::warn!(event = "worker_silent", life:% = incarnation; "");
            }
            AgentDecision::Stopping {
                run,
                reason,
                echo_age,
                percent,
            } => {
                log::info!(event = "stopping_run", task:% = run.task, run = run.run.0, reason = *reason, echo_age_ms = echo_age.as_millis(), percent = percent; "");
            }
            AgentDecision::Ended { run, how, proof } => {
                log::info!(event = "run_ended", task:% = run.task, run = run.run.0, how:? = how, proof = proof.name(); "");
            }
        }
    }

    /// A heartbeat that names no worker to use came under this id.
    pub fn heartbeat_set_aside(&mut self, id: &str, error: &HeartbeatError) {
        counter!(HEARTBEATS_IGNORED, "reason" => "unreadable").increment(1);
        if self.admits(true) {
            log::warn!(event = "heartbeat_set_aside", id = id, error:% = error; "it names no worker to use");
        }
    }

    fn admits(&mut self, is_outcome: bool) -> bool {
        let now = Instant::now();
        let is_over = self.began.is_none_or(|began| now - began >= PERIOD);
        if is_over {
            self.began = Some(now);
            self.steps = 0;
            self.outcomes = 0;
            if self.dropped > 0 {
                log::warn!(event = "lines_dropped", count = self.dropped; "");
                self.dropped = 0;
            }
        }
        let (written, most) = if is_outcome {
            (&mut self.outcomes, OUTCOMES)
        } else {
            (&mut self.steps, STEPS)
        };
        *written += 1;
        let is_admitted = *written <= most;
        self.dropped += u64::from(!is_admitted);
        is_admitted
    }
}

/// Whether a decision is too frequent, and says too little of a job, for the log.
fn is_counted_only(decision: &GatewayDecision) -> bool {
    matches!(
        decision,
        GatewayDecision::OfferAnswered { .. } | GatewayDecision::StepDone { .. }
    )
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
fn count_gateway(decision: &GatewayDecision) {
    match decision {
        GatewayDecision::Answered {
            queue,
            answer,
            age,
            objective,
            size,
            stages,
            ..
        } => {
            count_stages(&queue.name, stages);
            let outcome = match answer {
                Answer::Completed if age <= objective => "in_time",
                Answer::Completed => "late",
                Answer::Refused { .. } => "refused",
                _ => "other",
            };
            let size = size.map_or("unknown", SizeGroup::name);
            let name = queue.name.clone();
            counter!(JOBS_ANSWERED, "queue" => name, "size" => size, "outcome" => outcome)
                .increment(1);
            let labels = [
                ("queue", queue.name.clone()),
                ("answer", answer_name(answer)),
            ];
            histogram!(JOB_SECONDS, &labels).record(Duration::from_micros(age.0));
        }
        GatewayDecision::OfferAnswered { is_used } => {
            let outcome = if *is_used { "used" } else { "declined" };
            counter!(OFFERS, "outcome" => outcome).increment(1);
        }
        GatewayDecision::StepDone {
            queue,
            expected,
            longest,
        } => {
            let ratio = longest.0 as f64 / expected.0.max(1) as f64;
            histogram!(RUN_TIME_RATIO, "queue" => queue.name.clone()).record(ratio);
        }
        GatewayDecision::Evacuated(evacuations) => {
            gauge!(EVACUATED_ZONES).set(evacuations.zones.len() as f64);
        }
        GatewayDecision::Neighbors(view) => {
            gauge!(KNOWN_GATEWAYS).set(view.known as f64);
            gauge!(SILENT_NEIGHBORS).set((view.wanted - view.answering) as f64);
        }
        GatewayDecision::Contained { is_contained, .. } => {
            let change = if *is_contained { 1.0 } else { -1.0 };
            gauge!(CONTAINED_QUEUES).increment(change);
        }
        GatewayDecision::Suspected { is_given_up, .. } => {
            let standing = if *is_given_up { "given_up" } else { "alone" };
            counter!(TASKS_SUSPECTED, "standing" => standing).increment(1);
        }
        GatewayDecision::TaskReturned { how, .. } => {
            counter!(CAME_BACK, "how" => how.name()).increment(1);
        }
        _ => {}
    }
}

fn count_stages(queue: &str, stages: &StageTimes) {
    let spans = [
        ("way_in", stages.ingress_delay),
        ("waiting", stages.waiting),
        ("working", stages.working),
    ];
    for (stage, span) in spans {
        let labels = [("queue", queue.to_owned()), ("stage", stage.to_owned())];
        histogram!(JOB_STAGE_SECONDS, &labels).record(Duration::from_micros(span.0));
    }
}

fn count_agent(decision: &AgentDecision) {
    match decision {
        AgentDecision::Ended { how, proof, .. } => {
            counter!(RUNS_ENDED, "how" => how.name(), "proof" => proof.name()).increment(1);
        }
        AgentDecision::Stopping { reason, .. } => {
            counter!(RUNS_STOPPED, "reason" => *reason).increment(1);
        }
        AgentDecision::OfferExpired => counter!(OFFERS_EXPIRED).increment(1),
        AgentDecision::StopUnanswered { reason, .. } => {
            counter!(STOPS_UNANSWERED, "reason" => *reason).increment(1);
        }
        AgentDecision::WorkerSilent { .. } => counter!(WORKER_SILENT).increment(1),
        AgentDecision::CapacityStale { .. } => counter!(ROOM_AGED).increment(1),
        AgentDecision::HeartbeatIgnored { reason, .. } => {
            counter!(HEARTBEATS_IGNORED, "reason" => reason.name()).increment(1);
        }
        AgentDecision::IncarnationEnded {
            end: IncarnationEnd::Crashed | IncarnationEnd::Superseded | IncarnationEnd::Restarted,
            ..
        } => counter!(WORKER_CRASHES).increment(1),
        AgentDecision::StartHeld { .. } => counter!(STARTS_HELD).increment(1),
        _ => {}
    }
}

/// The runs that ended with a worker, each with its number and its age, the youngest first:
/// a task that takes its worker down is among them.
fn names_of(runs: &[LostRun]) -> String {
    let mut runs = runs.to_vec();
    runs.sort_unstable_by_key(|lost| lost.age);
    let names = runs.iter().take(LOST_RUNS_NAMED).map(|lost| {
        let (run, age) = (lost.run, lost.age.as_millis());
        format!("{}/{}@{age}ms", run.task, run.run.0)
    });
    names.collect::<Vec<_>>().join(" ")
}

fn answer_name(answer: &Answer) -> String {
    match answer {
        Answer::Refused { reason, .. } => format!("refused:{reason:?}"),
        other => format!("{other:?}").to_lowercase(),
    }
}
