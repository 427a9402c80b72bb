//! Bodies that are held back until their receiver may have refused the request.

use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use shallothill_node::body::Body;
use tokio::time;

const HOLD: Duration = Duration::from_millis(60);

/// Guards against a body that is sent before its time, not at all, or without its length.
#[tokio::test(start_paused = true)]
async fn a_held_body_is_sent_whole_after_its_time() {
    let mut body = Body::full(Bytes::from_static(b"content")).held_for(HOLD);

    let length = http_body::Body::size_hint(&body).exact();
    let early = body.frame().now_or_never();
    time::sleep(HOLD / 2).await;
    let halfway = body.frame().now_or_never();
    time::sleep(HOLD).await;
    let content = body.collect().await.unwrap().to_bytes();

    assert_eq!(length, Some(7));
    assert!(early.is_none() && halfway.is_none());
    assert_eq!(content, "content");
}
