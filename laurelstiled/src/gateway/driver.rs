//! Drives the gateway's machine: one task takes inputs in batches and carries
//! the machine's effects out.

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
use super::input::{ClaimCall, Input};
use crate::clock::Clock;
use crate::telemetry::{
    LATE_RESULTS, MESSAGES, QUEUED_TASKS, RESPONSE_SECONDS, REVISION, SUBMISSIONS, TASK_SECONDS,
};

/// How often the machine gets to look at the time.
const TICK: Duration = Duration::from_millis(20);
/// Most inputs that are handled before the machine is flushed.
const INPUT_BATCH: usize = 256;
/// Ticks between two updates of the gauges.
const GAUGE_TICKS: u32 = 25;

/// Drives one gateway's machine.
pub struct Driver {
    clock: Clock,
    machine: Gateway,
    dialer: AgentDialer,
    claims: mpsc::UnboundedSender<ClaimCall>,
    history: HistoryWriter,
    waiting: HashMap<u64, oneshot::Sender<Box<Answer>>>,
    agents: HashMap<SessionId, mpsc::UnboundedSender<ToAgent>>,
    peers: HashMap<SessionId, mpsc::UnboundedSender<ToPeer>>,
    effects: Vec<GatewayEffect>,
    stopped: bool,
}

impl Driver {
    /// A driver for `machine`.
    pub fn new(
        clock: Clock,
        machine: Gateway,
        dialer: AgentDialer,
        claims: mpsc::UnboundedSender<ClaimCall>,
        history: HistoryWriter,
    ) -> Self {
        Self {
            clock,
            machine,
            dialer,
            claims,
            history,
            waiting: HashMap::new(),
            agents: HashMap::new(),
            peers: HashMap::new(),
            effects: Vec::new(),
            stopped: false,
        }
    }

    /// Runs until a planned stop is complete.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(INPUT_BATCH);
        let mut ticks = 0;
        while !self.stopped {
            tokio::select! {
                _ = inputs.recv_many(&mut batch, INPUT_BATCH) => {
                    for input in batch.drain(..) {
                        self.take(input);
                    }
                }
                _ = tick.tick() => {
                    self.handle(GatewayEvent::Tick);
                    ticks += 1;
                    if ticks % GAUGE_TICKS == 0 {
                        self.update_gauges();
                    }
                }
            }
            self.machine.flush(self.clock.now(), &mut self.effects);
            self.carry_out();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                observe(&event);
                self.handle(event);
            }
            Input::Submit {
                number,
                request,
                reply,
            } => {
                self.waiting.insert(number, reply);
                self.handle(GatewayEvent::Submit { number, request });
            }
            Input::AgentOpened {
                session,
                remote,
                outgoing,
            } => {
                self.agents.insert(session, outgoing);
                self.handle(GatewayEvent::AgentOpened { session, remote });
            }
            Input::PeerOpened {
                session,
                remote,
                outgoing,
            } => {
                self.peers.insert(session, outgoing);
                self.handle(GatewayEvent::PeerOpened { session, remote });
            }
            Input::Status(reply) => {
                let _ = reply.send(self.machine.status(self.clock.now()));
            }
            Input::InForce(reply) => {
                let revision = self.machine.revision();
                let _ = reply.send(revision.map(|revision| revision.as_ref().clone()));
            }
            Input::Stop => {
                log::info!("planned stop: refusing new jobs, finishing those in flight");
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
        self.machine
            .handle(self.clock.now(), event, &mut self.effects);
    }

    fn carry_out(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                GatewayEffect::ToAgent { session, message } => {
                    counter!(MESSAGES, "kind" => message.kind()).increment(1);
                    if let Some(outgoing) = self.agents.get(&session) {
                        let _ = outgoing.send(message);
                    }
                }
                GatewayEffect::ToPeer { session, message } => {
                    counter!(MESSAGES, "kind" => message.kind()).increment(1);
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
                    let _ = self.claims.send(ClaimCall::Claim(claim));
                }
                GatewayEffect::ReleaseClaim(claim) => {
                    let _ = self.claims.send(ClaimCall::Release(claim));
                }
                GatewayEffect::InForce(revision) => {
                    log::info!(revision = revision.number; "configuration in force");
                    self.history.record(Event::InForce {
                        incarnation: self.machine.incarnation().to_string(),
                        revision: revision.number,
                    });
                    self.dialer.configure(&revision.configuration);
                }
                GatewayEffect::Stopped => self.stopped = true,
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
            "final answer"
        );
        if let Err(failure) = &answer.outcome {
            log::info!(
                submission:% = answer.submission,
                tenant:% = answer.tenant,
                reason:? = failure.reason,
                run_state:? = failure.run_state;
                "no answer"
            );
        }
        if let Some(reply) = self.waiting.remove(&answer.submission.number) {
            let _ = reply.send(answer);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "gauges are floating point")]
    fn update_gauges(&self) {
        let status = self.machine.status(self.clock.now());
        gauge!(REVISION).set(status.revision as f64);
        gauge!(SUBMISSIONS).set(status.submissions as f64);
        gauge!(QUEUED_TASKS).set(status.queued_tasks as f64);
        gauge!(LATE_RESULTS).set(self.machine.late_results() as f64);
    }
}

fn observe(event: &GatewayEvent) {
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
