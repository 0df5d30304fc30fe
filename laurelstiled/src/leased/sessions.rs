//! Sessions: gateways accept them, agents and gateways dial every gateway that
//! they know.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::messages::Member;
use laurelstile_types::id::Incarnation;
use laurelstile_wire::error::WireError;
use laurelstile_wire::hello::{LocalNode, NodeRole, Socket};
pub use laurelstile_wire::liveness::configure;
use laurelstile_wire::session;
use metrics::counter;
use tokio::task::JoinHandle;

use super::ports::SeedSource;
use crate::telemetry::SESSION_ERRORS;

/// Pause between two dials of one address, at first and after some failures.
const FIRST_REDIAL: Duration = Duration::from_millis(25);
const LONGEST_REDIAL: Duration = Duration::from_millis(400);
/// Longest that the opening of a connection may take, at first and after some
/// failures. A machine that is off answers no packet, and the system repeats the
/// first one only after a second; a far machine answers within the longest.
const FIRST_CONNECT_LIMIT: Duration = Duration::from_millis(50);
const LONGEST_CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Failures in a row after which pause and limit double, and double again.
const FAILURES_PER_DOUBLING: u32 = 5;
/// Longest that a dial may take, with its hello.
const DIAL_LIMIT: Duration = Duration::from_millis(600);
/// Dials in a row without success after which an address is forgotten; it is
/// dialed again once somebody names it anew.
const DIALS: u32 = 60;

/// What a dialer does with a session, and with a refusal.
pub trait Dialed: Send + Sync + 'static {
    /// Holds a session until it ends.
    fn hold(
        &self,
        socket: Socket,
        remote: laurelstile_core::session::Remote,
    ) -> impl Future<Output = WireError> + Send;

    /// The process that was at the address has ended.
    fn on_refused(&self, gateway: Incarnation);
}

/// Dials all gateways that are known.
pub struct Dialer<D> {
    local: LocalNode,
    seeds: Vec<SocketAddr>,
    dialed: Arc<D>,
    tasks: BTreeMap<SocketAddr, JoinHandle<()>>,
}

impl<D: Dialed> Dialer<D> {
    /// A dialer that dials `seeds` at once, and for ever.
    pub fn new(local: LocalNode, seeds: Vec<SocketAddr>, dialed: D) -> Self {
        let mut dialer = Self {
            local,
            seeds: seeds.clone(),
            dialed: Arc::new(dialed),
            tasks: BTreeMap::new(),
        };
        for seed in seeds {
            dialer.dial(seed);
        }
        dialer
    }

    /// Dials the members that are not dialed yet.
    pub fn learn(&mut self, members: &[Member]) {
        for member in members {
            if member.name != self.local.name {
                self.dial(member.address);
            }
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

    fn dial(&mut self, address: SocketAddr) {
        self.tasks.retain(|_, task| !task.is_finished());
        let (local, dialed) = (self.local.clone(), Arc::clone(&self.dialed));
        let is_seed = self.seeds.contains(&address);
        self.tasks
            .entry(address)
            .or_insert_with(|| tokio::spawn(keep_session(address, is_seed, local, dialed)));
    }
}

async fn keep_session<D: Dialed>(
    address: SocketAddr,
    is_seed: bool,
    local: LocalNode,
    dialed: Arc<D>,
) {
    let mut last = None;
    let mut failures = 0;
    while is_seed || failures < DIALS {
        let limit = connect_limit(failures);
        let dialing = session::dial_within(limit, address, None, &local, NodeRole::Gateway);
        let error = match tokio::time::timeout(DIAL_LIMIT, dialing).await {
            Ok(Ok((_, remote))) if remote.name == local.name => return,
            Ok(Ok((socket, remote))) => {
                last = Some(remote.incarnation);
                failures = 0;
                dialed.hold(socket, remote).await
            }
            Ok(Err(error)) => error,
            Err(_) => WireError::Timeout,
        };
        let is_refused = matches!(error, WireError::Refused);
        if is_refused && let Some(gateway) = last.take() {
            dialed.on_refused(gateway);
        }
        // An address that stays silent is told of once.
        if !is_refused && failures <= 1 {
            note_end(&error, &address.to_string());
        }
        failures += 1;
        tokio::time::sleep(redial_pause(failures)).await;
    }
}

/// Pause after so many failures in a row. Machines that lost power together come
/// back within less than a second of each other, so the first dials follow closely.
pub fn redial_pause(failures: u32) -> Duration {
    doubled(FIRST_REDIAL, failures).min(LONGEST_REDIAL)
}

/// Longest that the opening of a connection may take after so many failures in a row.
pub fn connect_limit(failures: u32) -> Duration {
    doubled(FIRST_CONNECT_LIMIT, failures).min(LONGEST_CONNECT_LIMIT)
}

fn doubled(first: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1) / FAILURES_PER_DOUBLING;
    first.saturating_mul(2_u32.saturating_pow(doublings))
}

/// Logs and counts the end of a session.
pub fn note_end(error: &WireError, remote: &str) {
    counter!(SESSION_ERRORS, "kind" => error.kind(), "side" => "gateway").increment(1);
    log::info!(event = "session_ended", remote = remote, error:% = error; "session ended");
}
