//! Talks to the gateways' operator API.

use std::time::Duration;

use http::{Method, StatusCode};
use laurelstile_store::http::{HttpClient, HttpError};
use laurelstile_types::api::{ChangeAccepted, ChangeRequest, InForce, Status};
use laurelstile_types::id::ChangeId;
use laurelstile_types::revision::{Change, Revision};
use tokio::time::Instant;

use crate::error::OperatorError;

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two rounds over the gateways.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// An operator's access to the gateways.
#[derive(Clone, Debug)]
pub struct Operator {
    gateways: Vec<String>,
    authorization: String,
    http: HttpClient,
}

/// A change to be made.
#[derive(Clone, Debug)]
pub struct ChangeOrder {
    /// Identifier; the same change may be ordered again.
    pub id: ChangeId,
    /// The change.
    pub change: Change,
    /// Revision that must be the newest one.
    pub expected_head: Option<u64>,
    /// How long to try for a final word.
    pub patience: Duration,
}

/// Draws a new change identifier.
pub fn draw_change_id() -> ChangeId {
    ChangeId(format!("{:032x}", rand::random::<u128>()))
}

impl Operator {
    /// An operator that asks these gateways (`http://IP:port`) in turn.
    pub fn new(gateways: Vec<String>, token: &str) -> Self {
        Self {
            gateways,
            authorization: format!("Bearer {token}"),
            http: HttpClient::new(CALL_TIMEOUT),
        }
    }

    /// Has a change accepted. A lost reply is resolved by asking again with
    /// the same identifier, which is accepted only once.
    ///
    /// # Errors
    /// [`OperatorError::Refused`] or [`OperatorError::Unavailable`].
    pub async fn change(&self, order: &ChangeOrder) -> Result<u64, OperatorError> {
        let request = ChangeRequest {
            id: order.id.clone(),
            change: order.change.clone(),
            expected_head: order.expected_head,
        };
        let end = Instant::now() + order.patience;
        let mut last = None;
        loop {
            for gateway in &self.gateways {
                match self.send_change(gateway, &request).await {
                    Ok(accepted) => return Ok(accepted.revision),
                    Err(HttpError::Status { status, body }) if status.is_client_error() => {
                        return Err(OperatorError::Refused {
                            message: message_in(&body),
                        });
                    }
                    Err(error) => last = Some(error),
                }
            }
            if Instant::now() >= end {
                let change = order.id.clone();
                return Err(OperatorError::Unavailable { change, last });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn send_change(
        &self,
        gateway: &str,
        request: &ChangeRequest,
    ) -> Result<ChangeAccepted, HttpError> {
        let uri = format!("{gateway}/v1/operator/changes");
        let headers = [("authorization", self.authorization.as_str())];
        self.http.json(Method::POST, &uri, &headers, request).await
    }

    /// Asks every gateway for its status.
    pub async fn statuses(&self) -> Vec<(String, Result<Status, HttpError>)> {
        let mut statuses = Vec::new();
        for gateway in &self.gateways {
            let status = self.get(gateway, "/v1/operator/status").await;
            statuses.push((gateway.clone(), status));
        }
        statuses
    }

    /// The configuration in force at the first gateway that answers.
    ///
    /// # Errors
    /// [`OperatorError::NoGateway`] if none does.
    pub async fn configuration(&self) -> Result<Option<Revision>, OperatorError> {
        let mut last = None;
        for gateway in &self.gateways {
            match self.get(gateway, "/v1/operator/configuration").await {
                Ok(InForce { revision }) => return Ok(revision),
                Err(error) => last = Some(error),
            }
        }
        Err(OperatorError::NoGateway(last))
    }

    /// Waits until a revision is in force on every gateway and on every agent
    /// that a gateway has a session with.
    ///
    /// # Errors
    /// [`OperatorError::Lagging`] with the nodes that lag in the end.
    pub async fn wait_in_force(
        &self,
        revision: u64,
        patience: Duration,
    ) -> Result<(), OperatorError> {
        let end = Instant::now() + patience;
        loop {
            let lagging = self.lagging(revision).await;
            if lagging.is_empty() {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(OperatorError::Lagging { revision, lagging });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn lagging(&self, revision: u64) -> Vec<String> {
        let mut lagging = Vec::new();
        for (gateway, status) in self.statuses().await {
            let Ok(status) = status else {
                lagging.push(format!("gateway at {gateway} (no answer)"));
                continue;
            };
            if status.revision < revision {
                lagging.push(format!("gateway {} ({})", status.gateway, status.revision));
            }
            for agent in status.agents {
                if agent.revision < revision {
                    lagging.push(format!("agent {} ({})", agent.name, agent.revision));
                }
            }
        }
        lagging.sort();
        lagging.dedup();
        lagging
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        gateway: &str,
        path: &str,
    ) -> Result<T, HttpError> {
        let uri = format!("{gateway}{path}");
        let headers = [("authorization", self.authorization.as_str())];
        let response = self
            .http
            .exchange(Method::GET, &uri, &headers, Vec::new())
            .await?;
        if response.status != StatusCode::OK {
            return Err(HttpError::Status {
                status: response.status,
                body: String::from_utf8_lossy(&response.body).into_owned(),
            });
        }
        Ok(serde_json::from_slice(&response.body)?)
    }
}

/// The `message` of an error body, or the whole body.
fn message_in(body: &str) -> String {
    #[derive(serde::Deserialize)]
    struct Body {
        message: String,
    }
    serde_json::from_str::<Body>(body).map_or_else(|_| body.to_owned(), |body| body.message)
}
