//! Outgoing sessions: agents and gateways dial gateways, and redial those that do not answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use laurelstile_core::leased::messages::Member;
use laurelstile_core::leased::redial::{
    DIAL_TIMEOUT, MAX_DIAL_ATTEMPTS, connect_timeout, redial_delay,
};
use laurelstile_core::session::Remote;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole, Socket};
pub use laurelstile_wire::liveness::set_socket_options;
use laurelstile_wire::session;
use metrics::counter;
use tokio::task::JoinHandle;

use super::ports::SeedSource;
use crate::telemetry::SESSION_ERRORS;

/// Runs the sessions that a [`Dialer`] opens.
pub trait SessionHandler: Send + Sync + 'static {
    /// Runs the session to the gateway at `address` until it ends, and returns why it ended.
    fn run_session(
        &self,
        address: SocketAddr,
        socket: Socket,
        remote: Remote,
    ) -> impl Future<Output = WireError> + Send;

    /// Called when a gateway to which there was a session refuses a connection: its process has
    /// ended.
    fn on_connection_refused(&self, gateway: Incarnation);
}

/// Keeps a session to each gateway that is a target.
pub struct Dialer<H> {
    local: LocalNode,
    seeds: Vec<SocketAddr>,
    handler: Arc<H>,
    dials: BTreeMap<SocketAddr, DialTask>,
}

/// The task that dials one address.
struct DialTask {
    task: JoinHandle<()>,
    /// Set when the address is no longer a target. An open session is not closed by this.
    is_released: Arc<AtomicBool>,
}

impl<H: SessionHandler> Dialer<H> {
    /// Creates a dialer that dials `seeds` at once, and without a limit on failed attempts.
    pub fn new(local: LocalNode, seeds: Vec<SocketAddr>, handler: H) -> Self {
        let mut dialer = Self {
            local,
            seeds: seeds.clone(),
            handler: Arc::new(handler),
            dials: BTreeMap::new(),
        };
        for seed in seeds {
            dialer.dial(seed);
        }
        dialer
    }

    /// Dials `members`. If `is_settled`, releases all other addresses.
    pub fn set_targets(&mut self, members: &[Member], is_settled: bool) {
        for member in members {
            self.dial(member.address);
        }
        if is_settled {
            self.release(|address| members.iter().any(|member| member.address == address));
        }
    }

    /// Reads the seeds again from the settings, and dials them. Keeps the previous seeds if the
    /// settings cannot be read.
    pub fn reload_seeds(&mut self, source: &SeedSource) {
        let Some(seeds) = source() else {
            log::warn!(event = "reload_failed"; "the settings cannot be read; keeping the previous seeds");
            return;
        };
        log::info!(event = "reloaded", seeds = seeds.len(); "seeds reloaded from the settings");
        for seed in &seeds {
            self.dial(*seed);
        }
        self.seeds = seeds;
    }

    /// Dials the address until it is released, or, unless it is a seed, has failed
    /// [`MAX_DIAL_ATTEMPTS`] times in a row.
    pub fn dial(&mut self, address: SocketAddr) {
        if let Some(dial) = self.dials.get(&address)
            && !dial.task.is_finished()
        {
            dial.is_released.store(false, Ordering::Relaxed);
            return;
        }
        let is_released = Arc::new(AtomicBool::new(false));
        let connector = Connector {
            address,
            is_seed: self.seeds.contains(&address),
            is_released: Arc::clone(&is_released),
            local: self.local.clone(),
            handler: Arc::clone(&self.handler),
        };
        let task = tokio::spawn(connector.run());
        self.dials.insert(address, DialTask { task, is_released });
    }

    /// Releases the addresses that are not `is_wanted`: they are not redialed.
    pub fn release(&mut self, is_wanted: impl Fn(SocketAddr) -> bool) {
        for (address, dial) in &self.dials {
            if !is_wanted(*address) {
                dial.is_released.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Removes and returns the addresses that were given up after too many failed attempts.
    pub fn take_unreachable(&mut self) -> Vec<SocketAddr> {
        let is_unreachable =
            |dial: &DialTask| dial.task.is_finished() && !dial.is_released.load(Ordering::Relaxed);
        let unreachable = self.dials.iter().filter(|(_, dial)| is_unreachable(dial));
        let addresses = unreachable.map(|(address, _)| *address).collect();
        self.dials.retain(|_, dial| !dial.task.is_finished());
        addresses
    }
}

/// Dials one address repeatedly, and runs each session that is opened.
struct Connector<H> {
    address: SocketAddr,
    is_seed: bool,
    is_released: Arc<AtomicBool>,
    local: LocalNode,
    handler: Arc<H>,
}

impl<H: SessionHandler> Connector<H> {
    async fn run(self) {
        let mut last_gateway = None;
        let mut failures = 0;
        while self.is_wanted(failures) {
            let error = match self.open(failures).await {
                Ok((_, remote)) if remote.name == self.local.name => return,
                Ok((socket, remote)) => {
                    last_gateway = Some(remote.incarnation);
                    failures = 0;
                    self.handler.run_session(self.address, socket, remote).await
                }
                Err(error) => error,
            };
            let is_refused = matches!(error, WireError::Refused);
            if is_refused && let Some(gateway) = last_gateway.take() {
                self.handler.on_connection_refused(gateway);
            }
            // Record at most two failures in a row, and no refused connections.
            if !is_refused && failures <= 1 {
                record_session_end(&error, &self.address.to_string());
            }
            failures += 1;
            tokio::time::sleep(duration(redial_delay(failures))).await;
        }
    }

    fn is_wanted(&self, failures: u32) -> bool {
        !self.is_released.load(Ordering::Relaxed) && (self.is_seed || failures < MAX_DIAL_ATTEMPTS)
    }

    async fn open(&self, failures: u32) -> Result<(Socket, Remote), WireError> {
        let timeout = duration(connect_timeout(failures));
        let role = NodeRole::Gateway;
        let dialing = session::dial_with_timeout(timeout, self.address, None, &self.local, role);
        let dialed = tokio::time::timeout(duration(DIAL_TIMEOUT), dialing).await;
        dialed.unwrap_or(Err(WireError::Timeout))
    }
}

/// Converts a span of the state machine for the timers of the runtime.
fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Logs and counts the end of a session; `remote` is its address.
pub fn record_session_end(error: &WireError, remote: &str) {
    counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "gateway").increment(1);
    log::info!(event = "session_ended", remote = remote, error:% = error; "session ended");
}
