//! Names of nodes, by their index.

/// Name of a gateway.
pub(super) fn gateway_name(index: usize) -> String {
    format!("gateway-{}", index + 1)
}

/// Name of an agent.
pub(super) fn agent_name(index: usize) -> String {
    format!("worker-{}", index + 1)
}
