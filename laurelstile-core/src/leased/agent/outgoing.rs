//! What an agent sends to its gateways, when it stops what a silent one left,
//! and when time alone makes it act.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{FromAgent, FromAgentBody, Report, Snapshot};
use super::super::task::TaskId;
use super::super::timing::{BUSY_HEARTBEAT_INTERVAL, BUSY_LINGER, IDLE_HEARTBEAT_INTERVAL};
use super::ledger::{RunState, StopReason};
use super::owner::Owner;
use super::{AgentEffect, LeasedAgent};
use crate::session::SessionId;

/// How long a planned stop waits for the last ends to be acknowledged.
const LAST_ENDS: Span = Span::from_millis(400);

impl LeasedAgent {
    /// Sends ends, reports and heartbeats that are due.
    pub(super) fn send_all(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let is_in_control = self
            .life
            .as_ref()
            .is_some_and(|life| life.has_synced && life.foreign.is_empty());
        let gateways: Vec<Incarnation> = self.sessions.values().copied().collect();
        for gateway in gateways {
            self.send_to(now, gateway, is_in_control, effects);
        }
    }

    /// The report for a gateway, once it is noted whether it has more room than the
    /// last one.
    fn note_room_for(&mut self, now: Timestamp, gateway: Incarnation) -> Option<Report> {
        let report = self.report(now, self.owners.get(&gateway)?);
        self.owners.get_mut(&gateway)?.note_room(now, &report);
        Some(report)
    }

    fn send_to(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        is_in_control: bool,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(report) = self.note_room_for(now, gateway) else {
            return;
        };
        let Some(owner) = self.owners.get(&gateway) else {
            return;
        };
        let Some(session) = owner.session else {
            return;
        };
        let is_new = owner.last_report != Some(report);
        self.tell_crashes(now, gateway, session, effects);
        let Some(owner) = self.owners.get(&gateway) else {
            return;
        };
        // Ends go before the snapshot, which tells what is left.
        let body = if owner.has_unsent() {
            None
        } else if is_in_control && !owner.has_snapshot {
            Some(FromAgentBody::Snapshot(self.snapshot(gateway)))
        } else {
            let is_report_due = is_new && owner.has_snapshot && now >= owner.report_due();
            let is_beat_due = now
                >= owner
                    .last_sent
                    .after(self.beat_interval(now, gateway, owner));
            if !is_report_due && !is_beat_due && !owner.has_unsent_offer() {
                return;
            }
            Some(FromAgentBody::Heartbeat)
        };
        let Some(owner) = self.owners.get_mut(&gateway) else {
            return;
        };
        owner.has_snapshot |= matches!(body, Some(FromAgentBody::Snapshot(_)));
        let body = body.unwrap_or_else(|| FromAgentBody::Ends(owner.take_unsent()));
        owner.last_sent = now;
        let offers = if owner.has_snapshot {
            owner.take_unsent_offers()
        } else {
            Vec::new()
        };
        if is_new {
            owner.note_reported(now, report);
        }
        let message = FromAgent {
            clock: now,
            report: is_new.then_some(report),
            offers,
            candidates: None,
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

    /// Tells a gateway of crashes of the worker, before it hears that its runs have ended:
    /// it may place them again at once.
    fn tell_crashes(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        session: SessionId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(owner) = self.owners.get_mut(&gateway) else {
            return;
        };
        let news = self.crash_memory.after(owner.told_crashes);
        if news.is_empty() {
            return;
        }
        owner.told_crashes = self.crash_memory.last();
        owner.last_sent = now;
        let message = FromAgent {
            clock: now,
            report: None,
            offers: Vec::new(),
            candidates: None,
            body: FromAgentBody::Crashes(news),
        };
        effects.push(AgentEffect::Send { session, message });
    }

    pub(super) fn beat_interval(
        &self,
        now: Timestamp,
        gateway: Incarnation,
        owner: &Owner,
    ) -> Span {
        let is_recent = owner
            .asked
            .is_some_and(|asked| now.since(asked) <= BUSY_LINGER);
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
                self.free_room()
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
            .ledger
            .iter()
            .filter(|(_, run)| run.owner == gateway)
            .map(|(task, run)| (task, run.number))
            .collect();
        let life = self.life.as_ref();
        Snapshot {
            service: life.map(|life| life.service.clone()).unwrap_or_default(),
            zone: self.options.zone.clone(),
            capacity: self.capacity(),
            labels: life.map(|life| life.labels.clone()).unwrap_or_default(),
            held,
        }
    }

    /// Ends a planned stop once nothing runs, or once patience is over.
    pub(super) fn finish_stop(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let patience_ends = since.after(self.options.stop_patience);
        if now >= patience_ends {
            let tasks: Vec<TaskId> = self.ledger.iter().map(|(task, _)| task).collect();
            for task in tasks {
                self.stop_run(now, task, StopReason::AgentStops, effects);
            }
        }
        let is_acknowledged = !self.owners.values().any(Owner::has_unacknowledged);
        let is_over = now >= patience_ends.after(LAST_ENDS);
        let is_done = self.ledger.is_empty() && is_acknowledged;
        if (is_done || is_over) && !self.stop_reported {
            self.stop_reported = true;
            effects.push(AgentEffect::Stopped);
        }
    }

    /// When time alone makes the agent act, if nothing happens before.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let mut wakeups = Vec::new();
        wakeups.extend(self.health.next_change(now));
        let room_ends = self.room_knowledge.good_until();
        wakeups.extend((now < room_ends).then_some(room_ends));
        wakeups.extend(self.lapse_at());
        wakeups.extend(self.deregistration_wakeup());
        wakeups.extend(self.repeat_at(now));
        wakeups.extend(self.look_for_silence_at(now));
        if let Some(since) = self.stopping_since {
            let patience_ends = since.after(self.options.stop_patience);
            wakeups.push(if now < patience_ends {
                patience_ends
            } else {
                patience_ends.after(LAST_ENDS)
            });
        }
        let waits = self
            .ledger
            .iter()
            .filter(|(_, run)| run.state == RunState::Waiting)
            .map(|(_, run)| run.wait_until);
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
                        .after(self.beat_interval(now, *gateway, owner)),
                );
                if owner.has_snapshot && owner.last_report != Some(self.report(now, owner)) {
                    wakeups.push(owner.report_due());
                }
            }
        }
        wakeups.into_iter().min()
    }
}
