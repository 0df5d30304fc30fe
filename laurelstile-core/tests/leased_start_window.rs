//! The window_bytes on starts under way: it follows the delay of what comes back, and what waits
//! for it is told the truth.

mod leased_support;

use laurelstile_core::leased::gateway::start_window::StartWindow;
use laurelstile_core::leased::gateway::{Answer, Refusal};
use laurelstile_core::leased::messages::FromAgentBody;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{GatewayRig, at, cpu, job};

const BATCH: u64 = 700;

/// Sends batches over a link of `bytes_per_milli`, each to another agent, as fast as the
/// window lets; gives the longest that one waited in the link.
fn longest_wait(window: &mut StartWindow, bytes_per_milli: u64, millis: u64) -> Span {
    let mut link_free = at(0);
    let mut reports: Vec<(Timestamp, Incarnation)> = Vec::new();
    let mut longest = Span::default();
    let mut batches = 0;
    for milli in 0..millis {
        let now = at(milli);
        reports.retain(|(due, agent)| {
            if *due <= now {
                window.on_report(now, *agent, 1);
            }
            *due > now
        });
        window.expire(now);
        while window.is_open() {
            batches += 1;
            let agent = Incarnation(batches);
            window.on_sent(now, agent, 1, BATCH);
            link_free = link_free
                .max(now)
                .after(Span(BATCH * 1_000 / bytes_per_milli));
            // The second half tells how it is once the window has found out.
            if milli > millis / 2 {
                longest = longest.max(link_free.since(now));
            }
            reports.push((link_free.after(Span::from_millis(8)), agent));
        }
        window.record_blocked();
    }
    longest
}

#[test]
fn starts_do_not_grow_stale_in_a_thin_link() {
    let mut window = StartWindow::default();
    // 2 Mbit/s.
    let longest = longest_wait(&mut window, 250, 5_000);
    assert!(longest < Span::from_millis(150), "{longest:?}");
}

#[test]
fn a_thin_link_is_kept_busy() {
    let mut window = StartWindow::default();
    longest_wait(&mut window, 250, 5_000);
    // What it carries in 15 ms at least.
    assert!(
        window.window_bytes() >= 250 * 15,
        "{}",
        window.window_bytes()
    );
}

#[test]
fn a_wide_link_is_no_bound() {
    let mut window = StartWindow::default();
    // 200 Mbit/s: the window grows to what a round trip carries.
    longest_wait(&mut window, 25_000, 1_000);
    assert!(
        window.window_bytes() > 25_000 * 8,
        "{}",
        window.window_bytes()
    );
}

/// A few agents that stand still, or are cut off, do not hold the others up.
#[test]
fn one_slow_agent_does_not_lower_the_bound() {
    let mut window = StartWindow::default();
    let before = window.window_bytes();
    for number in 1..200 {
        let now = at(number * 10);
        let slow = number % 7 == 0;
        let agent = Incarnation(u64::from(slow));
        window.on_sent(now, agent, number, BATCH);
        let delay = if slow { 250 } else { 8 };
        window.on_report(at(number * 10 + delay), agent, number);
    }
    assert_eq!(window.window_bytes(), before);
}

#[test]
fn what_is_never_reported_is_forgotten() {
    let mut window = StartWindow::default();
    let mut sent = 0;
    while window.is_open() {
        sent += 1;
        window.on_sent(at(10), Incarnation(sent), 1, BATCH);
    }
    let opens_at = window.opens_at().expect("it opens by time");
    window.expire(Timestamp(opens_at.0 - 1));
    assert!(!window.is_open());
    window.expire(opens_at);
    assert!(window.is_open());
}

/// Hands jobs in to a gateway with one large worker until one has to wait; gives how many
/// were started.
fn fill(rig: &mut GatewayRig) -> u64 {
    rig.join(at(0), 1, "agent-1", cpu(8_000_000));
    for number in 1.. {
        rig.submit(at(10), number, job(number, 1, 200));
        let started = rig.starts.len() as u64;
        if started < number {
            return started;
        }
    }
    unreachable!("the window is unlimited")
}

/// Nothing of a job that waits for the way out was sent, so it can be refused in time.
#[test]
fn a_job_that_waits_for_the_way_out_is_refused_as_not_run() {
    let mut rig = GatewayRig::new();
    let started = fill(&mut rig);
    assert!(started >= 10, "the initial window admits some jobs");
    rig.tick(at(95));
    let refused = Answer::Refused {
        reason: Refusal::Overloaded,
        retry_after: Span::from_millis(500),
    };
    assert_eq!(rig.last_answer(), Some(refused));
}

#[test]
fn a_report_opens_the_way_out_for_what_waits() {
    let mut rig = GatewayRig::new();
    let started = fill(&mut rig);
    let room = cpu(8_000_000);
    rig.report(at(15), 1, started, room, FromAgentBody::Heartbeat);
    assert_eq!(rig.starts.len() as u64, started + 1);
}
