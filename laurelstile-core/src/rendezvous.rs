//! Rendezvous hashing: names the gateway that schedules a pool without an
//! election. Every gateway that sees the same live set names the same one;
//! where views differ the agents, who own the slots, keep starts safe.
//!
//! The idea of routing without a master is that of the paper's section on
//! embedded weighted rendezvous routing; docs/decisions/0001 has our own
//! measurement of one scheduler per pool.

use laurelstile_types::id::{GatewayName, PoolName};
use twox_hash::XxHash64;

const SEED: u64 = 0x6c61_7572_656c;

/// The gateway with the highest score for `pool`, or `None` of none.
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
