//! The platform's protocol as laurelstile uses it: rows of a transactional
//! table and the machine list.

use serde::{Deserialize, Serialize};

use crate::id::ZoneName;

/// Key of a row of the table.
pub type RowKey = String;

/// A row: an opaque JSON value under a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Value; `None` where the row does not exist (on writes: delete it).
    pub value: Option<serde_json::Value>,
}

/// A transaction: every condition must hold for any write to take effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows that must have exactly these values (`None`: be absent).
    pub conditions: Vec<Row>,
    /// Rows to write (`None`: delete).
    pub writes: Vec<Row>,
}

/// The table's answer to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Whether the conditions held and the writes took effect.
    pub committed: bool,
}

/// A read of several rows at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<RowKey>,
}

/// The rows, in the order asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows read.
    pub rows: Vec<Row>,
}

/// What a machine of the list runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A gateway.
    Gateway,
    /// A back end with its agent.
    Backend,
}

/// State of a machine as the platform's lagging list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to leave; it must get no new work.
    Leaving,
    /// No longer there.
    Gone,
}

/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the gateway or back end that it runs.
    pub name: String,
    /// What it runs.
    pub role: MachineRole,
    /// Where the gateway's mesh port listens, or the agent's port.
    pub address: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its state.
    pub state: MachineState,
}

/// The platform's machine list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    pub machines: Vec<Machine>,
}
