//! Tests for the start window: its adaptation to the link, and what happens to jobs that wait
//! for it.

mod leased_support;

use laurelstile_core::leased::gateway::start_window::StartWindow;
use laurelstile_core::leased::gateway::{Answer, Refusal};
use laurelstile_core::leased::messages::FromAgentBody;
use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};
use leased_support::{GatewayRig, at, cpu, job};

const BATCH_BYTES: u64 = 700;

/// Sends batches to different agents over a link of `bytes_per_milli` as fast as the window
/// permits. Returns the longest queueing time of a batch in the second half of the run.
fn longest_queueing_time(window: &mut StartWindow, bytes_per_milli: u64, millis: u64) -> Span {
    let mut link_free_at = at(0);
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
            window.on_sent(now, agent, 1, BATCH_BYTES);
            link_free_at = link_free_at
                .max(now)
                .after(Span(BATCH_BYTES * 1_000 / bytes_per_milli));
            // Skips the first half, in which the window adapts.
            if milli > millis / 2 {
                longest = longest.max(link_free_at.since(now));
            }
            reports.push((link_free_at.after(Span::from_millis(8)), agent));
        }
        window.record_blocked();
    }
    longest
}

#[test]
fn starts_do_not_become_stale_on_a_narrow_link() {
    let mut window = StartWindow::default();
    // 250 bytes per millisecond are 2 Mbit/s.
    let longest = longest_queueing_time(&mut window, 250, 5_000);
    assert!(longest < Span::from_millis(150), "{longest:?}");
}

#[test]
fn a_narrow_link_is_kept_busy() {
    let mut window = StartWindow::default();
    longest_queueing_time(&mut window, 250, 5_000);
    // At least what the link carries in 15 ms.
    assert!(
        window.window_bytes() >= 250 * 15,
        "{}",
        window.window_bytes()
    );
}

#[test]
fn a_wide_link_is_not_limited() {
    let mut window = StartWindow::default();
    // At 200 Mbit/s the window grows to what a round trip carries.
    longest_queueing_time(&mut window, 25_000, 1_000);
    assert!(
        window.window_bytes() > 25_000 * 8,
        "{}",
        window.window_bytes()
    );
}

/// Suspended or unreachable agents must not delay starts to the others.
#[test]
fn one_slow_agent_does_not_shrink_the_window() {
    let mut window = StartWindow::default();
    let before = window.window_bytes();
    for number in 1..200 {
        let now = at(number * 10);
        let slow = number % 7 == 0;
        let agent = Incarnation(u64::from(slow));
        window.on_sent(now, agent, number, BATCH_BYTES);
        let delay = if slow { 250 } else { 8 };
        window.on_report(at(number * 10 + delay), agent, number);
    }
    assert_eq!(window.window_bytes(), before);
}

#[test]
fn unreported_batches_expire() {
    let mut window = StartWindow::default();
    let mut sent = 0;
    while window.is_open() {
        sent += 1;
        window.on_sent(at(10), Incarnation(sent), 1, BATCH_BYTES);
    }
    let opens_at = window
        .opens_at()
        .expect("a full window opens when its oldest batch expires");
    window.expire(Timestamp(opens_at.0 - 1));
    assert!(!window.is_open());
    window.expire(opens_at);
    assert!(window.is_open());
}

/// Submits jobs to a gateway with one large worker until one has to wait; returns the number
/// of started jobs.
fn fill_window(rig: &mut GatewayRig) -> u64 {
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

/// No task of a job that waits for the window was sent, so it can be refused as not run.
#[test]
fn a_job_that_waits_for_the_window_is_refused_as_not_run() {
    let mut rig = GatewayRig::new();
    let started = fill_window(&mut rig);
    assert!(started >= 10, "the initial window admits some jobs");
    rig.tick(at(95));
    let refused = Answer::Refused {
        reason: Refusal::Overloaded,
        retry_after: Span::from_millis(500),
    };
    assert_eq!(rig.last_answer(), Some(refused));
}

#[test]
fn a_report_opens_the_window_for_waiting_jobs() {
    let mut rig = GatewayRig::new();
    let started = fill_window(&mut rig);
    let resources = cpu(8_000_000);
    rig.report(at(15), 1, started, resources, FromAgentBody::Heartbeat);
    assert_eq!(rig.starts.len() as u64, started + 1);
}
