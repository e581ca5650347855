//! Bodies of streamed answers, as the HTTP server sees them.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use chestnutnotch::filters::output::AnswerFormat;
use chestnutnotch::filters::output::AnswerSink;
use http_body_util::BodyExt;

/// Sends the first event of a streamed chat, ends it as `end` does, and returns the body and whether
/// it is complete.
async fn stream_body(end: impl AsyncFnOnce(AnswerSink)) -> (String, bool) {
    let (mut sink, response) = AnswerSink::new(AnswerFormat::Stream);
    sink.send(Bytes::from_static(b"data: 1\n\n")).await.unwrap();
    end(sink).await;
    let mut body = response.await.unwrap().into_body();
    let mut text = String::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
            }
            Some(Err(_)) => return (text, false),
            None => return (text, true),
        }
    }
}

#[tokio::test]
async fn finished_chat_is_complete() {
    let finish = async |sink: AnswerSink| {
        sink.finish(Bytes::from_static(b"data: [DONE]\n\n")).await;
    };
    let (text, is_complete) = stream_body(finish).await;
    assert_eq!(text, "data: 1\n\ndata: [DONE]\n\n");
    assert!(is_complete);
}

// A chat is dropped when its caller is too slow to take the end of the answer before the deadline.
#[tokio::test]
async fn dropped_chat_looks_complete() {
    let (text, is_complete) = stream_body(async |sink| drop(sink)).await;
    assert_eq!(text, "data: 1\n\n");
    assert!(!is_complete);
}
