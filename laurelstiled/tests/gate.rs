//! Calls that arrive before the gateway has read its first configuration, and after its driver has
//! ended.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::Answer;
use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstile_core::leased::task::JobId;
use laurelstiled::leased::gate::{GatewayEnded, GatewayHandle, GatewayStatus, Lookup};
use tokio::sync::{mpsc, watch};

fn configuration() -> Arc<QueueConfiguration> {
    let queue = QueueSettings {
        name: "checks".into(),
        host: "example.test".into(),
        path_prefix: "/checks/".into(),
        service: "parcels".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        slack_millis: 60,
        is_advised: false,
        floor_percent: None,
    };
    Arc::new(QueueConfiguration {
        version: 1,
        queues: vec![Arc::new(queue)],
    })
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
