//! The stand-in platform: a transactional table, a machine list, and faults
//! on demand. It keeps within the write and read rates of the real one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpResponseUpdatedNoContent,
    RequestContext, ServerBuilder, TypedBody, UntypedBody, endpoint,
};
use laurelstile_types::platform::{
    MachineList, ReadReply, ReadRequest, Row, Transaction, TransactionReply,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use laurelstile_lab::error::LabError;

/// Transactions a second that the platform takes.
const WRITES_PER_SECOND: f64 = 100.0;
/// Reads a second that the platform takes.
const READS_PER_SECOND: f64 = 2_000.0;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Faults of the platform, on demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PlatformFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Every call takes this much longer.
    pub slow_millis: u64,
    /// Writes take effect, but their replies are lost.
    pub lose_write_replies: bool,
    /// The machine list stays as it is.
    pub stale_machines: bool,
}

/// What the platform has seen.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct PlatformCounts {
    /// Reads answered.
    pub reads: u64,
    /// Transactions answered.
    pub writes: u64,
    /// Calls refused because of the rate.
    pub over_rate: u64,
}

struct State {
    rows: BTreeMap<String, serde_json::Value>,
    machines: MachineList,
    shown_machines: MachineList,
    faults: PlatformFaults,
    counts: PlatformCounts,
    writes: Budget,
    reads: Budget,
}

/// A budget of calls that refills with time.
struct Budget {
    rate: f64,
    left: f64,
    filled: Instant,
}

impl Budget {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            left: rate,
            filled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.filled).as_secs_f64() * self.rate;
        self.left = (self.left + refill).min(self.rate);
        self.filled = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

struct Platform(Mutex<State>);

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits and fails as the faults demand.
    async fn suffer(&self) -> Result<PlatformFaults, HttpError> {
        let faults = self.state().faults;
        tokio::time::sleep(Duration::from_millis(faults.slow_millis)).await;
        if self.state().faults.down {
            return Err(unavailable("down"));
        }
        Ok(faults)
    }
}

/// Runs the stand-in until the process is ended.
///
/// # Errors
/// [`LabError`] if it cannot start.
pub async fn run(listen: SocketAddr) -> Result<(), LabError> {
    let platform = Platform(Mutex::new(State {
        rows: BTreeMap::new(),
        machines: MachineList::default(),
        shown_machines: MachineList::default(),
        faults: PlatformFaults::default(),
        counts: PlatformCounts::default(),
        writes: Budget::new(WRITES_PER_SECOND),
        reads: Budget::new(READS_PER_SECOND),
    }));
    let mut api = ApiDescription::new();
    api.register(transact)?;
    api.register(read)?;
    api.register(list_machines)?;
    api.register(set_machines)?;
    api.register(set_faults)?;
    api.register(get_counts)?;
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, platform, log)
        .config(config)
        .start()
        .map_err(|error| LabError::Server(Box::new(error)))?;
    let _ = server.await;
    Ok(())
}

#[endpoint { method = POST, path = "/table/transaction" }]
async fn transact(
    request: RequestContext<Platform>,
    body: UntypedBody,
) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
    let transaction: Transaction = parse(&body)?;
    let platform = request.context();
    let faults = platform.suffer().await?;
    let reply = platform.state().transact(transaction)?;
    if faults.lose_write_replies {
        return Err(unavailable("reply lost"));
    }
    to_json(&reply)
}

impl State {
    fn transact(&mut self, transaction: Transaction) -> Result<TransactionReply, HttpError> {
        if !self.writes.take() {
            self.counts.over_rate += 1;
            return Err(unavailable("over the rate"));
        }
        self.counts.writes += 1;
        let committed = transaction
            .conditions
            .iter()
            .all(|row| self.rows.get(&row.key) == row.value.as_ref());
        if committed {
            for row in transaction.writes {
                match row.value {
                    Some(value) => self.rows.insert(row.key, value),
                    None => self.rows.remove(&row.key),
                };
            }
        }
        Ok(TransactionReply { committed })
    }

    fn read(&mut self, keys: Vec<String>) -> Result<ReadReply, HttpError> {
        if !self.reads.take() {
            self.counts.over_rate += 1;
            return Err(unavailable("over the rate"));
        }
        self.counts.reads += 1;
        let rows = keys
            .into_iter()
            .map(|key| Row {
                value: self.rows.get(&key).cloned(),
                key,
            })
            .collect();
        Ok(ReadReply { rows })
    }
}

#[endpoint { method = POST, path = "/table/read" }]
async fn read(
    request: RequestContext<Platform>,
    body: UntypedBody,
) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
    let read: ReadRequest = parse(&body)?;
    let platform = request.context();
    platform.suffer().await?;
    let reply = platform.state().read(read.keys)?;
    to_json(&reply)
}

#[endpoint { method = GET, path = "/machines" }]
async fn list_machines(
    request: RequestContext<Platform>,
) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
    let platform = request.context();
    let faults = platform.suffer().await?;
    let mut state = platform.state();
    if !faults.stale_machines {
        state.shown_machines = state.machines.clone();
    }
    to_json(&state.shown_machines)
}

#[endpoint { method = PUT, path = "/control/machines" }]
async fn set_machines(
    request: RequestContext<Platform>,
    body: UntypedBody,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    request.context().state().machines = parse(&body)?;
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = PUT, path = "/control/faults" }]
async fn set_faults(
    request: RequestContext<Platform>,
    body: TypedBody<PlatformFaults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    request.context().state().faults = body.into_inner();
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = GET, path = "/control/counts" }]
async fn get_counts(
    request: RequestContext<Platform>,
) -> Result<HttpResponseOk<PlatformCounts>, HttpError> {
    Ok(HttpResponseOk(request.context().state().counts))
}

fn parse<T: serde::de::DeserializeOwned>(body: &UntypedBody) -> Result<T, HttpError> {
    serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))
}

fn to_json<T: Serialize>(value: &T) -> Result<HttpResponseOk<serde_json::Value>, HttpError> {
    serde_json::to_value(value)
        .map(HttpResponseOk)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

fn unavailable(why: &str) -> HttpError {
    HttpError::for_unavail(None, why.to_owned())
}
