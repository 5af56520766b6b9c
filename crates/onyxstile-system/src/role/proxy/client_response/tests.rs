//! The body of a stream, by what its sender says of the end.

use http_body_util::BodyExt;

use super::*;

/// What comes of a stream of one piece, then `last`, then a sender that is gone.
async fn collected(last: Option<Chunk>) -> Result<Bytes, StreamInterrupted> {
    let (sender, receiver) = mpsc::channel(2);
    sender.send(Chunk::Data(Bytes::from_static(b"event"))).await.expect("room");
    if let Some(last) = last {
        sender.send(last).await.expect("room");
    }
    drop(sender);
    ResponseBody::Stream(receiver).collect().await.map(|body| body.to_bytes())
}

/// By reading, after a request was cut at a drain's end: a sender that was gone counted as the end of a whole stream, also if a
/// failure had ended it, or the end of its process.
#[test]
fn stream_is_complete_only_after_an_end_marker() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        assert_eq!(collected(Some(Chunk::End)).await.expect("it is whole"), "event");
        assert!(collected(None).await.is_err(), "its sender is gone and did not say that it is whole");
    });
}
