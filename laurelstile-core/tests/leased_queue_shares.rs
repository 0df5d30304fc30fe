//! Tests for shares of queues: fair shares, the order of waiting jobs under contention, and what
//! remains of both when reports, agents or gateways are lost.

mod leased_support;

use std::sync::Arc;

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_core::leased::gateway::job::JobRequest;
use laurelstile_core::leased::gateway::policies::{Policies, QueueSharesPolicy};
use laurelstile_core::leased::gateway::queues::{
    ConfigurationError, QueueConfiguration, QueueSettings,
};
use laurelstile_core::leased::gateway::shares::{Demand, Standing, fair_shares, is_contended};
use laurelstile_core::leased::gateway::worker_usage::WorkerUsage;
use laurelstile_core::leased::messages::{
    Announcement, FromAgentBody, Offer, Snapshot, StartBatch, ToAgentBody, ToPeer,
};
use laurelstile_core::leased::queue_key::QueueKey;
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::usage::{QueueLoad, UsageReport};
use laurelstile_core::session::SessionId;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{AgentRig, GatewayRig, SESSION, at, cpu, job, queue, task};
use proptest::prelude::*;
use rstest::rstest;

/// A queue of short jobs of the first priority.
const FIRST: &str = "first";
/// A queue of a later priority.
const LATER: &str = "later";
/// Capacity of the worker of most tests, in thousandths of a core.
const CAPACITY: u32 = 10_000;
/// Rank from which on queues are contending.
const CONTENDING: u32 = 10_000;
/// Rank of an unstarted job of a guaranteed queue that has answered none yet.
const UNSTARTED: u32 = 1_001;
/// Session of a second gateway at an agent.
const OTHER: SessionId = SessionId(80);
/// Usage under contention: the later queue demands more than its fair share.
const CONTENTION: [(&str, u32, u32); 2] = [(FIRST, 2_000, 2_000), (LATER, 8_000, 9_000)];

fn settings(name: &str, priority: u32, floor_percent: Option<u32>) -> QueueSettings {
    QueueSettings {
        name: name.into(),
        priority,
        floor_percent,
        ..queue()
    }
}

fn two_queues(version: u64) -> QueueConfiguration {
    QueueConfiguration {
        version,
        queues: vec![
            Arc::new(settings(FIRST, 0, None)),
            Arc::new(settings(LATER, 2, None)),
        ],
    }
}

fn sharing() -> Policies {
    Policies {
        queue_shares: Some(QueueSharesPolicy { floor_percent: 80 }),
        ..Policies::default()
    }
}

/// A gateway that shares capacity between two queues, with a worker that has no free resources.
fn sharing_gateway() -> GatewayRig {
    gateway_of(sharing(), two_queues(1))
}

/// A gateway that shares capacity between queues, before the first configuration.
fn unconfigured_gateway() -> GatewayRig {
    GatewayRig::unconfigured("gateway", Incarnation(0), sharing())
}

fn gateway_of(policies: Policies, configuration: QueueConfiguration) -> GatewayRig {
    let mut rig = GatewayRig::with_policies(policies, configuration);
    rig.join(at(1), 1, "agent-1", cpu(CAPACITY));
    rig.report(at(2), 1, 0, cpu(0), FromAgentBody::Heartbeat);
    rig
}

fn job_of(name: &str, id: u64, tasks: u32) -> JobRequest {
    let priority = if name == FIRST { 0 } else { 2 };
    JobRequest {
        queue: Arc::new(settings(name, priority, None)),
        ..job(id, tasks, 200)
    }
}

fn standing_of(rig: &GatewayRig, millis: u64, name: &str) -> Standing {
    let priority = if name == FIRST { 0 } else { 2 };
    rig.machine
        .standing(at(millis), &settings(name, priority, None))
}

fn demand(running: u64, waiting: u64, floor: u64) -> Demand {
    Demand {
        running,
        waiting,
        floor,
    }
}

fn demands() -> impl Strategy<Value = Vec<Demand>> {
    let demand = (0..2_000_u64, 0..2_000_u64, 0..1_000_u64);
    let demand = demand.prop_map(|(running, waiting, floor)| Demand {
        running,
        waiting,
        floor,
    });
    prop::collection::vec(demand, 0..6)
}

proptest! {
    /// Guards against shares that promise more than the capacity, or capacity to a queue that does
    /// not want it, or that leave capacity unused.
    #[test]
    fn shares_fit_into_the_demands_and_the_capacity(
        capacity in 0..6_000_u64,
        demands in demands(),
    ) {
        let shares = fair_shares(capacity, &demands);
        let total: u64 = shares.iter().sum();
        prop_assert!(total <= capacity);
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share <= demand.total());
        }
        if is_contended(capacity, &demands) {
            prop_assert!(total + demands.len() as u64 > capacity, "{shares:?}");
        } else {
            let wanted: Vec<u64> = demands.iter().map(|demand| demand.total()).collect();
            prop_assert_eq!(shares, wanted);
        }
    }

    /// Guards against an unfair division: no queue has less than it demands while another has more
    /// than it, unless by its floor.
    #[test]
    fn no_queue_is_kept_short_while_another_has_more(
        capacity in 0..6_000_u64,
        demands in demands(),
    ) {
        let floors: u64 = demands.iter().map(|demand| demand.total().min(demand.floor)).sum();
        prop_assume!(floors <= capacity);
        let shares = fair_shares(capacity, &demands);
        let queues: Vec<(u64, Demand)> = shares.into_iter().zip(demands).collect();
        for (share, demand) in &queues {
            let is_short = *share < demand.total();
            prop_assert!(*share >= demand.total().min(demand.floor));
            for (other_share, other) in &queues {
                let is_covered = *other_share <= other.floor;
                prop_assert!(!is_short || is_covered || other_share <= share, "{queues:?}");
            }
        }
    }
}

#[rstest]
#[case::equal_parts(&[demand(50, 50, 0), demand(0, 200, 0)], &[50, 50])]
#[case::what_one_leaves(&[demand(20, 0, 0), demand(100, 100, 0)], &[20, 80])]
#[case::floor_first(&[demand(0, 90, 70), demand(100, 100, 0)], &[70, 30])]
#[case::floor_not_demanded(&[demand(10, 0, 70), demand(100, 100, 0)], &[10, 90])]
#[case::floors_over_capacity(&[demand(300, 0, 150), demand(300, 0, 50)], &[75, 25])]
fn capacity_is_shared_fairly(#[case] demands: &[Demand], #[case] shares: &[u64]) {
    assert_eq!(fair_shares(100, demands), shares);
}

/// Guards against a queue above its share that loses more than its priority may cost it.
#[rstest]
#[case::within_share((3_000, 1_000), (7_000, 9_000), Standing::Guaranteed)]
#[case::above_share((5_000, 4_000), (5_000, 5_000), Standing::Contending)]
#[case::runs_less_than_its_part((3_900, 9_000), (6_100, 9_000), Standing::Guaranteed)]
#[case::runs_its_part((4_000, 9_000), (6_000, 9_000), Standing::Contending)]
#[case::runs_its_part_of_what_runs((3_200, 9_000), (4_800, 9_000), Standing::Contending)]
fn a_queue_above_its_share_contends_while_it_runs_its_guaranteed_part(
    #[case] later: (u32, u32),
    #[case] first: (u32, u32),
    #[case] standing: Standing,
) {
    let mut rig = sharing_gateway();
    let usage = [(FIRST, first.0, first.1), (LATER, later.0, later.1)];
    rig.report_usage(at(10), 1, &usage);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert!(rig.machine.is_under_contention(at(20), "parcels"));
    assert_eq!(standing_of(&rig, 20, LATER), standing);
}

/// Guards against an order that changes with each job: demands vary around the capacity.
#[test]
fn usage_is_averaged_over_the_last_reports() {
    let mut rig = sharing_gateway();
    rig.report_usage(at(10), 1, &CONTENTION);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    let below = [(FIRST, 2_000, 0), (LATER, 7_000, 0)];
    rig.report_usage(at(30), 1, &below);
    rig.submit(at(40), 2, job_of(LATER, 2, 1));
    assert_eq!(standing_of(&rig, 40, LATER), Standing::Contending);
    for millis in (130..=530).step_by(100) {
        rig.report_usage(at(millis), 1, &below);
    }
    rig.submit(at(540), 3, job_of(LATER, 3, 1));
    assert!(!rig.machine.is_under_contention(at(540), "parcels"));
    assert_eq!(standing_of(&rig, 540, LATER), Standing::Guaranteed);
}

/// Guards against a burst of one queue that takes the resources that become free from another one.
#[test]
fn under_contention_the_queue_within_its_share_goes_first() {
    let mut rig = sharing_gateway();
    rig.report_usage(at(10), 1, &CONTENTION);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    rig.submit(at(21), 2, job_of(FIRST, 2, 1));
    assert!(rig.machine.is_under_contention(at(21), "parcels"));
    assert_eq!(standing_of(&rig, 21, FIRST), Standing::Guaranteed);
    assert_eq!(standing_of(&rig, 21, LATER), Standing::Contending);
    let ranks: Vec<u32> = rig
        .announced
        .iter()
        .map(|announced| announced.rank)
        .collect();
    assert_eq!(ranks, [CONTENDING + 2 * 2_000 + 1_000, 1_001]);
    let offer = Offer {
        number: 1,
        resources: cpu(1_000),
    };
    rig.offer(at(22), 1, offer);
    assert_eq!(rig.next_start().1.job, JobId(2));
    assert!(
        rig.queue_shares
            .contains(&(LATER.into(), Standing::Contending))
    );
}

/// Guards against a change of any decision or message without the policy.
#[test]
fn without_the_policy_usage_changes_nothing() {
    let mut rig = gateway_of(Policies::default(), two_queues(1));
    rig.report_usage(at(10), 1, &CONTENTION);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    rig.submit(at(21), 2, job_of(FIRST, 2, 1));
    assert!(!rig.machine.is_under_contention(at(21), "parcels"));
    assert_eq!(standing_of(&rig, 21, LATER), Standing::Guaranteed);
    assert!(
        rig.announced
            .iter()
            .all(|announced| announced.queue.is_none())
    );
    assert!(
        rig.announced
            .iter()
            .all(|announced| announced.rank == 1_001)
    );
    let offer = Offer {
        number: 1,
        resources: cpu(1_000),
    };
    rig.offer(at(22), 1, offer);
    let (_, batch) = rig.next_start();
    assert_eq!((batch.job, batch.queue), (JobId(1), None));
    assert!(rig.queue_shares.is_empty());
}

/// Guards against an order by shares where no queue has a precedence.
#[test]
fn queues_with_equal_priorities_are_guaranteed() {
    let queues = vec![
        Arc::new(settings(FIRST, 1, None)),
        Arc::new(settings(LATER, 1, None)),
    ];
    let mut rig = gateway_of(sharing(), QueueConfiguration { version: 1, queues });
    rig.report_usage(at(10), 1, &CONTENTION);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert!(rig.machine.is_under_contention(at(20), "parcels"));
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Guaranteed);
}

/// Guards against a floor that does not hold: a queue is guaranteed up to its floor, above what equal
/// parts would give it.
#[test]
fn a_queue_within_its_floor_is_guaranteed() {
    let queues = vec![
        Arc::new(settings(FIRST, 0, None)),
        Arc::new(settings(LATER, 2, Some(80))),
    ];
    let mut rig = gateway_of(sharing(), QueueConfiguration { version: 1, queues });
    rig.report_usage(at(10), 1, &[(FIRST, 5_000, 5_000), (LATER, 5_000, 3_000)]);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Guaranteed);
    assert_eq!(standing_of(&rig, 20, FIRST), Standing::Contending);
}

/// Usage under contention of a worker of one core.
const SMALL_CONTENTION: [(&str, u32, u32); 2] = [(FIRST, 200, 200), (LATER, 800, 900)];

/// A gateway with a started job of the first queue, one task of which waits. Its objective of 360 ms
/// leaves 152 ms for that task, which takes 200 ms.
fn gateway_with_started_job(policies: Policies) -> GatewayRig {
    let mut rig = GatewayRig::with_policies(policies, two_queues(1));
    rig.join(at(1), 1, "agent-1", cpu(1_000));
    rig.submit(at(10), 1, job_of(FIRST, 1, 2));
    assert_eq!(rig.next_start().1.tasks.len(), 1);
    rig
}

fn last_rank(rig: &GatewayRig) -> Option<u32> {
    rig.announced.last().map(|announced| announced.rank)
}

/// Guards against free resources that go to jobs which miss their objective anyway, before those that
/// could still meet it. Without contention the order is that of a gateway without shares.
#[rstest]
#[case::under_contention(sharing(), &SMALL_CONTENTION, UNSTARTED)]
#[case::without_contention(sharing(), &[], 0)]
#[case::without_shares(Policies::default(), &SMALL_CONTENTION, 0)]
fn a_started_job_that_can_no_longer_be_in_time_loses_its_precedence_under_contention(
    #[case] policies: Policies,
    #[case] usage: &[(&str, u32, u32)],
    #[case] rank: u32,
) {
    let mut rig = gateway_with_started_job(policies);
    rig.report_usage(at(100), 1, usage);
    assert_eq!(last_rank(&rig), Some(0));
    for millis in (200..1_200).step_by(100) {
        rig.report_usage(at(millis), 1, usage);
    }
    assert_eq!(last_rank(&rig), Some(rank));
}

/// Guards against a started job that waits behind those of guaranteed queues until its caller gives
/// up: resources go to it before later jobs of its queue.
#[test]
fn a_late_started_job_goes_before_later_jobs_of_its_queue() {
    let mut rig = gateway_with_started_job(sharing());
    for millis in (100..=400).step_by(100) {
        rig.report_usage(at(millis), 1, &SMALL_CONTENTION);
    }
    rig.submit(at(401), 2, job_of(FIRST, 2, 1));
    let offer = Offer {
        number: 1,
        resources: cpu(1_000),
    };
    rig.offer(at(402), 1, offer);
    assert_eq!(rig.next_start().1.job, JobId(1));
}

/// Guards against a late job that keeps its earlier rank at agents until the next event.
#[test]
fn a_started_job_is_announced_with_its_new_rank_when_it_turns_late() {
    let mut rig = gateway_with_started_job(sharing());
    rig.report_usage(at(100), 1, &SMALL_CONTENTION);
    // The objective ends at 370 ms, the task takes 200 ms, and the callers' network 8 ms.
    let late_from = Timestamp(at(162).0 + 1);
    while last_rank(&rig) == Some(0) {
        let wakeup = rig.machine.next_wakeup().expect("a timer");
        assert!(wakeup <= late_from, "no announcement");
        rig.tick(wakeup);
    }
    assert_eq!(last_rank(&rig), Some(UNSTARTED));
}

/// Guards against a waiting job that no agent knows after a session has closed, until it is refused.
#[test]
fn an_announcement_lost_with_its_session_goes_to_another_agent() {
    let mut rig = sharing_gateway();
    rig.join(at(3), 2, "agent-2", cpu(CAPACITY));
    rig.report(at(4), 2, 0, cpu(0), FromAgentBody::Heartbeat);
    rig.submit(at(10), 1, job_of(FIRST, 1, 1));
    assert_eq!(rig.announced_to.len(), 1, "one agent for one task");
    let first = rig.announced_to[0];
    rig.lose_session(at(12), first.0);
    let other = SessionId(3 - first.0);
    assert_eq!(rig.announced_to, [first, other]);
}

/// Guards against the same where the only agent returns with a full worker.
#[test]
fn an_announcement_lost_with_its_session_is_repeated_on_the_next_one() {
    let mut rig = sharing_gateway();
    rig.submit(at(10), 1, job_of(FIRST, 1, 1));
    rig.lose_session(at(12), 1);
    rig.open_agent(at(20), 3, "agent-1", Incarnation(1), Span::default());
    let snapshot = Snapshot {
        service: "parcels".into(),
        zone: "here".into(),
        capacity: cpu(CAPACITY),
        labels: Vec::new(),
        held: Vec::new(),
        session: None,
        control: None,
        honors_claims: false,
    };
    rig.report(at(20), 3, 0, cpu(0), FromAgentBody::Snapshot(snapshot));
    assert_eq!(rig.announced_to, [SessionId(1), SessionId(3)]);
}

/// An agent that is lost takes its capacity away: the demand of the others may then exceed the rest.
#[rstest]
#[case::session_closes(true)]
#[case::falls_silent(false)]
fn the_capacity_of_a_lost_agent_does_not_count(#[case] closes: bool) {
    let mut rig = sharing_gateway();
    rig.join(at(2), 2, "agent-2", cpu(3 * CAPACITY));
    rig.report_usage(at(2_300), 1, &CONTENTION);
    rig.report_usage(at(2_300), 2, &[]);
    let idle = cpu(3 * CAPACITY);
    rig.report(at(2_301), 2, 0, idle, FromAgentBody::Heartbeat);
    rig.submit(at(2_310), 1, job_of(LATER, 1, 1));
    assert!(!rig.machine.is_under_contention(at(2_310), "parcels"));
    let mut millis = 2_320;
    if closes {
        rig.lose_session(at(millis), 2);
    } else {
        // An agent without tasks of the gateway counts as silent after 2.2 s.
        millis = 4_600;
    }
    rig.report_usage(at(millis), 1, &CONTENTION);
    rig.submit(at(millis + 10), 2, job_of(LATER, 2, 1));
    assert!(rig.machine.is_under_contention(at(millis + 10), "parcels"));
}

/// Guards against a demand that outlives its agent: the queues would be held to shares without need.
#[test]
fn the_usage_of_a_lost_agent_does_not_count() {
    let mut rig = sharing_gateway();
    rig.join(at(2), 2, "agent-2", cpu(CAPACITY));
    rig.report_usage(at(10), 1, &[(FIRST, 5_000, 1_000)]);
    rig.report_usage(at(10), 2, &[(LATER, 10_000, 9_000)]);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert!(rig.machine.is_under_contention(at(20), "parcels"));
    rig.lose_session(at(30), 2);
    rig.submit(at(80), 2, job_of(LATER, 2, 1));
    assert!(!rig.machine.is_under_contention(at(80), "parcels"));
    assert_eq!(standing_of(&rig, 80, LATER), Standing::Guaranteed);
}

/// The agent tells a gateway that has just started how the queues use the worker, although the
/// gateway that placed the runs is lost and no other has announced a task.
#[test]
fn a_new_gateway_receives_the_usage_with_the_first_report() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = keyed_batch(&mut rig, LATER, 2);
    rig.message(at(10), batch);
    rig.message(at(11), announce(&[(2, FIRST)]));
    rig.event(at(20), AgentEvent::Closed { session: SESSION });
    rig.open(at(30), OTHER, Incarnation(8));
    assert_eq!(usages(&rig, OTHER), [usage(&[(LATER, 2_000, 0)])]);
}

/// A gateway orders by shares from its first reports on.
#[test]
fn a_new_gateway_orders_by_shares_at_once() {
    let mut rig = sharing_gateway();
    rig.report_usage(at(3), 1, &CONTENTION);
    rig.submit(at(4), 1, job_of(LATER, 1, 1));
    assert_eq!(standing_of(&rig, 4, LATER), Standing::Contending);
}

/// Guards against an overflow of the product of share and use with large capacities.
#[test]
fn shares_of_large_capacities_do_not_overflow() {
    let mut rig = GatewayRig::with_policies(sharing(), two_queues(1));
    for agent in 1..=4 {
        rig.join(at(1), agent, &format!("agent-{agent}"), cpu(u32::MAX));
        let half = u32::MAX / 2;
        let loads = [(FIRST, half, u32::MAX), (LATER, half, u32::MAX)];
        rig.report_usage(at(10), agent, &loads);
    }
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Contending);
}

/// Guards against contention that is missed while a short backlog is announced to few agents: the
/// full workers of the others report no usage and are no capacity for the backlog.
#[rstest]
#[case::the_other_worker_is_full(0, true)]
#[case::the_other_worker_is_idle(3 * CAPACITY, false)]
fn without_recent_usage_only_free_capacity_counts(#[case] free: u32, #[case] is_contended: bool) {
    let mut rig = sharing_gateway();
    rig.join(at(2), 2, "agent-2", cpu(3 * CAPACITY));
    rig.report(at(3), 2, 0, cpu(free), FromAgentBody::Heartbeat);
    rig.report_usage(at(10), 1, &CONTENTION);
    let mut request = job_of(LATER, 1, 1);
    request.steps[0].resources = cpu(4 * CAPACITY);
    rig.submit(at(20), 1, request);
    assert_eq!(
        rig.machine.is_under_contention(at(20), "parcels"),
        is_contended
    );
}

/// How the agent of a worker that has no free resources has come to report no runs.
#[derive(Clone, Copy)]
enum NoRuns {
    /// No task waits for the worker any more.
    NothingWaits,
    /// The agent's announcements were lost with its session.
    SessionLost,
    /// The report that no task waits is out of date.
    OutOfDate,
    /// The agent is of an older version.
    OlderVersion,
}

/// Guards against contention that ends while a burst goes on: the workers for which no task waits at
/// the moment are as full as the others, and do not count as free.
#[rstest]
#[case::nothing_waits(NoRuns::NothingWaits)]
#[case::session_lost(NoRuns::SessionLost)]
#[case::out_of_date(NoRuns::OutOfDate)]
#[case::older_version(NoRuns::OlderVersion)]
fn a_full_worker_whose_runs_are_not_reported_is_no_free_capacity(#[case] why: NoRuns) {
    let mut rig = sharing_gateway();
    let full = |rig: &mut GatewayRig, millis: u64| {
        rig.report(at(millis), 2, 0, cpu(0), FromAgentBody::Heartbeat);
    };
    rig.join(at(2), 2, "agent-2", cpu(3 * CAPACITY));
    match why {
        NoRuns::NothingWaits => rig.report_usage(at(1_000), 2, &[]),
        NoRuns::SessionLost => {
            rig.report_usage(at(900), 2, &CONTENTION);
            rig.lose_session(at(950), 2);
            rig.join(at(960), 2, "agent-2", cpu(3 * CAPACITY));
            rig.report_usage(at(1_000), 2, &[]);
        }
        NoRuns::OutOfDate => rig.report_usage(at(400), 2, &[]),
        NoRuns::OlderVersion => {}
    }
    full(&mut rig, 1_000);
    rig.report_usage(at(1_000), 1, &CONTENTION);
    rig.submit(at(1_010), 1, job_of(LATER, 1, 1));
    assert!(rig.machine.is_under_contention(at(1_010), "parcels"));
    assert_eq!(standing_of(&rig, 1_010, FIRST), Standing::Guaranteed);
    assert_eq!(standing_of(&rig, 1_010, LATER), Standing::Contending);
}

/// Guards against contention where there are free resources: they count although the agent reports
/// no runs.
#[test]
fn the_free_part_of_a_worker_whose_runs_are_not_reported_counts() {
    let mut rig = sharing_gateway();
    rig.join(at(2), 2, "agent-2", cpu(3 * CAPACITY));
    rig.report_usage(at(10), 2, &[]);
    rig.report(at(11), 2, 0, cpu(2 * CAPACITY), FromAgentBody::Heartbeat);
    rig.report_usage(at(12), 1, &CONTENTION);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert!(!rig.machine.is_under_contention(at(20), "parcels"));
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Guaranteed);
}

/// Guards against demands that include runs whose capacity does not count: both come from the
/// averages of the earlier reports.
#[test]
fn runs_known_from_earlier_reports_count_with_their_capacity() {
    let mut worker = WorkerUsage::default();
    worker.record(at(0), &usage(&[(FIRST, 4_000, 1_000)]));
    assert_eq!(worker.counted_capacity(at(0), CAPACITY, 0), 10_000);
    worker.record(at(100), &usage(&[]));
    assert_eq!(worker.counted_capacity(at(100), CAPACITY, 0), 2_000);
    assert_eq!(worker.counted_capacity(at(100), CAPACITY, 3_000), 5_000);
    assert_eq!(worker.counted_capacity(at(100), CAPACITY, 9_000), 10_000);
    assert_eq!(worker.counted_capacity(at(601), CAPACITY, 3_000), 3_000);
}

/// Guards against an order by shares that are long out of date.
#[test]
fn usage_that_is_not_renewed_does_not_count() {
    let mut rig = sharing_gateway();
    rig.report_usage(at(10), 1, &CONTENTION);
    rig.submit(at(20), 1, job_of(LATER, 1, 1));
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Contending);
    rig.report(at(500), 1, 0, cpu(0), FromAgentBody::Heartbeat);
    rig.submit(at(505), 2, job_of(LATER, 2, 1));
    assert_eq!(standing_of(&rig, 505, LATER), Standing::Contending);
    rig.report(at(560), 1, 0, cpu(0), FromAgentBody::Heartbeat);
    rig.submit(at(570), 3, job_of(LATER, 3, 1));
    assert_eq!(standing_of(&rig, 570, LATER), Standing::Guaranteed);
    assert!(
        rig.queue_shares
            .ends_with(&[(LATER.into(), Standing::Guaranteed)])
    );
    rig.report_usage(at(600), 1, &CONTENTION);
    rig.submit(at(610), 4, job_of(LATER, 4, 1));
    assert_eq!(standing_of(&rig, 610, LATER), Standing::Contending);
}

/// The runs and the waiting tasks of a gateway that names no queues count for none.
#[test]
fn the_tasks_of_an_older_gateway_count_for_no_queue() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    rig.open(at(1), OTHER, Incarnation(8));
    let old_batch = rig.batch(1, 4, 4);
    rig.message(at(10), old_batch);
    rig.message(at(11), announce_unnamed(5));
    rig.message_from(at(12), OTHER, announce(&[(2, FIRST)]));
    for millis in (20..1_100).step_by(20) {
        rig.message_from(at(millis), OTHER, ToAgentBody::Heartbeat);
    }
    let sent = usages(&rig, OTHER);
    let named = usage(&[(FIRST, 0, 1_000)]);
    assert!(
        !sent.is_empty() && sent.iter().all(|usage| *usage == named),
        "{sent:?}"
    );
}

/// An agent that reports no usage, as an older one, leaves all queues guaranteed.
#[test]
fn without_any_usage_all_queues_are_guaranteed() {
    let mut rig = sharing_gateway();
    rig.submit(at(10), 1, job_of(LATER, 1, 1));
    rig.report(at(20), 1, 0, cpu(0), FromAgentBody::Heartbeat);
    assert!(!rig.machine.is_under_contention(at(20), "parcels"));
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Guaranteed);
    assert!(
        rig.announced
            .iter()
            .all(|announced| announced.rank == 1_001)
    );
}

/// Guards against capacity that is promised twice: what a removed queue still uses is not free.
#[test]
fn the_usage_of_a_removed_queue_counts_until_it_ends() {
    let mut rig = sharing_gateway();
    let queues = vec![
        Arc::new(settings(FIRST, 0, None)),
        Arc::new(settings("third", 1, None)),
    ];
    let configuration = QueueConfiguration { version: 2, queues };
    rig.event(at(5), GatewayEvent::Configuration(configuration));
    rig.report_usage(at(10), 1, &[(FIRST, 4_000, 3_000), (LATER, 6_000, 0)]);
    rig.submit(at(20), 1, job_of(FIRST, 1, 1));
    assert_eq!(standing_of(&rig, 20, FIRST), Standing::Contending);
    for millis in (110..=310).step_by(100) {
        rig.report_usage(at(millis), 1, &[(FIRST, 4_000, 3_000)]);
    }
    rig.submit(at(320), 2, job_of(FIRST, 2, 1));
    assert_eq!(standing_of(&rig, 320, FIRST), Standing::Guaranteed);
}

/// Guards against usage reports that outnumber or outlast the need for them.
#[test]
fn an_agent_reports_usage_at_intervals_while_tasks_wait() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = keyed_batch(&mut rig, FIRST, 4);
    rig.message(at(10), batch);
    assert!(usages(&rig, SESSION).is_empty());
    rig.message(at(20), announce(&[(2, LATER), (3, LATER)]));
    for millis in (30..330).step_by(10) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    let waiting = usage(&[(FIRST, 4_000, 0), (LATER, 0, 2_000)]);
    let sent = usages(&rig, SESSION);
    assert!((3..=4).contains(&sent.len()), "{sent:?}");
    assert!(sent.iter().all(|usage| *usage == waiting), "{sent:?}");
    let withdrawn = [2, 3].map(|job| Announcement::withdrawn(JobId(job), 0));
    rig.message(at(340), ToAgentBody::Announce(withdrawn.into()));
    for millis in (350..1_000).step_by(10) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    let after = usages(&rig, SESSION).split_off(sent.len());
    assert_eq!(after, [UsageReport::default()]);
}

/// Guards against a scan of all announced steps for each message while no usage is sent, and against
/// usage that comes late because of the interval between two scans.
#[test]
fn usage_is_examined_at_intervals_also_while_none_is_sent() {
    let mut rig = AgentRig::with_worker(cpu(8_000));
    let batch = keyed_batch(&mut rig, FIRST, 4);
    rig.message(at(10), batch);
    for millis in (20..500).step_by(10) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    // Each batch changes the free resources, so that a message is sent for it.
    let before = rig.sent.len();
    let batch = rig.batch(3, 1, 4);
    rig.message(at(700), batch);
    assert!(rig.sent.len() > before, "examined at 700 ms");
    let before = rig.sent.len();
    let mut waiting = announcement(2, Some(LATER));
    waiting.resources = cpu(8_000);
    rig.message(at(720), ToAgentBody::Announce(vec![waiting]));
    let batch = rig.batch(4, 1, 4);
    rig.message(at(740), batch);
    for millis in (750..=950).step_by(10) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    let sent = &rig.sent[before..];
    let is_early = |clock| clock < at(800);
    assert!(sent.iter().any(|(_, message)| is_early(message.clock)));
    let reported = sent.iter().find(|(_, message)| message.usage.is_some());
    let (_, reported) = reported.expect("usage");
    assert!(!is_early(reported.clock), "{:?}", reported.clock);
}

/// Guards against usage that is not reported, or not at once, after a time without any queue key.
#[test]
fn the_first_queue_key_is_reported_at_once() {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = rig.batch(1, 4, 4);
    rig.message(at(10), batch);
    rig.message(at(20), announce_unnamed(5));
    for millis in (30..=400).step_by(10) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    assert!(usages(&rig, SESSION).is_empty());
    let before = rig.sent.len();
    rig.message(at(410), announce(&[(2, FIRST)]));
    for millis in (420..=500).step_by(10) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    let named = usage(&[(FIRST, 0, 1_000)]);
    assert_eq!(rig.sent[before].1.usage.as_deref(), Some(&named));
}

/// Guards against a step that counts once for each of its tasks at each of the agents that it is
/// announced to: as many agents as it has tasks.
#[test]
fn a_waiting_step_counts_one_task_at_an_agent() {
    let mut announcement = announcement(2, Some(FIRST));
    announcement.count = 8;
    announcement.resources = cpu(2_000);
    let sent = usages_of_full_agent(vec![announcement]);
    let expected = usage(&[(FIRST, 0, 2_000), (LATER, 4_000, 0)]);
    assert_eq!(sent.last(), Some(&expected));
}

/// Guards against a job that fits no worker and makes its service look contended.
#[test]
fn a_waiting_step_that_does_not_fit_the_worker_is_no_demand() {
    let mut too_large = announcement(2, Some(FIRST));
    too_large.resources = cpu(100_000);
    let sent = usages_of_full_agent(vec![too_large, announcement(3, Some(FIRST))]);
    let expected = usage(&[(FIRST, 0, 1_000), (LATER, 4_000, 0)]);
    assert_eq!(sent.last(), Some(&expected));
    // Only the first report of the session names the runs, as if nothing waited.
    let sent = usages_of_full_agent(vec![too_large]);
    let first = usage(&[(LATER, 4_000, 0)]);
    assert_eq!(sent, [first, UsageReport::default()]);
}

/// Guards against announcements to agents whose workers can never hold a task.
#[rstest]
#[case::larger_than_the_worker(sharing(), 100_000, 0)]
#[case::as_large_as_the_worker(sharing(), CAPACITY, 1)]
#[case::without_the_policy(Policies::default(), 100_000, 1)]
fn a_step_is_announced_only_to_workers_that_can_hold_a_task(
    #[case] policies: Policies,
    #[case] cpu_millis: u32,
    #[case] announcements: usize,
) {
    let mut rig = gateway_of(policies, two_queues(1));
    let mut request = job_of(FIRST, 1, 1);
    request.steps[0].resources = cpu(cpu_millis);
    rig.submit(at(10), 1, request);
    assert_eq!(rig.announced.len(), announcements);
}

/// Guards against a queue whose tasks crash workers that takes the resources of the others before it
/// is contained. The suspects expire after 4 s.
#[test]
fn a_queue_with_a_suspected_task_is_contending() {
    let mut rig = sharing_gateway();
    rig.open_peer(at(3), SessionId(9));
    let suspect = ToPeer::Suspect {
        queue: FIRST.into(),
        task: task(7, 0),
    };
    rig.peer_message(at(10), SessionId(9), suspect);
    rig.submit(at(20), 1, job_of(FIRST, 1, 1));
    assert!(!rig.machine.is_under_contention(at(20), "parcels"));
    assert_eq!(standing_of(&rig, 20, FIRST), Standing::Contending);
    assert_eq!(standing_of(&rig, 20, LATER), Standing::Guaranteed);
    let rank = rig.announced.last().map(|announced| announced.rank);
    assert_eq!(rank, Some(CONTENDING + 1_000));
    rig.tick(at(4_100));
    assert_eq!(standing_of(&rig, 4_100, FIRST), Standing::Guaranteed);
}

/// Guards against a configuration that a value of one queue keeps out of force, so that callers of added
/// queues get 404 and jobs of removed ones run.
#[rstest]
#[case::above_a_byte(256)]
#[case::above_all_earlier_ranks(3_000_000)]
#[case::largest(u32::MAX)]
fn any_priority_comes_into_force(#[case] priority: u32) {
    let queues = vec![settings(FIRST, 0, None), settings("added", priority, None)];
    let expected: Vec<Arc<QueueSettings>> = queues.into_iter().map(Arc::new).collect();
    for mut rig in [sharing_gateway(), unconfigured_gateway()] {
        let configuration = QueueConfiguration {
            version: 2,
            queues: expected.clone(),
        };
        rig.event(at(10), GatewayEvent::Configuration(configuration));
        let in_force = rig.configurations.last().expect("a configuration");
        assert_eq!((in_force.version, &in_force.queues), (2, &expected));
        assert!(rig.clamped_configurations.is_empty());
    }
}

/// Guards against floors out of range that keep a configuration out of force, at the gateways that have
/// an earlier one or at those that have none: both put the same values in force, and report them once.
#[rstest]
#[case::floor(vec![settings(FIRST, 0, Some(101))], [Some(100)], "first", "101")]
#[case::sum_of_floors(
    vec![settings(FIRST, 0, Some(60)), settings(LATER, 2, Some(41))],
    [Some(59), Some(40)], "later", "101"
)]
#[case::single_floors_and_their_sum(
    vec![
        settings(FIRST, 256, Some(150)),
        settings(LATER, 2, Some(25)),
        settings("third", 2, Some(u32::MAX)),
    ],
    [Some(80), Some(20), None], "first", "150"
)]
#[case::unreadable(
    vec![settings(FIRST, 0, Some(u32::MAX)), settings(LATER, 2, Some(25))],
    [None, Some(25)], "first", "4294967295"
)]
fn floors_out_of_range_are_clamped_at_each_gateway<const QUEUES: usize>(
    #[case] queues: Vec<QueueSettings>,
    #[case] floors: [Option<u32>; QUEUES],
    #[case] queue: &str,
    #[case] value: &str,
) {
    let wrong = QueueConfiguration {
        version: 2,
        queues: queues.into_iter().map(Arc::new).collect(),
    };
    for mut rig in [sharing_gateway(), unconfigured_gateway()] {
        // The store is read again and again, and the version is reported once.
        rig.event(at(10), GatewayEvent::Configuration(wrong.clone()));
        rig.event(at(20), GatewayEvent::Configuration(wrong.clone()));
        let in_force = rig.configurations.last().expect("a configuration");
        assert_eq!(in_force.version, 2);
        assert_eq!(in_force.check(), Ok::<(), ConfigurationError>(()));
        let in_force = in_force.queues.iter();
        let in_force: Vec<(u32, Option<u32>)> = in_force
            .map(|queue| (queue.priority, queue.floor_percent))
            .collect();
        let expected = wrong.queues.iter().zip(floors);
        let expected: Vec<_> = expected
            .map(|(queue, floor)| (queue.priority, floor))
            .collect();
        assert_eq!(in_force, expected);
        let [(version, error)] = rig.clamped_configurations.as_slice() else {
            panic!("{:?}", rig.clamped_configurations);
        };
        let of = (*version, error.queue(), error.field());
        assert_eq!(of, (2, queue, "floor_percent"));
        let text = error.to_string();
        for part in [queue, "floor_percent", value, "100"] {
            assert!(text.contains(part), "{text}");
        }
        rig.event(at(30), GatewayEvent::Configuration(two_queues(3)));
        assert_eq!(rig.in_force.last(), Some(&3));
        // Peers report what was read themselves.
        rig.event(at(40), GatewayEvent::Configuration(wrong_again(&wrong)));
        rig.open_peer(at(50), SessionId(9));
        rig.peer_message(at(60), SessionId(9), ToPeer::ConfigurationWanted);
        let sent = rig.to_peers.iter().any(|(_, message)| {
            matches!(message, ToPeer::Configuration(sent) if *sent == wrong_again(&wrong))
        });
        assert!(sent, "{:?}", rig.to_peers);
    }
}

/// A later version with the same queues.
fn wrong_again(wrong: &QueueConfiguration) -> QueueConfiguration {
    QueueConfiguration {
        version: 4,
        ..wrong.clone()
    }
}

/// Guards against a queue that goes before one of an earlier priority, or level with it, because its
/// priority exceeds what ranks have room for; and against one that goes after late jobs.
#[rstest]
#[case::small(1, 2, [2_000, 4_000])]
#[case::above_a_byte(256, 300, [512_000, 600_000])]
#[case::above_all_earlier_ranks(3_000_000, 4_000_000_000, [2_000, 4_000])]
#[case::largest(u32::MAX - 1, u32::MAX, [2_000, 4_000])]
fn contending_queues_are_ranked_by_any_priority(
    #[case] middle: u32,
    #[case] last: u32,
    #[case] distances: [u32; 2],
) {
    let queues = [("top", 0), ("middle", middle), ("last", last)];
    let configuration = QueueConfiguration {
        version: 1,
        queues: queues
            .map(|(name, priority)| Arc::new(settings(name, priority, None)))
            .into(),
    };
    let mut rig = gateway_of(sharing(), configuration.clone());
    let loads = queues.map(|(name, _)| (name, 5_000, 5_000));
    rig.report_usage(at(10), 1, &loads);
    for (index, queue) in configuration.queues.iter().enumerate() {
        let request = JobRequest {
            queue: Arc::clone(queue),
            ..job(index as u64 + 1, 1, 200)
        };
        let number = index as u64 + 1;
        rig.submit(at(20 + number), number, request);
    }
    let ranks = rig.announced.iter().map(|announced| announced.rank);
    let first = CONTENDING + 1_000;
    let expected = [first, first + distances[0], first + distances[1]];
    assert_eq!(ranks.collect::<Vec<u32>>(), expected);
}

/// Guards against a gateway that requests a configuration with values out of range again and again from a
/// peer that has it, or takes none but the one that it had.
#[test]
fn a_configuration_with_values_out_of_range_is_requested_from_a_peer_once() {
    let wrong = QueueConfiguration {
        version: 2,
        queues: vec![Arc::new(settings(FIRST, 256, Some(101)))],
    };
    let mut rig = sharing_gateway();
    rig.open_peer(at(20), SessionId(9));
    rig.to_peers.clear();
    rig.peer_message(at(21), SessionId(9), ToPeer::InForce(2));
    let requests = |rig: &GatewayRig| {
        let sent = rig.to_peers.iter();
        sent.filter(|(_, message)| matches!(message, ToPeer::ConfigurationWanted))
            .count()
    };
    assert_eq!(requests(&rig), 1);
    rig.peer_message(at(30), SessionId(9), ToPeer::Configuration(wrong.clone()));
    rig.event(at(40), GatewayEvent::Configuration(wrong));
    rig.pass_time(50, 1_000);
    assert_eq!(rig.in_force, [1, 2]);
    assert_eq!(rig.clamped_configurations.len(), 1);
    assert_eq!(requests(&rig), 1);
    rig.peer_message(at(1_010), SessionId(9), ToPeer::InForce(3));
    assert_eq!(requests(&rig), 2);
}

/// Guards against reports of values that nothing reads.
#[test]
fn without_the_policy_a_configuration_is_taken_as_it_is() {
    let wrong = QueueConfiguration {
        version: 2,
        queues: vec![Arc::new(settings(FIRST, 256, Some(101)))],
    };
    let mut rig = gateway_of(Policies::default(), two_queues(1));
    rig.event(at(10), GatewayEvent::Configuration(wrong));
    assert_eq!(rig.in_force, [1, 2]);
    assert!(rig.clamped_configurations.is_empty());
}

/// Floors of different services have nothing to do with each other.
#[test]
fn floors_are_added_up_by_service() {
    let other = QueueSettings {
        service: "letters".into(),
        ..settings(LATER, 255, Some(100))
    };
    let queues = vec![Arc::new(settings(FIRST, 0, Some(100))), Arc::new(other)];
    let configuration = QueueConfiguration { version: 1, queues };
    assert_eq!(configuration.check(), Ok::<(), ConfigurationError>(()));
}

/// The usage reports of an agent whose worker of 4 cores is full of runs of the later queue, and to
/// which these tasks are announced.
fn usages_of_full_agent(announcements: Vec<Announcement>) -> Vec<UsageReport> {
    let mut rig = AgentRig::with_worker(cpu(4_000));
    let batch = keyed_batch(&mut rig, LATER, 4);
    rig.message(at(10), batch);
    rig.message(at(11), ToAgentBody::Announce(announcements));
    for millis in (20..1_100).step_by(20) {
        rig.message(at(millis), ToAgentBody::Heartbeat);
    }
    usages(&rig, SESSION)
}

fn announcement(job: u64, queue: Option<&str>) -> Announcement {
    Announcement {
        job: JobId(job),
        step: 0,
        resources: cpu(1_000),
        count: 1,
        rank: 1_001,
        ttl_millis: 10_000,
        queue: queue.map(QueueKey::of),
        may_preempt: false,
        preemption_budget_percent: 0,
        preempted_queue: None,
    }
}

fn announce(jobs: &[(u64, &str)]) -> ToAgentBody {
    let jobs = jobs.iter();
    ToAgentBody::Announce(
        jobs.map(|(job, queue)| announcement(*job, Some(queue)))
            .collect(),
    )
}

fn announce_unnamed(job: u64) -> ToAgentBody {
    ToAgentBody::Announce(vec![announcement(job, None)])
}

/// A batch of runs of a named queue.
fn keyed_batch(rig: &mut AgentRig, queue: &str, tasks: u32) -> ToAgentBody {
    let ToAgentBody::Start(batch) = rig.batch(1, tasks, 4) else {
        panic!("not a batch");
    };
    ToAgentBody::Start(StartBatch {
        queue: Some(QueueKey::of(queue)),
        ..batch
    })
}

fn usage(loads: &[(&str, u32, u32)]) -> UsageReport {
    let loads = loads.iter().map(|(name, running, waiting)| QueueLoad {
        queue: QueueKey::of(name),
        running_cpu_millis: *running,
        waiting_cpu_millis: *waiting,
    });
    let mut loads: Vec<QueueLoad> = loads.collect();
    loads.sort_by_key(|load| load.queue);
    UsageReport { loads }
}

/// The usage reports sent on a session, in order.
fn usages(rig: &AgentRig, session: SessionId) -> Vec<UsageReport> {
    let sent = rig.sent.iter().filter(|(to, _)| *to == session);
    let usages = sent.filter_map(|(_, message)| message.usage.as_deref());
    usages.cloned().collect()
}
