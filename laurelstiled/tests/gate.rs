//! Calls that arrive before the gateway has read its first configuration, after its driver has ended, and
//! for jobs of a queue that was removed.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::Answer;
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::task::JobId;
use laurelstile_core::leased::timing::MAX_JOB_TIME;
use laurelstiled::leased::gate::{GatewayEnded, GatewayHandle, GatewayStatus, Lookup};
use tokio::sync::{mpsc, watch};

fn configuration() -> Arc<QueueConfiguration> {
    configuration_of(1, &["/checks/"])
}

/// A configuration of queues with these path prefixes.
fn configuration_of(version: u64, path_prefixes: &[&str]) -> Arc<QueueConfiguration> {
    let queues = path_prefixes.iter().map(|prefix| Arc::new(queue(prefix)));
    let queues = queues.collect();
    Arc::new(QueueConfiguration { version, queues })
}

fn queue(path_prefix: &str) -> QueueSettings {
    QueueSettings {
        name: path_prefix.into(),
        host: "example.test".into(),
        path_prefix: path_prefix.into(),
        service: "parcels".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        slack_millis: 60,
        is_advised: false,
        floor_percent: None,
    }
}

fn gateway_handle() -> (GatewayHandle, watch::Sender<GatewayStatus>) {
    let (input, _) = mpsc::unbounded_channel();
    let (status, status_receiver) = watch::channel(GatewayStatus::default());
    (GatewayHandle::new(input, status_receiver), status)
}

/// When all processes restart together, callers connect before the gateway has read its
/// configuration; their calls must not be refused.
#[tokio::test(start_paused = true)]
async fn a_call_at_the_start_waits_for_the_first_configuration() {
    let (gateway, status) = gateway_handle();
    let finding = tokio::spawn(async move { gateway.find("example.test", "/checks/1").await });
    tokio::time::sleep(Duration::from_millis(10)).await;
    status.send_modify(|status| status.configuration = Some(configuration()));
    let found = finding.await.expect("no panic");
    assert!(matches!(found, Lookup::Queue(_)), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn a_call_is_refused_once_the_wait_is_over() {
    let (gateway, _status) = gateway_handle();
    let found = gateway.find("example.test", "/checks/1").await;
    assert!(matches!(found, Lookup::NotConfigured), "{found:?}");
    let began = tokio::time::Instant::now();
    let found = gateway.find("example.test", "/checks/1").await;
    assert!(matches!(found, Lookup::NotConfigured), "{found:?}");
    assert!(
        began.elapsed() <= Duration::from_millis(1),
        "a later call does not wait"
    );
}

/// Guards against the acknowledgement of a cancellation that no other process was sent: the front end
/// serves for a short time after the driver has ended.
#[tokio::test]
async fn a_cancellation_after_the_end_of_the_driver_is_not_acknowledged() {
    let (gateway, _status) = gateway_handle();
    let answer = gateway.cancel(JobId(1)).await;
    let is_unacknowledged = matches!(answer, Answer::CancelUnacknowledged { .. });
    assert!(is_unacknowledged, "{answer:?}");
}

/// Guards against a job that another gateway holds being reported as gone.
#[tokio::test]
async fn a_query_after_the_end_of_the_driver_does_not_deny_the_job() {
    let (gateway, _status) = gateway_handle();
    assert_eq!(gateway.has_job(JobId(1)).await, Err(GatewayEnded));
}

/// Guards against jobs that cannot be cancelled any more, since their queue was removed while they ran.
#[tokio::test(start_paused = true)]
async fn a_removed_queue_is_found_for_as_long_as_its_jobs_may_be_held() {
    let (gateway, status) = gateway_handle();
    let path = "/checks/1";
    let put_in_force = |version, prefixes: &[&str]| {
        status.send_modify(|status| status.put_in_force(configuration_of(version, prefixes)));
    };
    let is_retired = || gateway.find_retired("EXAMPLE.test:80", path).is_some();
    put_in_force(1, &["/checks/", "/redraw/"]);
    assert!(!is_retired(), "it is in force");
    put_in_force(2, &["/redraw/"]);
    let found = gateway.find("example.test", path).await;
    assert!(matches!(found, Lookup::Unknown), "{found:?}");
    assert!(is_retired());
    assert!(gateway.find_retired("example.test", "/never/1").is_none());
    tokio::time::sleep(Duration::from_secs(60)).await;
    put_in_force(3, &["/redraw/", "/other/"]);
    assert!(is_retired(), "a later configuration changes nothing");
    put_in_force(4, &["/checks/"]);
    assert!(!is_retired(), "it is in force again");
    put_in_force(5, &["/redraw/"]);
    tokio::time::sleep(Duration::from_micros(MAX_JOB_TIME.0)).await;
    assert!(!is_retired(), "all its jobs have ended");
}
