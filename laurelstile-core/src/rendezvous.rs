//! Rendezvous hashing: selects, without an election, the gateway that schedules
//! a pool. Gateways with the same set of live peers select the same one. If
//! their views differ, starts are still safe because only the agents decide what
//! starts.
//!
//! Based on the section "Embedded weighted rendezvous routing" of "Mooncake
//! Store-RS Features", but without weights. For the reasons see
//! docs/decisions/0001.

use laurelstile_types::id::{GatewayName, PoolName};
use twox_hash::XxHash64;

const SEED: u64 = 0x6c61_7572_656c;

/// The gateway with the highest score for `pool`; `None` if `live` is empty.
pub fn scheduler_of<'a>(
    pool: &PoolName,
    live: impl Iterator<Item = &'a GatewayName>,
) -> Option<&'a GatewayName> {
    live.max_by_key(|gateway| (score(pool, gateway), *gateway))
}

fn score(pool: &PoolName, gateway: &GatewayName) -> u64 {
    let text = format!("{pool}/{gateway}");
    XxHash64::oneshot(SEED, text.as_bytes())
}
