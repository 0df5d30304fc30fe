//! Calls of the gateway to the platform: polls of the configuration log and the machine list, and
//! claims of idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::gateway::{ClaimOutcome, ClaimRequest, GatewayEvent};
use laurelstile_history::event::Event;
use laurelstile_history::file::HistoryWriter;
use laurelstile_store::claims::{Claim, ClaimFate, claim_all, release_all};
use laurelstile_store::client::{HttpPlatform, Platform};
use laurelstile_store::configuration_log::{read_head, read_revision};
use laurelstile_store::http::HttpError;
use laurelstile_types::platform::MachineList;
use metrics::counter;
use tokio::sync::{mpsc, watch};

use super::input::{ClaimCommand, DriverInput};
use crate::settings::GatewaySettings;
use crate::telemetry::PLATFORM_ERRORS;

/// Pause between batches, during which claims are collected to be written in one transaction.
const CLAIM_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of claims in one transaction.
const MAX_CLAIM_BATCH: usize = 128;
/// Delay before a failed release is retried.
const RELEASE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of attempts to release claims. A claim that is never released blocks its key,
/// but does no other harm.
const MAX_RELEASE_ATTEMPTS: u32 = 120;

/// Starts polling the configuration log and the machine list.
pub fn start_polling(
    settings: &GatewaySettings,
    platform: HttpPlatform,
    input: mpsc::UnboundedSender<DriverInput>,
    machines: watch::Sender<Arc<MachineList>>,
) {
    tokio::spawn(poll_configuration(
        platform.clone(),
        Duration::from_millis(settings.configuration_poll_millis),
        input.clone(),
    ));
    let interval = Duration::from_millis(settings.machines_poll_millis);
    tokio::spawn(poll_machines(platform, interval, input, machines));
}

async fn poll_configuration(
    platform: HttpPlatform,
    interval: Duration,
    input: mpsc::UnboundedSender<DriverInput>,
) {
    let mut known_head = 0;
    while !input.is_closed() {
        match read_newer(&platform, known_head).await {
            Ok(Some(revision)) => {
                known_head = revision.number;
                let event = GatewayEvent::Revision(Arc::new(revision));
                let _ = input.send(DriverInput::Event(event));
            }
            Ok(None) => {}
            Err(error) => record_error("configuration", &error),
        }
        tokio::time::sleep(interval).await;
    }
}

async fn read_newer(
    platform: &HttpPlatform,
    known_head: u64,
) -> Result<Option<laurelstile_types::revision::Revision>, HttpError> {
    let head = read_head(platform).await?;
    if head <= known_head {
        return Ok(None);
    }
    read_revision(platform, head).await
}

async fn poll_machines(
    platform: HttpPlatform,
    interval: Duration,
    input: mpsc::UnboundedSender<DriverInput>,
    machines: watch::Sender<Arc<MachineList>>,
) {
    while !input.is_closed() {
        match platform.machines().await {
            Ok(list) => {
                let event = GatewayEvent::Machines(list.clone());
                let _ = input.send(DriverInput::Event(event));
                machines.send_replace(Arc::new(list));
            }
            Err(error) => record_error("machines", &error),
        }
        tokio::time::sleep(interval).await;
    }
}

/// Starts the task that writes claims and releases in batches, and returns its command queue.
pub fn start_claims(
    platform: HttpPlatform,
    input: mpsc::UnboundedSender<DriverInput>,
    history: HistoryWriter,
) -> mpsc::UnboundedSender<ClaimCommand> {
    let (commands, mut receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut batch = Vec::new();
        while receiver.recv_many(&mut batch, MAX_CLAIM_BATCH).await > 0 {
            let mut claims = Vec::new();
            let mut releases = Vec::new();
            for command in batch.drain(..) {
                match command {
                    ClaimCommand::Claim(request) => claims.push(to_claim(request)),
                    ClaimCommand::Release(request) => releases.push(to_claim(request)),
                }
            }
            if !releases.is_empty() {
                let (platform, history) = (platform.clone(), history.clone());
                tokio::spawn(release_with_retries(platform, releases, history));
            }
            if !claims.is_empty() {
                let writing =
                    write_claims(platform.clone(), claims, input.clone(), history.clone());
                tokio::spawn(writing);
            }
            tokio::time::sleep(CLAIM_BATCH_DELAY).await;
        }
    });
    commands
}

async fn write_claims(
    platform: HttpPlatform,
    claims: Vec<Claim>,
    input: mpsc::UnboundedSender<DriverInput>,
    history: HistoryWriter,
) {
    for claim in &claims {
        history.record(Event::ClaimRequested {
            claim: claim_path(claim),
            submission: claim.submission.to_string(),
        });
    }
    let results = claim_all(&platform, &claims).await;
    for (claim, result) in claims.into_iter().zip(results) {
        let outcome = match result {
            ClaimFate::Granted => ClaimOutcome::Granted,
            ClaimFate::Taken => ClaimOutcome::Taken,
            ClaimFate::Unavailable => ClaimOutcome::Unavailable,
        };
        if result != ClaimFate::Unavailable {
            history.record(Event::ClaimDecided {
                claim: claim_path(&claim),
                submission: claim.submission.to_string(),
                granted: result == ClaimFate::Granted,
            });
        }
        let event = GatewayEvent::Claimed {
            submission: claim.submission,
            outcome,
        };
        let _ = input.send(DriverInput::Event(event));
    }
}

async fn release_with_retries(platform: HttpPlatform, claims: Vec<Claim>, history: HistoryWriter) {
    for claim in &claims {
        history.record(Event::ReleaseRequested {
            claim: claim_path(claim),
            submission: claim.submission.to_string(),
        });
    }
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        match release_all(&platform, &claims).await {
            Ok(()) => {
                for claim in &claims {
                    history.record(Event::ReleaseDone {
                        claim: claim_path(claim),
                        submission: claim.submission.to_string(),
                    });
                }
                return;
            }
            Err(error) => record_error("release", &error),
        }
        tokio::time::sleep(RELEASE_RETRY_DELAY).await;
    }
}

fn to_claim(request: ClaimRequest) -> Claim {
    Claim {
        service: request.service,
        tenant: request.tenant,
        key: request.key,
        submission: request.submission,
    }
}

fn claim_path(claim: &Claim) -> String {
    format!("{}/{}/{}", claim.tenant, claim.service, claim.key)
}

fn record_error(call: &'static str, error: &HttpError) {
    counter!(PLATFORM_ERRORS, "call" => call).increment(1);
    log::warn!(call = call, error:% = error; "call to the platform failed");
}
