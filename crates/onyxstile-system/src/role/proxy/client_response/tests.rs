//! Completion of streamed bodies.

use http_body_util::BodyExt;

use super::*;

/// Collects a stream of one data chunk and `last`, whose sender is then dropped.
async fn collected(last: Option<Chunk>) -> Result<Bytes, StreamInterrupted> {
    let (sender, receiver) = mpsc::channel(2);
    sender.send(Chunk::Data(Bytes::from_static(b"event"))).await.expect("capacity");
    if let Some(last) = last {
        sender.send(last).await.expect("capacity");
    }
    drop(sender);
    ResponseBody::Stream(receiver).collect().await.map(|body| body.to_bytes())
}

/// Guards against truncated streams that look complete: a dropped sender was treated as the regular end of the stream, also
/// after a failure or at process exit.
#[test]
fn stream_is_complete_only_after_an_end_marker() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        assert_eq!(collected(Some(Chunk::End)).await.expect("a complete stream"), "event");
        assert!(collected(None).await.is_err(), "the sender was dropped without an end marker");
    });
}
