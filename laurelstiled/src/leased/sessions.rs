//! Sessions: gateways accept them, agents and gateways dial the gateways that they want
//! sessions to.

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
pub use laurelstile_wire::liveness::configure;
use laurelstile_wire::session;
use metrics::counter;
use tokio::task::JoinHandle;

use super::ports::SeedSource;
use crate::telemetry::SESSION_ERRORS;

/// What a dialer does with a session, and with a refusal.
pub trait Dialed: Send + Sync + 'static {
    /// Holds the session to the gateway at `address` until it ends.
    fn hold(
        &self,
        address: SocketAddr,
        socket: Socket,
        remote: Remote,
    ) -> impl Future<Output = WireError> + Send;

    /// The process that was at the address has ended.
    fn on_refused(&self, gateway: Incarnation);
}

/// Dials the gateways to which sessions are wanted.
pub struct Dialer<D> {
    local: LocalNode,
    seeds: Vec<SocketAddr>,
    dialed: Arc<D>,
    dials: BTreeMap<SocketAddr, Dial>,
}

/// An address that is dialed.
struct Dial {
    task: JoinHandle<()>,
    /// Set once no session is wanted any more; one that is open is not cut.
    is_released: Arc<AtomicBool>,
}

impl<D: Dialed> Dialer<D> {
    /// A dialer that dials `seeds` at once, and for ever.
    pub fn new(local: LocalNode, seeds: Vec<SocketAddr>, dialed: D) -> Self {
        let mut dialer = Self {
            local,
            seeds: seeds.clone(),
            dialed: Arc::new(dialed),
            dials: BTreeMap::new(),
        };
        for seed in seeds {
            dialer.dial(seed);
        }
        dialer
    }

    /// Dials these members, and no others any more if that `is_settled`.
    pub fn want(&mut self, members: &[Member], is_settled: bool) {
        for member in members {
            self.dial(member.address);
        }
        if is_settled {
            self.release(|address| members.iter().any(|member| member.address == address));
        }
    }

    /// Takes over the seeds of changed settings.
    pub fn reseed(&mut self, source: &SeedSource) {
        let Some(seeds) = source() else {
            log::warn!(event = "reload_failed"; "the settings cannot be read; the old ones stay in force");
            return;
        };
        log::info!(event = "reloaded", seeds = seeds.len(); "settings read again");
        for seed in &seeds {
            self.dial(*seed);
        }
        self.seeds = seeds;
    }

    /// Dials the address until it is released, or never answers.
    pub fn dial(&mut self, address: SocketAddr) {
        if let Some(dial) = self.dials.get(&address)
            && !dial.task.is_finished()
        {
            dial.is_released.store(false, Ordering::Relaxed);
            return;
        }
        let is_released = Arc::new(AtomicBool::new(false));
        let keeper = Keeper {
            address,
            is_seed: self.seeds.contains(&address),
            is_released: Arc::clone(&is_released),
            local: self.local.clone(),
            dialed: Arc::clone(&self.dialed),
        };
        let task = tokio::spawn(keeper.keep());
        self.dials.insert(address, Dial { task, is_released });
    }

    /// Dials no more the addresses that `is_wanted` does not name.
    pub fn release(&mut self, is_wanted: impl Fn(SocketAddr) -> bool) {
        for (address, dial) in &self.dials {
            if !is_wanted(*address) {
                dial.is_released.store(true, Ordering::Relaxed);
            }
        }
    }

    /// The addresses that have not answered for so long that they are dialed no more.
    pub fn take_given_up(&mut self) -> Vec<SocketAddr> {
        let is_given_up =
            |dial: &Dial| dial.task.is_finished() && !dial.is_released.load(Ordering::Relaxed);
        let given_up = self.dials.iter().filter(|(_, dial)| is_given_up(dial));
        let addresses = given_up.map(|(address, _)| *address).collect();
        self.dials.retain(|_, dial| !dial.task.is_finished());
        addresses
    }
}

/// Keeps a session to one address.
struct Keeper<D> {
    address: SocketAddr,
    is_seed: bool,
    is_released: Arc<AtomicBool>,
    local: LocalNode,
    dialed: Arc<D>,
}

impl<D: Dialed> Keeper<D> {
    async fn keep(self) {
        let mut last = None;
        let mut failures = 0;
        while self.is_wanted(failures) {
            let error = match self.open(failures).await {
                Ok((_, remote)) if remote.name == self.local.name => return,
                Ok((socket, remote)) => {
                    last = Some(remote.incarnation);
                    failures = 0;
                    self.dialed.hold(self.address, socket, remote).await
                }
                Err(error) => error,
            };
            let is_refused = matches!(error, WireError::Refused);
            if is_refused && let Some(gateway) = last.take() {
                self.dialed.on_refused(gateway);
            }
            // An address that stays silent is told of once.
            if !is_refused && failures <= 1 {
                note_end(&error, &self.address.to_string());
            }
            failures += 1;
            tokio::time::sleep(duration(redial_delay(failures))).await;
        }
    }

    fn is_wanted(&self, failures: u32) -> bool {
        !self.is_released.load(Ordering::Relaxed) && (self.is_seed || failures < MAX_DIAL_ATTEMPTS)
    }

    async fn open(&self, failures: u32) -> Result<(Socket, Remote), WireError> {
        let limit = duration(connect_timeout(failures));
        let role = NodeRole::Gateway;
        let dialing = session::dial_with_timeout(limit, self.address, None, &self.local, role);
        let dialed = tokio::time::timeout(duration(DIAL_TIMEOUT), dialing).await;
        dialed.unwrap_or(Err(WireError::Timeout))
    }
}

/// A span of a machine, as the system's timers take it.
fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Logs and counts the end of a session.
pub fn note_end(error: &WireError, remote: &str) {
    counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "gateway").increment(1);
    log::info!(event = "session_ended", remote = remote, error:% = error; "session ended");
}
