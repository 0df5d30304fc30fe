//! Names of the metrics, histogram buckets, and the Prometheus recorder.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::error::DaemonError;

/// Time from the arrival of a submission to its answer or failure; labels `service`, `class`,
/// `tenant`, `outcome`.
pub const RESPONSE_SECONDS: &str = "laurelstile_response_seconds";
/// Run time of tasks at the back end.
pub const TASK_SECONDS: &str = "laurelstile_task_seconds";
/// Messages sent to other processes; label `kind`.
pub const MESSAGES_SENT: &str = "laurelstile_messages_sent_total";
/// Tasks started by this agent.
pub const TASK_STARTS: &str = "laurelstile_task_starts_total";
/// Dispatches that this agent did not start; label `reason`.
pub const NOT_STARTED: &str = "laurelstile_not_started_total";
/// Results received for jobs that had already ended.
pub const LATE_RESULTS: &str = "laurelstile_late_results";
/// Sessions that failed or were refused; labels `kind`, `side` (role of the remote process:
/// `agent`, `peer` or `gateway`; always `gateway` with leased workers).
pub const SESSION_ERRORS: &str = "laurelstile_session_errors_total";
/// Revision of the configuration in force.
pub const REVISION: &str = "laurelstile_revision";
/// Submissions not yet answered.
pub const SUBMISSIONS: &str = "laurelstile_submissions";
/// Tasks in this gateway's queues.
pub const QUEUED_TASKS: &str = "laurelstile_queued_tasks";
/// Failed calls to the platform; label `call`.
pub const PLATFORM_ERRORS: &str = "laurelstile_platform_errors_total";

/// Calls refused by a gateway that has no configuration yet.
pub const REFUSED_UNCONFIGURED: &str = "laurelstile_refused_unconfigured_total";
/// Log lines dropped because standard output would have blocked.
pub const LOG_LINES_DROPPED: &str = "laurelstile_log_lines_dropped_total";
/// Time from the arrival of a job of leased workers to its answer; labels `queue`, `answer`.
pub const JOB_SECONDS: &str = "laurelstile_job_seconds";
/// Time of answered jobs of leased workers by stage; labels `queue`, `stage` (`way_in`: before the
/// gateway received the job; `waiting`: until its first task was dispatched; `working`: from then
/// on).
pub const JOB_STAGE_SECONDS: &str = "laurelstile_job_stage_seconds";
/// Answered jobs of leased workers; labels `queue`, `size`, `outcome` (`in_time`, `late`,
/// `refused`, `other`).
pub const JOBS_ANSWERED: &str = "laurelstile_jobs_answered_total";
/// Cancellations that a gateway has answered; label `outcome`. Those `unconfirmed` and `not_recorded` were
/// not acknowledged.
pub const CANCELS_ANSWERED: &str = "laurelstile_cancels_answered_total";
/// Cancellations that an agent did not record, since too many are retained.
pub const CANCELS_NOT_RECORDED: &str = "laurelstile_cancels_not_recorded_total";
/// Jobs refused for lack of capacity while the policy for admission is on; labels `queue`, `cause`
/// (`forecast`, `accepted_share`: rejected at once; `wait`: nothing of it was placed within its time).
pub const JOBS_REFUSED_FOR_CAPACITY: &str = "laurelstile_jobs_refused_for_capacity_total";
/// `Retry-After` of jobs refused for lack of capacity, before it is rounded up to whole seconds;
/// label `queue`.
pub const RETRY_AFTER_SECONDS: &str = "laurelstile_retry_after_seconds";
/// Estimated work of a queue's unstarted jobs at this gateway, in core-seconds; label `queue`.
pub const BACKLOG_CORE_SECONDS: &str = "laurelstile_backlog_core_seconds";
/// Rate at which this gateway places a queue's backlog, in cores; 0 if it is not known; label
/// `queue`.
pub const DRAIN_RATE_CORES: &str = "laurelstile_drain_rate_cores";
/// Number of evacuated zones known to this gateway.
pub const EVACUATED_ZONES: &str = "laurelstile_evacuated_zones";
/// Cores of a service's workers that drain, are in an evacuated zone or cannot be reached, as this
/// gateway knows them; label `service`.
pub const DEPARTING_CORES: &str = "laurelstile_departing_cores";
/// Number of gateways known to this gateway, including itself.
pub const KNOWN_GATEWAYS: &str = "laurelstile_known_gateways";
/// Number of gateways that this gateway should have a session to but has not.
pub const MISSING_SESSIONS: &str = "laurelstile_silent_neighbors";
/// Offers of free resources that this gateway answered; label `outcome` (`used`, `declined`).
pub const OFFERS: &str = "laurelstile_offers_total";
/// Tasks that were not started because the worker's incarnation, service or labels had changed since the
/// gateway chose it.
pub const STARTS_OUTDATED: &str = "laurelstile_starts_outdated_total";
/// Offers of this agent that no gateway answered in time.
pub const OFFERS_EXPIRED: &str = "laurelstile_offers_expired_total";
/// Ratio of the run time of a step's slowest task to the expected one; label `queue`.
pub const RUN_TIME_RATIO: &str = "laurelstile_run_time_ratio";
/// Tasks of steps with data that were placed, with the `locality` policy on; labels `queue`, `place`
/// (`near`: the worker has the label near the data; `remote`: it lacks it).
pub const DATA_TASKS_PLACED: &str = "laurelstile_data_tasks_placed_total";
/// Steps that passed over free workers far from their data to wait for one near it; labels `queue`,
/// `place` (of the worker that got the last tasks: `near`, `remote`).
pub const NEAR_WAITS: &str = "laurelstile_near_waits_total";
/// Tasks that ended at an agent without being completed; label `how`.
pub const TASKS_RETURNED: &str = "laurelstile_tasks_came_back_total";
/// Releases of jobs that a gateway has requested from other holders; label `step` (`requested`;
/// `confirmed`: the holder's runs have ended; `timed_out`: the holder has not confirmed in time;
/// `confirmed_late`: it has afterwards).
pub const RELEASES: &str = "laurelstile_releases_total";
/// Jobs that a gateway has given up since their callers have resubmitted them to other gateways.
pub const JOBS_GIVEN_UP_TO_PEERS: &str = "laurelstile_jobs_given_up_to_peers_total";
/// Jobs that gateways have claimed, as their callers may soon resubmit them; label `direction` (`sent`:
/// claims of this gateway; `received`: of others, each counted once).
pub const CLAIMS: &str = "laurelstile_claims_total";
/// Claims that not all other gateways confirmed in time, so that agents were asked.
pub const CLAIMS_SENT_TO_AGENTS: &str = "laurelstile_claims_sent_to_agents_total";
/// Jobs that a gateway has ended because nobody confirmed that only it may start them.
pub const CLAIMS_UNCONFIRMED: &str = "laurelstile_claims_unconfirmed_total";
/// Runs that a gateway considers ended although their agent has not reported their ends; label
/// `evidence`.
pub const RUNS_LOST: &str = "laurelstile_runs_lost_total";
/// Runs at this agent that were not started, or ended without being completed; labels `how`,
/// `proof`.
pub const RUNS_ENDED: &str = "laurelstile_runs_ended_total";
/// Runs that this agent stopped on its own decision; label `reason`.
pub const RUNS_STOPPED: &str = "laurelstile_runs_stopped_total";
/// Tasks whose runs were stopped for a task of another queue; label `queue`, their own one.
pub const TASKS_PREEMPTED: &str = "laurelstile_tasks_preempted_total";
/// Processing time that this agent has discarded by preemption, in core-milliseconds.
pub const PREEMPTED_CORE_MILLIS: &str = "laurelstile_preempted_core_milliseconds_total";
/// Time remaining when the worker first stated when it leaves, or stated an earlier time.
pub const DEPARTURE_NOTICE_SECONDS: &str = "laurelstile_departure_notice_seconds";
/// Runs that this agent stopped since they could not end before the worker leaves, so that they are
/// placed elsewhere.
pub const RUNS_MOVED: &str = "laurelstile_runs_moved_total";
/// Stops that the worker did not acknowledge in time; label `reason`.
pub const STOPS_UNANSWERED: &str = "laurelstile_stops_unanswered_total";
/// Tasks during which several workers crashed; label `standing` (`alone`: run without other tasks
/// from now on; `given_up`: not run again).
pub const TASKS_SUSPECTED: &str = "laurelstile_tasks_suspected_total";
/// Number of queues that this gateway restricts to some of the workers, since their tasks crash
/// workers.
pub const CONTAINED_QUEUES: &str = "laurelstile_contained_queues";
/// Whether a queue is above its fair share of its service's capacity while jobs wait (1) or within it
/// (0), as this gateway knows; label `queue`.
pub const QUEUE_CONTENDING: &str = "laurelstile_queue_contending";
/// Fair share of a queue under contention, in cores, and 0 otherwise; label `queue`.
pub const QUEUE_FAIR_SHARE: &str = "laurelstile_queue_fair_share_cores";
/// Cores that a queue's tasks take (`state` `running`) and wait for (`waiting`) under contention, at all
/// gateways; labels `queue`, `state`.
pub const QUEUE_DEMAND: &str = "laurelstile_queue_demand_cores";
/// Version of the configuration in force at the gateway.
pub const CONFIGURATION_VERSION: &str = "laurelstile_configuration_version";
/// Versions of the configuration that were put in force with wrong values clamped.
pub const CONFIGURATIONS_CLAMPED: &str = "laurelstile_configurations_clamped_total";
/// Incarnations of the worker that crashed, restarted under the same id or were superseded by a
/// worker with another id.
pub const WORKER_CRASHES: &str = "laurelstile_worker_crashes_total";
/// Entries of other writers that cannot be read and were left out; label `kind`. An entry counts each
/// time that it is read.
pub const ENTRIES_SET_ASIDE: &str = "laurelstile_entries_set_aside_total";
/// Heartbeats of the worker that were not used; label `reason`.
pub const HEARTBEATS_IGNORED: &str = "laurelstile_heartbeats_ignored_total";
/// Unanswered starts held back because the worker's next incarnation might still execute them.
pub const STARTS_HELD: &str = "laurelstile_starts_held_total";
/// Number of times that starts were suspended because the worker's heartbeats were missing.
pub const CAPACITY_STALE: &str = "laurelstile_worker_room_aged_total";
/// Number of times that the worker stopped answering.
pub const WORKER_UNRESPONSIVE: &str = "laurelstile_worker_silent_total";
/// Request bodies that were not read to their end; label `reason` (`memory`: the budget was used up;
/// `displaced`: the body gave way to another; `too_slow`, `too_large`, `incomplete`).
pub const BODIES_REFUSED: &str = "laurelstile_bodies_refused_total";
/// Memory that is reserved for request bodies, in bytes.
pub const BODY_BYTES: &str = "laurelstile_body_bytes";
/// Memory that may be reserved for request bodies, in bytes.
pub const BODY_BYTES_LIMIT: &str = "laurelstile_body_bytes_limit";
/// Open connections; label `listener` (`front`, `ready`, `control`, `metrics`).
pub const CONNECTIONS: &str = "laurelstile_connections";
/// Largest number of open connections; label `listener`.
pub const CONNECTIONS_LIMIT: &str = "laurelstile_connections_limit";
/// Connections that were closed while they waited for their client, or refused; labels `listener`,
/// `reason` (`displaced`: for another one; `head_timeout`; `refused`: all others had calls in progress).
pub const CONNECTIONS_CLOSED: &str = "laurelstile_connections_closed_total";
/// Connections to the session address that gave way to later ones before they had said who they are.
pub const HANDSHAKES_DISPLACED: &str = "laurelstile_handshakes_displaced_total";

/// Upper bounds of the buckets of all histograms: seconds, or the ratio of [`RUN_TIME_RATIO`].
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

/// Installs the metrics recorder of this process.
///
/// # Errors
/// [`DaemonError::Metrics`] if a recorder is installed already.
pub fn install() -> Result<PrometheusHandle, DaemonError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .map_err(DaemonError::Metrics)?
        .install_recorder()
        .map_err(DaemonError::Metrics)
}
