//! Session identifiers of this process.

use std::sync::atomic::{AtomicU64, Ordering};

use laurelstile_core::session::SessionId;

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Returns a session identifier that this process has not used before.
pub fn next_session() -> SessionId {
    SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed))
}
