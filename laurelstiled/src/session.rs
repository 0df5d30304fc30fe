//! Identifiers of this process's sessions.

use std::sync::atomic::{AtomicU64, Ordering};

use laurelstile_core::session::SessionId;

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// A session identifier that is new in this process.
pub fn next_session() -> SessionId {
    SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed))
}
