//! Sessions between processes, as seen by the state machines.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Span;

/// Identifier of a connection between two processes; unique within the
/// lifetime of the local process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// The process at the other end of a session, as announced in its hello
/// message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    /// Name of the gateway or back end.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// How long the process had been running when it sent its hello
    /// message.
    pub uptime: Span,
}

/// Message type label for traffic counters.
pub trait MessageKind {
    /// Short constant name, shared by messages with the same purpose.
    fn kind(&self) -> &'static str;
}
