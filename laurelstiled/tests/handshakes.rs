//! Connections to the session address that have not said who they are.

use std::future::{pending, ready};

use laurelstiled::leased::handshakes::PendingHandshakes;

/// Guards against connections to the session address that say nothing and take all descriptors.
#[tokio::test]
async fn the_oldest_handshake_makes_room_for_a_new_one() {
    let table = PendingHandshakes::new(2);
    let oldest = tokio::spawn(table.begin().run(pending::<()>()));
    let second = table.begin();
    let newest = table.begin();
    assert_eq!(oldest.await.expect("it does not panic"), None);
    assert_eq!(second.run(ready(2)).await, Some(2));
    assert_eq!(newest.run(ready(3)).await, Some(3));
}

/// Guards against sessions that are ended because many were opened before.
#[tokio::test]
async fn a_handshake_that_has_ended_takes_no_place() {
    let table = PendingHandshakes::new(2);
    let kept = tokio::spawn(table.begin().run(pending::<()>()));
    for number in 0..20 {
        assert_eq!(table.begin().run(ready(number)).await, Some(number));
    }
    tokio::task::yield_now().await;
    assert!(!kept.is_finished());
    kept.abort();
}
