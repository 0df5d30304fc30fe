//! Drives the gateway's state machine: one task handles inputs in batches and executes the
//! effects.

use std::collections::HashMap;
use std::time::Duration;

use laurelstile_core::gateway::{Answer, Gateway, GatewayEffect, GatewayEvent};
use laurelstile_core::messages::agent::{FromAgentBody, ToAgent};
use laurelstile_core::messages::peer::ToPeer;
use laurelstile_core::session::{MessageKind, SessionId};
use laurelstile_history::event::Event;
use laurelstile_history::file::HistoryWriter;
use metrics::{counter, gauge, histogram};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::dial::AgentDialer;
use super::input::{ClaimCommand, DriverInput};
use crate::clock::Clock;
use crate::telemetry::{
    LATE_RESULTS, MESSAGES_SENT, QUEUED_TASKS, RESPONSE_SECONDS, REVISION, SUBMISSIONS,
    TASK_SECONDS,
};

/// Interval of the state machine's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of inputs handled before the state machine is flushed.
const MAX_INPUT_BATCH: usize = 256;
/// Number of ticks between updates of the gauges.
const TICKS_PER_GAUGE_UPDATE: u32 = 25;

/// Feeds inputs to the gateway's state machine and executes its effects.
pub struct Driver {
    clock: Clock,
    state_machine: Gateway,
    dialer: AgentDialer,
    claims: mpsc::UnboundedSender<ClaimCommand>,
    history: HistoryWriter,
    pending_replies: HashMap<u64, oneshot::Sender<Box<Answer>>>,
    agents: HashMap<SessionId, mpsc::UnboundedSender<ToAgent>>,
    peers: HashMap<SessionId, mpsc::UnboundedSender<ToPeer>>,
    effects: Vec<GatewayEffect>,
    is_stopped: bool,
}

impl Driver {
    /// Creates a driver for `state_machine`; claims are sent to `claims`.
    pub fn new(
        clock: Clock,
        state_machine: Gateway,
        dialer: AgentDialer,
        claims: mpsc::UnboundedSender<ClaimCommand>,
        history: HistoryWriter,
    ) -> Self {
        Self {
            clock,
            state_machine,
            dialer,
            claims,
            history,
            pending_replies: HashMap::new(),
            agents: HashMap::new(),
            peers: HashMap::new(),
            effects: Vec::new(),
            is_stopped: false,
        }
    }

    /// Handles `inputs` until a graceful shutdown has finished.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<DriverInput>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        let mut ticks = 0;
        while !self.is_stopped {
            tokio::select! {
                _ = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    for input in batch.drain(..) {
                        self.handle_input(input);
                    }
                }
                _ = tick.tick() => {
                    self.handle(GatewayEvent::Tick);
                    ticks += 1;
                    if ticks % TICKS_PER_GAUGE_UPDATE == 0 {
                        self.update_gauges();
                    }
                }
            }
            self.state_machine
                .flush(self.clock.now(), &mut self.effects);
            self.execute_effects();
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::Event(event) => {
                record_run_times(&event);
                self.handle(event);
            }
            DriverInput::Submit {
                number,
                request,
                reply,
            } => {
                self.pending_replies.insert(number, reply);
                self.handle(GatewayEvent::Submit { number, request });
            }
            DriverInput::AgentOpened {
                session,
                remote,
                outgoing,
            } => {
                self.agents.insert(session, outgoing);
                self.handle(GatewayEvent::AgentOpened { session, remote });
            }
            DriverInput::PeerOpened {
                session,
                remote,
                outgoing,
            } => {
                self.peers.insert(session, outgoing);
                self.handle(GatewayEvent::PeerOpened { session, remote });
            }
            DriverInput::Status(reply) => {
                let _ = reply.send(self.state_machine.status(self.clock.now()));
            }
            DriverInput::InForce(reply) => {
                let revision = self.state_machine.revision();
                let _ = reply.send(revision.map(|revision| revision.as_ref().clone()));
            }
            DriverInput::Stop => {
                log::info!(
                    "graceful shutdown started: refusing new jobs, finishing those in flight"
                );
                self.handle(GatewayEvent::Stop);
            }
        }
    }

    fn handle(&mut self, event: GatewayEvent) {
        if let GatewayEvent::AgentClosed { session } | GatewayEvent::PeerClosed { session } = &event
        {
            self.agents.remove(session);
            self.peers.remove(session);
        }
        self.state_machine
            .handle(self.clock.now(), event, &mut self.effects);
    }

    fn execute_effects(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                GatewayEffect::ToAgent { session, message } => {
                    counter!(MESSAGES_SENT, "kind" => message.kind()).increment(1);
                    if let Some(outgoing) = self.agents.get(&session) {
                        let _ = outgoing.send(message);
                    }
                }
                GatewayEffect::ToPeer { session, message } => {
                    counter!(MESSAGES_SENT, "kind" => message.kind()).increment(1);
                    if let Some(outgoing) = self.peers.get(&session) {
                        let _ = outgoing.send(message);
                    }
                }
                GatewayEffect::Close(session) => {
                    self.agents.remove(&session);
                    self.peers.remove(&session);
                }
                GatewayEffect::Answer(answer) => self.answer(answer),
                GatewayEffect::Claim(claim) => {
                    let _ = self.claims.send(ClaimCommand::Claim(claim));
                }
                GatewayEffect::ReleaseClaim(claim) => {
                    let _ = self.claims.send(ClaimCommand::Release(claim));
                }
                GatewayEffect::InForce(revision) => {
                    log::info!(revision = revision.number; "configuration in force");
                    self.history.record(Event::InForce {
                        incarnation: self.state_machine.incarnation().to_string(),
                        revision: revision.number,
                    });
                    self.dialer.configure(&revision.configuration);
                }
                GatewayEffect::Stopped => self.is_stopped = true,
            }
        }
    }

    fn answer(&mut self, answer: Box<Answer>) {
        let outcome = match &answer.outcome {
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        histogram!(
            RESPONSE_SECONDS,
            "service" => answer.service.0.clone(),
            "class" => answer.class.0.clone(),
            "tenant" => answer.tenant.0.clone(),
            "outcome" => outcome,
        )
        .record(Duration::from_micros(answer.elapsed.0));
        log::debug!(
            submission:% = answer.submission,
            tenant:% = answer.tenant,
            elapsed_micros = answer.elapsed.0,
            outcome = outcome;
            "submission ended"
        );
        if let Err(failure) = &answer.outcome {
            log::info!(
                submission:% = answer.submission,
                tenant:% = answer.tenant,
                reason:? = failure.reason,
                run_state:? = failure.run_state;
                "submission failed"
            );
        }
        if let Some(reply) = self.pending_replies.remove(&answer.submission.number) {
            let _ = reply.send(answer);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "gauges are floating point")]
    fn update_gauges(&self) {
        let status = self.state_machine.status(self.clock.now());
        gauge!(REVISION).set(status.revision as f64);
        gauge!(SUBMISSIONS).set(status.submissions as f64);
        gauge!(QUEUED_TASKS).set(status.queued_tasks as f64);
        gauge!(LATE_RESULTS).set(self.state_machine.late_results() as f64);
    }
}

fn record_run_times(event: &GatewayEvent) {
    let GatewayEvent::AgentMessage { message, .. } = event else {
        return;
    };
    let FromAgentBody::Results(results) = &message.body else {
        return;
    };
    for result in results {
        histogram!(TASK_SECONDS).record(Duration::from_micros(result.run_micros));
    }
}
