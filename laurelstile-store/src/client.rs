//! The trait behind which the platform stands, and its HTTP client.

use std::future::Future;
use std::time::Duration;

use ::http::Method;
use laurelstile_types::platform::{
    MachineList, ReadReply, ReadRequest, Row, Transaction, TransactionReply,
};

use crate::http::{HttpClient, HttpError};

/// Longest time of one exchange with the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What laurelstile asks of the platform.
pub trait Platform: Send + Sync {
    /// Runs a transaction. An error leaves open whether it took effect.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionReply, HttpError>> + Send;

    /// Reads rows at one point in time, in the order asked for.
    fn read(&self, keys: Vec<String>) -> impl Future<Output = Result<Vec<Row>, HttpError>> + Send;

    /// The lagging machine list.
    fn machines(&self) -> impl Future<Output = Result<MachineList, HttpError>> + Send;
}

/// The platform behind HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: String,
    http: HttpClient,
}

impl HttpPlatform {
    /// The platform at a base address such as `http://IP:port`.
    pub fn new(base: String) -> Self {
        Self {
            base,
            http: HttpClient::new(PLATFORM_TIMEOUT),
        }
    }
}

impl Platform for HttpPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionReply, HttpError> {
        let uri = format!("{}/table/transaction", self.base);
        self.http.json(Method::POST, &uri, &[], transaction).await
    }

    async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, HttpError> {
        let uri = format!("{}/table/read", self.base);
        let request = ReadRequest { keys };
        let reply: ReadReply = self.http.json(Method::POST, &uri, &[], &request).await?;
        Ok(reply.rows)
    }

    async fn machines(&self) -> Result<MachineList, HttpError> {
        let uri = format!("{}/machines", self.base);
        let response = self
            .http
            .exchange(Method::GET, &uri, &[], Vec::new())
            .await?;
        Ok(serde_json::from_slice(&response.body)?)
    }
}
