//! Messages to gateways, the end of a graceful shutdown, and timers.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::cancel_log::CancelList;
use super::super::messages::{FromAgent, FromAgentBody, Notice, Report, Snapshot};
use super::super::task::TaskId;
use super::super::timing::{BUSY_HEARTBEAT_INTERVAL, BUSY_LINGER, IDLE_HEARTBEAT_INTERVAL};
use super::description::SentDescription;
use super::owner::Owner;
use super::run_table::{RunState, StopReason};
use super::worker_state::WorkerState;
use super::{AgentEffect, LeasedAgent};
use crate::session::SessionId;

/// How long a graceful shutdown waits for the last ends of runs to be acknowledged.
const FINAL_ACK_TIMEOUT: Span = Span::from_millis(400);

impl LeasedAgent {
    /// Sends the messages that are due to each gateway.
    pub(super) fn send_all(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let is_in_control = self
            .worker
            .as_ref()
            .is_some_and(|worker| worker.has_synced && worker.orphans.is_empty());
        let gateways: Vec<Incarnation> = self.sessions.values().copied().collect();
        for gateway in gateways {
            self.send_to(now, gateway, is_in_control, effects);
        }
    }

    /// The current report for a gateway. Also records whether it has more free resources than
    /// the last one sent.
    fn prepare_report(&mut self, now: Timestamp, gateway: Incarnation) -> Option<Report> {
        let report = self.report(now, self.owners.get(&gateway)?);
        self.owners
            .get_mut(&gateway)?
            .track_capacity_growth(now, &report);
        Some(report)
    }

    fn send_to(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        is_in_control: bool,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(report) = self.prepare_report(now, gateway) else {
            return;
        };
        let Some(owner) = self.owners.get(&gateway) else {
            return;
        };
        let Some(session) = owner.session else {
            return;
        };
        let is_new = owner.last_report != Some(report);
        self.send_cancels_and_crashes(now, gateway, session, effects);
        let Some(owner) = self.owners.get(&gateway) else {
            return;
        };
        // Ends precede the snapshot, which lists the runs that remain.
        let body = if owner.has_unsent() {
            None
        } else if is_in_control && !owner.has_snapshot {
            Some(FromAgentBody::Snapshot(self.snapshot(gateway)))
        } else {
            let is_report_due = is_new && owner.has_snapshot && now >= owner.report_due();
            let is_heartbeat_due = now
                >= owner
                    .last_sent
                    .after(self.heartbeat_interval(now, gateway, owner));
            let is_owed = owner.has_unsent_offer() || owner.is_owed_cancels_received();
            if !is_report_due && !is_heartbeat_due && !is_owed {
                return;
            }
            Some(FromAgentBody::Heartbeat)
        };
        let Some(owner) = self.owners.get_mut(&gateway) else {
            return;
        };
        let is_snapshot = matches!(body, Some(FromAgentBody::Snapshot(_)));
        owner.has_snapshot |= is_snapshot;
        let clock = if is_snapshot {
            SentDescription::record(&mut owner.sent_description, now, self.description)
        } else {
            now
        };
        let body = body.unwrap_or_else(|| FromAgentBody::Ends(owner.take_unsent()));
        owner.last_sent = now;
        let offers = if owner.has_snapshot {
            owner.take_unsent_offers()
        } else {
            Vec::new()
        };
        if is_new {
            owner.record_report(now, report);
        }
        let is_owed_served = std::mem::take(&mut owner.is_owed_served);
        let cancels_received = owner.take_cancels_received();
        let has_snapshot = owner.has_snapshot;
        let usage = has_snapshot.then(|| self.take_due_usage(now, gateway));
        let message = FromAgent {
            clock,
            report: is_new.then_some(report),
            offers,
            candidates: None,
            notices: Vec::new(),
            cancels_received,
            cancel_ages: Vec::new(),
            is_ending: false,
            usage: usage.flatten(),
            served: is_owed_served.then(|| self.served.counts(now)).flatten(),
            body,
        };
        effects.push(AgentEffect::Send { session, message });
        let lacks_snapshot = is_in_control
            && self
                .owners
                .get(&gateway)
                .is_some_and(|owner| !owner.has_snapshot);
        if lacks_snapshot {
            self.send_to(now, gateway, is_in_control, effects);
        }
    }

    /// Tells a gateway of cancelled jobs and reports crashes of the worker. They precede the ends of the
    /// affected runs, which the gateway may place again at once, and the snapshot, without which it places
    /// nothing here.
    fn send_cancels_and_crashes(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        session: SessionId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(owner) = self.owners.get_mut(&gateway) else {
            return;
        };
        let reported = owner.reported_crashes;
        if reported == self.crash_history.latest() && !owner.has_unsent_cancels() {
            return;
        }
        let cancelled = CancelList::new(now, &owner.take_unsent_cancels());
        let cancels_received = owner.take_cancels_received();
        let cancel_ages = cancelled.ages_seconds;
        let cancelled = cancelled.jobs;
        let cancelled = (!cancelled.is_empty()).then_some(Notice::Cancelled(cancelled));
        let evidence = self.crash_history.evidence_after(reported);
        let evidence = evidence.into_iter().map(Notice::Crash);
        let notices = cancelled.into_iter().chain(evidence).collect();
        owner.reported_crashes = self.crash_history.latest();
        owner.last_sent = now;
        let crashes = self.crash_history.crashes_after(reported);
        let body = if crashes.is_empty() {
            FromAgentBody::Heartbeat
        } else {
            FromAgentBody::Crashes(crashes)
        };
        let message = FromAgent {
            clock: now,
            report: None,
            offers: Vec::new(),
            candidates: None,
            notices,
            cancels_received,
            cancel_ages,
            is_ending: false,
            usage: None,
            served: None,
            body,
        };
        effects.push(AgentEffect::Send { session, message });
    }

    pub(super) fn heartbeat_interval(
        &self,
        now: Timestamp,
        gateway: Incarnation,
        owner: &Owner,
    ) -> Span {
        let is_recent = owner
            .last_start_request
            .is_some_and(|requested| now.since(requested) <= BUSY_LINGER);
        let is_busy = is_recent || owner.has_unacknowledged() || self.owns_runs(gateway);
        if is_busy {
            BUSY_HEARTBEAT_INTERVAL
        } else {
            IDLE_HEARTBEAT_INTERVAL
        }
    }

    fn report(&self, now: Timestamp, owner: &Owner) -> Report {
        let is_available = self.is_available(now) && !owner.is_released;
        Report {
            processed: owner.processed,
            free: if is_available {
                self.free_resources()
            } else {
                super::Resources::default()
            },
            limit: if is_available {
                self.limit_left(now)
            } else {
                0
            },
            run_time_percent: self.health.run_time_percent(now),
        }
    }

    fn snapshot(&self, gateway: Incarnation) -> Snapshot {
        let held = self
            .runs
            .iter()
            .filter(|(_, run)| run.owner == gateway)
            .map(|(task, run)| (task, run.number))
            .chain(self.duplicates_of(gateway))
            .collect();
        let worker = self.worker.as_ref();
        let owner = self.owners.get(&gateway);
        Snapshot {
            service: worker
                .map(|worker| worker.service.clone())
                .unwrap_or_default(),
            zone: self.options.zone.clone(),
            capacity: self.capacity(),
            labels: worker
                .map(|worker| worker.labels.usable().to_vec())
                .unwrap_or_default(),
            held,
            session: owner.map(|owner| owner.session_number),
            control: worker.and_then(WorkerState::control),
            honors_claims: true,
        }
    }

    /// Completes a graceful shutdown once nothing runs, or once its time-out has passed.
    pub(super) fn finish_stop(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let stop_deadline = since.after(self.options.shutdown_timeout);
        if now >= stop_deadline {
            let tasks: Vec<TaskId> = self.runs.iter().map(|(task, _)| task).collect();
            for task in tasks {
                self.stop_run(now, task, StopReason::AgentStops, effects);
            }
        }
        let is_acknowledged = !self.owners.values().any(Owner::has_unacknowledged);
        let has_timed_out = now >= stop_deadline.after(FINAL_ACK_TIMEOUT);
        let is_done = self.runs.is_empty() && is_acknowledged;
        if (is_done || has_timed_out) && !self.has_reported_stop {
            self.has_reported_stop = true;
            self.announce_end(now, effects);
            effects.push(AgentEffect::Stopped);
        }
    }

    /// Tells all gateways that the process ends, so that they do not wait for its confirmations.
    fn announce_end(&self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let sessions = self.sessions.keys();
        effects.extend(sessions.map(|session| AgentEffect::Send {
            session: *session,
            message: FromAgent {
                clock: now,
                report: None,
                offers: Vec::new(),
                candidates: None,
                notices: Vec::new(),
                cancels_received: None,
                cancel_ages: Vec::new(),
                is_ending: true,
                usage: None,
                served: None,
                body: FromAgentBody::Heartbeat,
            },
        }));
    }

    /// When the agent next has to act without further events; `None` if never.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let mut wakeups = Vec::new();
        wakeups.extend(self.health.next_change(now));
        wakeups.extend(self.statement_expires_at(now));
        wakeups.extend(self.lease_expiry_at());
        wakeups.extend(self.deregistration_wakeup());
        wakeups.extend(self.retry_at(now));
        wakeups.extend(self.silence_check_at(now));
        wakeups.extend(self.next_preemption_at(now));
        if let Some(since) = self.stopping_since {
            let stop_deadline = since.after(self.options.shutdown_timeout);
            wakeups.push(if now < stop_deadline {
                stop_deadline
            } else {
                stop_deadline.after(FINAL_ACK_TIMEOUT)
            });
        }
        let extension = self.wait_extension(now);
        let waits = self
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Waiting)
            .map(|(_, run)| run.wait_until.after(extension));
        wakeups.extend(waits);
        for (gateway, owner) in &self.owners {
            wakeups.extend(owner.next_offer_end());
            if self.owns_runs(*gateway) && now <= owner.silent_at() {
                wakeups.push(owner.silent_at().after(Span(1)));
            }
            if owner.session.is_some() {
                wakeups.push(
                    owner
                        .last_sent
                        .after(self.heartbeat_interval(now, *gateway, owner)),
                );
                if owner.has_snapshot && owner.last_report != Some(self.report(now, owner)) {
                    wakeups.push(owner.report_due());
                }
            }
        }
        wakeups.into_iter().min()
    }
}
