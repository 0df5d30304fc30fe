//! Drives the agent's state machine: one task handles inputs in batches and executes the effects.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::agent::{Agent, AgentEffect, AgentEvent, RunEnd};
use laurelstile_core::messages::agent::{FromAgent, FromAgentBody, ToAgent};
use laurelstile_core::session::{MessageKind, SessionId};
use laurelstile_history::event::Event;
use laurelstile_history::file::HistoryWriter;
use laurelstile_types::id::{DispatchId, Incarnation};
use metrics::{counter, gauge};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

use super::backend::{Backend, Run};
use crate::clock::Clock;
use crate::telemetry::{MESSAGES_SENT, NOT_STARTED, REVISION, TASK_STARTS};

/// Interval of the state machine's clock ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of inputs handled before the state machine is flushed.
const MAX_INPUT_BATCH: usize = 256;

/// Input of the agent's driver, from sessions and the back end.
#[derive(Debug)]
pub enum DriverInput {
    /// A gateway has opened a session.
    Opened {
        /// Identifier of the session in this process.
        session: SessionId,
        /// Incarnation of the gateway.
        gateway: Incarnation,
        /// Queue of messages to the gateway; dropping it closes the session.
        outgoing: mpsc::UnboundedSender<FromAgent>,
    },
    /// A session has ended.
    Closed {
        /// Identifier of the session in this process.
        session: SessionId,
    },
    /// A gateway has sent a message.
    Message {
        /// Session on which the message was received.
        session: SessionId,
        /// The message as received.
        message: ToAgent,
    },
    /// A run has ended.
    Finished {
        /// Dispatch of the run.
        dispatch: DispatchId,
        /// Outcome of the run.
        end: RunEnd,
    },
    /// Begin a graceful shutdown.
    Stop,
}

/// Feeds inputs to the agent's state machine and executes its effects.
pub struct Driver<B> {
    clock: Clock,
    state_machine: Agent,
    incarnation: Incarnation,
    backend: Arc<B>,
    input: mpsc::UnboundedSender<DriverInput>,
    history: HistoryWriter,
    gateways: HashMap<SessionId, mpsc::UnboundedSender<FromAgent>>,
    runs: HashMap<DispatchId, AbortHandle>,
    effects: Vec<AgentEffect>,
    is_stopped: bool,
}

impl<B: Backend> Driver<B> {
    /// Creates a driver for `state_machine`; ends of runs are sent to `input`.
    pub fn new(
        clock: Clock,
        state_machine: Agent,
        incarnation: Incarnation,
        backend: Arc<B>,
        input: mpsc::UnboundedSender<DriverInput>,
        history: HistoryWriter,
    ) -> Self {
        Self {
            clock,
            state_machine,
            incarnation,
            backend,
            input,
            history,
            gateways: HashMap::new(),
            runs: HashMap::new(),
            effects: Vec::new(),
            is_stopped: false,
        }
    }

    /// Handles `inputs` until a graceful shutdown has finished.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<DriverInput>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        while !self.is_stopped {
            tokio::select! {
                _ = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    for input in batch.drain(..) {
                        self.handle_input(input);
                    }
                }
                _ = tick.tick() => self.handle(AgentEvent::Tick),
            }
            self.state_machine
                .flush(self.clock.now(), &mut self.effects);
            self.execute_effects();
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::Opened {
                session,
                gateway,
                outgoing,
            } => {
                self.gateways.insert(session, outgoing);
                self.handle(AgentEvent::Opened { session, gateway });
            }
            DriverInput::Closed { session } => {
                self.gateways.remove(&session);
                self.handle(AgentEvent::Closed { session });
            }
            DriverInput::Message { session, message } => {
                self.handle(AgentEvent::Message { session, message });
            }
            DriverInput::Finished { dispatch, end } => {
                self.runs.remove(&dispatch);
                self.handle(AgentEvent::Finished { dispatch, end });
            }
            DriverInput::Stop => {
                log::info!("graceful shutdown started: refusing new tasks, finishing running ones");
                self.handle(AgentEvent::Stop);
            }
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        self.state_machine
            .handle(self.clock.now(), event, &mut self.effects);
    }

    fn execute_effects(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                AgentEffect::Send { session, message } => self.send(session, message),
                AgentEffect::Run {
                    dispatch,
                    service,
                    class,
                    input,
                } => self.start(Run {
                    dispatch,
                    service,
                    class,
                    input,
                }),
                AgentEffect::Abort(dispatch) => {
                    if let Some(run) = self.runs.remove(&dispatch) {
                        run.abort();
                    }
                }
                AgentEffect::Close(session) => {
                    self.gateways.remove(&session);
                }
                AgentEffect::InForce(revision) => {
                    log::info!(revision = revision; "configuration in force");
                    #[expect(clippy::cast_precision_loss, reason = "gauges are floating point")]
                    gauge!(REVISION).set(revision as f64);
                    self.history.record(Event::InForce {
                        incarnation: self.incarnation.to_string(),
                        revision,
                    });
                }
                AgentEffect::Draining => log::info!("draining: refusing new tasks"),
                AgentEffect::Stopped => self.is_stopped = true,
            }
        }
    }

    fn send(&self, session: SessionId, message: FromAgent) {
        counter!(MESSAGES_SENT, "kind" => message.kind()).increment(1);
        if let FromAgentBody::NotStarted(refusals) = &message.body {
            for refusal in refusals {
                let reason = format!("{:?}", refusal.reason);
                counter!(NOT_STARTED, "reason" => reason).increment(1);
            }
        }
        if let Some(outgoing) = self.gateways.get(&session) {
            let _ = outgoing.send(message);
        }
    }

    fn start(&mut self, run: Run) {
        counter!(TASK_STARTS).increment(1);
        let dispatch = run.dispatch;
        log::debug!(dispatch:% = dispatch; "starting task");
        let backend = Arc::clone(&self.backend);
        let input = self.input.clone();
        let run_task = tokio::spawn(async move {
            let end = backend.run(run).await;
            let _ = input.send(DriverInput::Finished { dispatch, end });
        });
        self.runs.insert(dispatch, run_task.abort_handle());
    }
}
