//! The gateway's dealings with the platform: polling the configuration log
//! and the machine list, and claims.

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

use super::input::{ClaimCall, Input};
use crate::settings::GatewaySettings;
use crate::telemetry::PLATFORM_ERRORS;

/// How long claims wait for one another before a group is written.
const CLAIM_GATHERING: Duration = Duration::from_millis(20);
/// Most claims in one transaction.
const CLAIM_GROUP: usize = 128;
/// Pause before a failed release is tried again.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);
/// How often a release is tried. A claim that stays costs its key, no safety.
const RELEASE_TRIES: u32 = 120;

/// Starts the polls.
pub fn start_polling(
    settings: &GatewaySettings,
    platform: HttpPlatform,
    input: mpsc::UnboundedSender<Input>,
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
    input: mpsc::UnboundedSender<Input>,
) {
    let mut known = 0;
    while !input.is_closed() {
        match read_newer(&platform, known).await {
            Ok(Some(revision)) => {
                known = revision.number;
                let event = GatewayEvent::Revision(Arc::new(revision));
                let _ = input.send(Input::Event(event));
            }
            Ok(None) => {}
            Err(error) => note_error("configuration", &error),
        }
        tokio::time::sleep(interval).await;
    }
}

async fn read_newer(
    platform: &HttpPlatform,
    known: u64,
) -> Result<Option<laurelstile_types::revision::Revision>, HttpError> {
    let head = read_head(platform).await?;
    if head <= known {
        return Ok(None);
    }
    read_revision(platform, head).await
}

async fn poll_machines(
    platform: HttpPlatform,
    interval: Duration,
    input: mpsc::UnboundedSender<Input>,
    machines: watch::Sender<Arc<MachineList>>,
) {
    while !input.is_closed() {
        match platform.machines().await {
            Ok(list) => {
                let event = GatewayEvent::Machines(list.clone());
                let _ = input.send(Input::Event(event));
                machines.send_replace(Arc::new(list));
            }
            Err(error) => note_error("machines", &error),
        }
        tokio::time::sleep(interval).await;
    }
}

/// Starts the task that writes claims in groups.
pub fn start_claims(
    platform: HttpPlatform,
    input: mpsc::UnboundedSender<Input>,
    history: HistoryWriter,
) -> mpsc::UnboundedSender<ClaimCall> {
    let (calls, mut receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut batch = Vec::new();
        while receiver.recv_many(&mut batch, CLAIM_GROUP).await > 0 {
            let mut claims = Vec::new();
            let mut releases = Vec::new();
            for call in batch.drain(..) {
                match call {
                    ClaimCall::Claim(request) => claims.push(claim_of(request)),
                    ClaimCall::Release(request) => releases.push(claim_of(request)),
                }
            }
            if !releases.is_empty() {
                let (platform, history) = (platform.clone(), history.clone());
                tokio::spawn(release_until_done(platform, releases, history));
            }
            if !claims.is_empty() {
                let group = claim_group(platform.clone(), claims, input.clone(), history.clone());
                tokio::spawn(group);
            }
            tokio::time::sleep(CLAIM_GATHERING).await;
        }
    });
    calls
}

async fn claim_group(
    platform: HttpPlatform,
    claims: Vec<Claim>,
    input: mpsc::UnboundedSender<Input>,
    history: HistoryWriter,
) {
    for claim in &claims {
        history.record(Event::ClaimRequested {
            claim: name_of(claim),
            submission: claim.submission.to_string(),
        });
    }
    let fates = claim_all(&platform, &claims).await;
    for (claim, fate) in claims.into_iter().zip(fates) {
        let outcome = match fate {
            ClaimFate::Granted => ClaimOutcome::Granted,
            ClaimFate::Taken => ClaimOutcome::Taken,
            ClaimFate::Unavailable => ClaimOutcome::Unavailable,
        };
        if fate != ClaimFate::Unavailable {
            history.record(Event::ClaimDecided {
                claim: name_of(&claim),
                submission: claim.submission.to_string(),
                granted: fate == ClaimFate::Granted,
            });
        }
        let event = GatewayEvent::Claimed {
            submission: claim.submission,
            outcome,
        };
        let _ = input.send(Input::Event(event));
    }
}

async fn release_until_done(platform: HttpPlatform, claims: Vec<Claim>, history: HistoryWriter) {
    for claim in &claims {
        history.record(Event::ReleaseRequested {
            claim: name_of(claim),
            submission: claim.submission.to_string(),
        });
    }
    for _ in 0..RELEASE_TRIES {
        match release_all(&platform, &claims).await {
            Ok(()) => {
                for claim in &claims {
                    history.record(Event::ReleaseDone {
                        claim: name_of(claim),
                        submission: claim.submission.to_string(),
                    });
                }
                return;
            }
            Err(error) => note_error("release", &error),
        }
        tokio::time::sleep(RELEASE_PAUSE).await;
    }
}

fn claim_of(request: ClaimRequest) -> Claim {
    Claim {
        service: request.service,
        tenant: request.tenant,
        key: request.key,
        submission: request.submission,
    }
}

fn name_of(claim: &Claim) -> String {
    format!("{}/{}/{}", claim.tenant, claim.service, claim.key)
}

fn note_error(call: &'static str, error: &HttpError) {
    counter!(PLATFORM_ERRORS, "call" => call).increment(1);
    log::warn!(call = call, error:% = error; "the platform did not answer");
}
