//! Calls that reach a gateway before its first configuration does.

use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::gateway::queues::{QueueConfiguration, QueueSettings};
use laurelstiled::leased::gate::{Gate, Lookup, View};
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
    };
    Arc::new(QueueConfiguration {
        version: 1,
        queues: vec![Arc::new(queue)],
    })
}

fn gate() -> (Gate, watch::Sender<View>) {
    let (input, _) = mpsc::unbounded_channel();
    let (view, views) = watch::channel(View::default());
    (Gate::new(input, views), view)
}

/// Found after losses of power: callers are there within a millisecond of the
/// gateway, its configuration some 10 ms later; a hundred calls a time were refused.
#[tokio::test(start_paused = true)]
async fn a_call_at_the_start_waits_for_the_first_configuration() {
    let (gate, view) = gate();
    let finding = tokio::spawn(async move { gate.find("example.test", "/checks/1").await });
    tokio::time::sleep(Duration::from_millis(10)).await;
    view.send_modify(|view| view.configuration = Some(configuration()));
    let found = finding.await.expect("no panic");
    assert!(matches!(found, Lookup::Queue(_)), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn a_call_is_refused_once_the_wait_is_over() {
    let (gate, _view) = gate();
    let found = gate.find("example.test", "/checks/1").await;
    assert!(matches!(found, Lookup::NotConfigured), "{found:?}");
    let began = tokio::time::Instant::now();
    let found = gate.find("example.test", "/checks/1").await;
    assert!(matches!(found, Lookup::NotConfigured), "{found:?}");
    assert!(
        began.elapsed() <= Duration::from_millis(1),
        "a later call is not held"
    );
}
