//! The part of the platform's protocol that laurelstile uses: rows of a transactional table, and
//! the machine list.

use serde::{Deserialize, Serialize};

use crate::id::ZoneName;

/// Key of a row, unique in the platform's table.
pub type RowKey = String;

/// A row of the table: an opaque JSON value under a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Value; `None` if the row does not exist, or to delete it in a write.
    pub value: Option<serde_json::Value>,
}

/// A transaction: its writes take effect only if all conditions hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows that must have exactly these values; those whose value is `None` must not exist.
    pub conditions: Vec<Row>,
    /// Rows to write; those whose value is `None` are deleted.
    pub writes: Vec<Row>,
}

/// The table's answer to a [`Transaction`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Whether all conditions held and the writes took effect.
    pub committed: bool,
}

/// A consistent read of several rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<RowKey>,
}

/// The table's answer to a [`ReadRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows, in the order of the requested keys.
    pub rows: Vec<Row>,
}

/// The kind of process that a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A gateway, which other gateways open sessions to.
    Gateway,
    /// A back end with its agent.
    Backend,
}

/// State of a machine in the platform's list, which may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to leave; it must get no new work.
    Leaving,
    /// No longer present.
    Gone,
}

/// A machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the gateway or back end.
    pub name: String,
    /// The kind of process that the machine runs.
    pub role: MachineRole,
    /// Address where the gateway or the agent accepts sessions.
    pub address: String,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Last known state.
    pub state: MachineState,
}

/// The platform's machine list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// All machines that the platform lists, in any state.
    pub machines: Vec<Machine>,
}
