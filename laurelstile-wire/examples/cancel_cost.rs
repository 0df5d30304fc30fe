//! Measures what cancellations cost: memory of a full log, and bytes of the messages about them.

use laurelstile_core::leased::cancel_log::{CancelList, CancelLog, Cancelled, MAX_CANCELS};
use laurelstile_core::leased::membership::digest::Digest;
use laurelstile_core::leased::messages::{
    CancelConfirmation, CancelRequest, CancelRoundId, ToPeer,
};
use laurelstile_core::leased::task::JobId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::Timestamp;
use laurelstile_wire::codec::encode;

/// Cancellations that a gateway misses which is cut off for 12 s, at 340 a second.
const MISSED: usize = 12 * 340;
const PAGE_BYTES: u64 = 4_096;

/// Memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// An id without a pattern, as callers choose them.
fn job(number: usize) -> JobId {
    JobId((number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn size_of(message: &ToPeer) -> usize {
    encode(message).len()
}

fn main() {
    let before = resident_bytes();
    let mut log = CancelLog::default();
    for number in 0..MAX_CANCELS {
        let cancelled = Cancelled {
            job: job(number),
            at: Timestamp(number as u64),
        };
        log.record(Timestamp(number as u64), cancelled)
            .expect("not full");
    }
    println!(
        "a full log of {MAX_CANCELS}: {} kB",
        (resident_bytes() - before) / 1_000
    );
    let now = Timestamp(20_000_000);
    let missed: Vec<Cancelled> = (0..MISSED)
        .map(|number| Cancelled {
            job: job(number),
            at: Timestamp(8_000_000 + number as u64 * 1_000_000 / 340),
        })
        .collect();
    let list = ToPeer::CancelledEarlier(CancelList::new(now, &missed));
    println!("a list of {MISSED}: {} bytes", size_of(&list));
    let round = CancelRoundId {
        origin: Incarnation(u64::MAX),
        number: 100_000,
    };
    let request = CancelRequest {
        round,
        job: job(1),
        includes_agents: false,
    };
    let confirmation = CancelConfirmation {
        round,
        reached: Digest(u64::MAX),
        was_held: false,
        has_unconfirmed_agents: false,
    };
    println!(
        "a request: {} bytes, a confirmation: {} bytes",
        size_of(&ToPeer::CancelRequested(request)),
        size_of(&ToPeer::CancelConfirmed(confirmation))
    );
}
