//! Metrics: names, buckets and the Prometheus rendering.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::error::DaemonError;

/// Answers and failures, with their time since the submission came; labels
/// `service`, `class`, `tenant`, `outcome`.
pub const RESPONSE_SECONDS: &str = "laurelstile_response_seconds";
/// Run time of tasks at the back end; labels `service`, `class`.
pub const TASK_SECONDS: &str = "laurelstile_task_seconds";
/// Messages sent to other laurelstile processes; label `kind`.
pub const MESSAGES: &str = "laurelstile_messages_sent_total";
/// Task starts at this agent.
pub const STARTS: &str = "laurelstile_task_starts_total";
/// Dispatches that this agent did not start; label `reason`.
pub const NOT_STARTED: &str = "laurelstile_not_started_total";
/// Results that came for jobs that were over.
pub const LATE_RESULTS: &str = "laurelstile_late_results";
/// Sessions that failed or were refused; labels `kind`, `side`.
pub const SESSION_ERRORS: &str = "laurelstile_session_errors_total";
/// Revision of the configuration in force.
pub const REVISION: &str = "laurelstile_revision";
/// Submissions that wait for their answer.
pub const SUBMISSIONS: &str = "laurelstile_submissions";
/// Tasks in this gateway's queues.
pub const QUEUED_TASKS: &str = "laurelstile_queued_tasks";
/// Failed exchanges with the platform; label `call`.
pub const PLATFORM_ERRORS: &str = "laurelstile_platform_errors_total";

/// Calls refused by a gateway that has no configuration yet.
pub const REFUSED_UNCONFIGURED: &str = "laurelstile_refused_unconfigured_total";
/// Log lines that nobody read in time.
pub const LOG_LINES_DROPPED: &str = "laurelstile_log_lines_dropped_total";
/// Jobs of leased workers that were answered, by time since they came; labels
/// `queue`, `answer`.
pub const JOB_SECONDS: &str = "laurelstile_job_seconds";
/// Where the time of those jobs went; labels `queue`, `stage` (`way_in`: before the
/// gateway saw it; `waiting`: until its first task was sent out; `working`: from then on).
pub const JOB_STAGE_SECONDS: &str = "laurelstile_job_stage_seconds";
/// Jobs of leased workers that were answered; labels `queue`, `size`, `outcome`
/// (`in_time`, `late`, `refused`, `other`).
pub const JOBS_ANSWERED: &str = "laurelstile_jobs_answered_total";
/// Zones that are evacuated, as this gateway knows it.
pub const EVACUATED_ZONES: &str = "laurelstile_evacuated_zones";
/// Gateways that a gateway knows, itself among them.
pub const KNOWN_GATEWAYS: &str = "laurelstile_known_gateways";
/// Gateways to which a gateway wants sessions and has none.
pub const SILENT_NEIGHBORS: &str = "laurelstile_silent_neighbors";
/// Offers of room that this gateway answered; label `outcome` (`used`, `declined`).
pub const OFFERS: &str = "laurelstile_offers_total";
/// Offers of room that no gateway answered in time, at this agent.
pub const OFFERS_EXPIRED: &str = "laurelstile_offers_expired_total";
/// Run time of a step's slowest task over what was expected; label `queue`.
pub const RUN_TIME_RATIO: &str = "laurelstile_run_time_ratio";
/// Tasks that came back from an agent without being done; label `how`.
pub const CAME_BACK: &str = "laurelstile_tasks_came_back_total";
/// Runs that ended otherwise than done at this agent; labels `how` and `proof`.
pub const RUNS_ENDED: &str = "laurelstile_runs_ended_total";
/// Runs that this agent stopped for a reason of its own; label `reason`.
pub const RUNS_STOPPED: &str = "laurelstile_runs_stopped_total";
/// Stops that a worker did not answer for longer than a stop may take; label `reason`.
pub const STOPS_UNANSWERED: &str = "laurelstile_stops_unanswered_total";
/// Tasks under which several workers have crashed; label `standing` (`alone`: to be run
/// alone; `given_up`).
pub const TASKS_SUSPECTED: &str = "laurelstile_tasks_suspected_total";
/// Queues that are kept to a part of the workers, at this gateway.
pub const CONTAINED_QUEUES: &str = "laurelstile_contained_queues";
/// Lives of the worker that ended without its word.
pub const WORKER_CRASHES: &str = "laurelstile_worker_crashes_total";
/// Heartbeats of the worker that were answered and not heeded; label `reason`.
pub const HEARTBEATS_IGNORED: &str = "laurelstile_heartbeats_ignored_total";
/// Starts without an answer that the worker's next life might carry out.
pub const STARTS_HELD: &str = "laurelstile_starts_held_total";
/// Times that nothing was started any more because the worker had not been heard for long.
pub const ROOM_AGED: &str = "laurelstile_worker_room_aged_total";
/// Times that the worker did not answer.
pub const WORKER_SILENT: &str = "laurelstile_worker_silent_total";

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

/// Installs the recorder of this process.
///
/// # Errors
/// [`DaemonError::Metrics`].
pub fn install() -> Result<PrometheusHandle, DaemonError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .map_err(DaemonError::Metrics)?
        .install_recorder()
        .map_err(DaemonError::Metrics)
}
