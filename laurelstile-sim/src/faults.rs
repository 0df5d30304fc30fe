//! Faults of a run, drawn from a seed.

use rand::Rng;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A gateway is killed and later started anew.
    KillGateway(usize),
    /// An agent is killed and later started anew.
    KillAgent(usize),
    /// A back end is killed and later started anew.
    KillBackend(usize),
    /// A gateway stands still.
    FreezeGateway(usize),
    /// An agent stands still.
    FreezeAgent(usize),
    /// The link from a gateway to an agent carries nothing.
    CutAgentLink(usize, usize),
    /// The link from a gateway to an agent carries nothing towards the agent.
    CutTowardsAgent(usize, usize),
    /// The link from a gateway to an agent carries nothing back.
    CutFromAgent(usize, usize),
    /// The connection from a gateway to an agent is severed.
    SeverAgentLink(usize, usize),
    /// The link between two gateways carries nothing.
    CutPeerLink(usize, usize),
    /// The connection between two gateways is severed.
    SeverPeerLink(usize, usize),
    /// The table does not answer.
    TableDown,
    /// The table's replies to writes are lost.
    TableLosesReplies,
    /// A worker is slow.
    Straggler(usize),
    /// The machine list is stale and a back end is listed as leaving.
    ListedLeaving(usize),
    /// An operator applies a file.
    Apply,
    /// An operator drains a back end.
    Drain(usize),
    /// A gateway is stopped in a planned way and later started anew.
    StopGateway(usize),
    /// An agent is stopped in a planned way and later started anew.
    StopAgent(usize),
}

impl Fault {
    /// Name of its kind.
    pub fn kind(self) -> &'static str {
        match self {
            Self::KillGateway(_) | Self::KillAgent(_) | Self::KillBackend(_) => "kill",
            Self::FreezeGateway(_) | Self::FreezeAgent(_) => "freeze",
            Self::CutAgentLink(..) | Self::CutPeerLink(..) => "cut",
            Self::CutTowardsAgent(..) | Self::CutFromAgent(..) => "one_way_cut",
            Self::SeverAgentLink(..) | Self::SeverPeerLink(..) => "sever",
            Self::TableDown => "table_down",
            Self::TableLosesReplies => "lost_replies",
            Self::Straggler(_) => "straggler",
            Self::ListedLeaving(_) => "leaving",
            Self::Apply => "apply",
            Self::Drain(_) => "drain",
            Self::StopGateway(_) | Self::StopAgent(_) => "planned_stop",
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When it begins, in microseconds.
    pub at: u64,
    /// How long it lasts, in microseconds.
    pub length: u64,
    /// What goes wrong.
    pub fault: Fault,
}

/// Longest fault, longer than every lease, in microseconds.
const LONGEST: u64 = 25_000_000;

/// Draws faults: `count` of them over the first `until` microseconds, on
/// `gateways` gateways and `agents` agents. One worker is never drained.
pub fn draw(
    count: usize,
    until: u64,
    gateways: usize,
    agents: usize,
    random: &mut impl Rng,
) -> Vec<ScheduledFault> {
    let mut faults: Vec<ScheduledFault> = (0..count)
        .map(|_| ScheduledFault {
            at: random.random_range(0..until),
            length: random.random_range(50_000..LONGEST),
            fault: draw_one(gateways, agents, random),
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_one(gateways: usize, agents: usize, random: &mut impl Rng) -> Fault {
    let gateway = random.random_range(0..gateways);
    let other = (gateway + random.random_range(1..gateways)) % gateways;
    let agent = random.random_range(0..agents);
    let leaver = random.random_range(1..agents);
    match random.random_range(0..20) {
        0 | 1 => Fault::KillGateway(gateway),
        2 => Fault::KillAgent(agent),
        3 => Fault::KillBackend(agent),
        4 | 5 => Fault::FreezeGateway(gateway),
        6 => Fault::FreezeAgent(agent),
        7 => Fault::CutAgentLink(gateway, agent),
        8 => Fault::CutTowardsAgent(gateway, agent),
        9 => Fault::CutFromAgent(gateway, agent),
        10 => Fault::SeverAgentLink(gateway, agent),
        11 => Fault::CutPeerLink(gateway, other),
        12 => Fault::SeverPeerLink(gateway, other),
        13 => Fault::TableDown,
        14 => Fault::TableLosesReplies,
        15 => Fault::Straggler(agent),
        16 => Fault::ListedLeaving(leaver),
        17 => Fault::Apply,
        18 => Fault::Drain(leaver),
        _ if random.random_bool(0.5) => Fault::StopGateway(gateway),
        _ => Fault::StopAgent(leaver),
    }
}
