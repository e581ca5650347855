//! Chats whose stream breaks off and whose upstream answers the request for the rest with bytes that
//! a test gives: only tokens of the same chat reach the caller.
#![allow(clippy::panic, clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use support::Answer;
use support::RouterFixture;
use support::chat_body;

const PREPAID: u64 = 100_000;

const EVENTS_TYPE: &str = "Content-Type: text/event-stream\r\n";
const JSON_TYPE: &str = "Content-Type: application/json\r\n";
const TOKEN: &str = "data: {\"id\":\"{id}\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const REST: &str = concat!(
    "data: {\"id\":\"{id}\",\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n",
    "data: {\"id\":\"{id}\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n",
    "data: [DONE]\n\n"
);
const OTHER_REST: &str = concat!(
    "data: {\"id\":\"other\",\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n",
    "data: [DONE]\n\n"
);
const ERROR: &str = r#"{"error":"engine failed"}"#;
const ERROR_LINES: &str = "{\"error\":\n\n\"engine failed\"}\n\n";
const ERROR_HEAD: &str =
    "HTTP/1.1 500 engine failed\r\nContent-Length: 13\r\n\r\nengine failed\r\n\r\n";

/// Serves all requests: a chat gets one token before its stream breaks off, a resume this answer, a
/// probe the state of the upstream.
async fn serve(listener: TcpListener, rest: String) {
    let state = announcement(listener.local_addr().unwrap(), 2).to_string();
    let state = sized("200 OK", JSON_TYPE, &state);
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer(stream, rest.clone(), state.clone()));
    }
}

async fn answer(mut stream: TcpStream, rest: String, state: String) {
    let mut request = vec![0; 65_536];
    let size = stream.read(&mut request).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..size]).into_owned();
    let text = match request.split(' ').nth(1) {
        Some("/v1/chat/completions") => format!("HTTP/1.1 200 OK\r\n{EVENTS_TYPE}\r\n{TOKEN}"),
        Some("/v1/resume") => rest,
        Some("/v1/phase") => state,
        _ => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".to_owned(),
    };
    let headers = request.lines().filter_map(|line| line.split_once(": "));
    let mut ids = headers.filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
    let id = ids.next().map_or("", |(_, id)| id);
    let _ = stream.write_all(text.replace("{id}", id).as_bytes()).await;
}

/// Returns an announcement of the upstream at this address.
fn announcement(address: SocketAddr, seq: u64) -> Value {
    json!({
        "upstream": "raw", "incarnation": 1, "seq": seq, "address": address, "centre": "north",
        "phase": "ready", "offer": {"models": [{"model": "fitting"}]}, "slots": 8,
    })
}

/// Sends a streamed chat to an upstream that answers a resume with this text.
async fn chat(rest: String) -> Answer {
    let fixture = RouterFixture::new(PREPAID).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, rest));
    // The second announcement confirms the first.
    for seq in 1..=2 {
        let body = Bytes::from(announcement(address, seq).to_string());
        let answer = fixture.send(Method::POST, "/v1/announce", &[], body).await;
        assert!(answer.status.is_success(), "{answer:?}");
    }
    fixture.send_chat(&[], &chat_body("boots", 2, true)).await
}

/// Returns an answer without a length, which ends with its connection.
fn unframed(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}\r\n{body}")
}

fn sized(status: &str, headers: &str, body: &str) -> String {
    // The placeholder of the id is shorter than the id itself.
    assert!(!body.contains("{id}"), "the length would be wrong");
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

fn chunked(status: &str, headers: &str, body: &str) -> String {
    assert!(!body.contains("{id}"), "the length would be wrong");
    let length = body.len();
    let chunk = match length {
        0 => String::new(),
        _ => format!("{length:x}\r\n{body}\r\n"),
    };
    format!("HTTP/1.1 {status}\r\n{headers}Transfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
}

/// Checks that a chat goes on with the answer to a resume.
macro_rules! fit {
    ($($name:ident: $rest:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let answer = chat($rest).await;
            assert!(answer.is_complete(), "{answer:?}");
            let text = String::from_utf8_lossy(&answer.body);
            let tokens: Vec<&str> = text.split("\"content\":\"").skip(1).map(|rest| &rest[..1]).collect();
            assert_eq!(tokens, ["a", "b"], "{answer:?}");
        }
    )*};
}

fit! {
    rest_is_taken: unframed("200 OK", EVENTS_TYPE, REST);
    undeclared_rest_is_taken: unframed("200 OK", "", REST);
    rest_after_a_comment_is_taken: unframed("200 OK", "", &format!(": still here\n\n{REST}"));
    rest_with_a_comment_in_its_event_is_taken: unframed("200 OK", "", &format!(": still here\n{REST}"));
    rest_after_a_blank_line_is_taken: unframed("200 OK", "", &format!("\n{REST}"));
}

/// Checks that nothing of the answer to a resume reaches the caller, whose chat ends with an error.
macro_rules! unfit {
    ($($name:ident: $rest:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let answer = chat($rest).await;
            let text = String::from_utf8_lossy(&answer.body);
            assert!(!answer.is_complete(), "{answer:?}");
            assert!(text.contains("upstream_failed"), "{answer:?}");
            assert!(!text.contains("engine failed"), "{answer:?}");
            assert_eq!(answer.streamed_text(), "a");
        }
    )*};
}

unfit! {
    status_204: unframed("204 No Content", "", "");
    status_206: unframed("206 Partial Content", EVENTS_TYPE, REST);
    status_302: unframed("302 Found", "Location: /b\r\n", REST);
    status_400: sized("400 Bad Request", JSON_TYPE, ERROR);
    status_404: chunked("404 Not Found", EVENTS_TYPE, ERROR_LINES);
    status_416: unframed("416 Range Not Satisfiable", EVENTS_TYPE, REST);
    status_429: sized("429 Too Many Requests", JSON_TYPE, ERROR);
    status_500: unframed("500 Internal Server Error", EVENTS_TYPE, REST);
    status_502: unframed("502 Bad Gateway", "", ERROR_HEAD);
    status_503: sized("503 Service Unavailable", "", "");
}

unfit! {
    error_by_length: sized("200 OK", "", ERROR);
    error_in_chunks: chunked("200 OK", EVENTS_TYPE, ERROR_LINES);
    error_by_connection: unframed("200 OK", "", ERROR_LINES);
    error_declared_as_json: sized("200 OK", JSON_TYPE, ERROR_LINES);
    error_as_an_event: unframed("200 OK", EVENTS_TYPE, "event: error\ndata: engine failed\n\n");
    error_after_a_comment: unframed("200 OK", EVENTS_TYPE, ": x\ndata: {\"error\":\"engine failed\"}\n\n");
    error_after_a_blank_line: unframed("200 OK", "", &format!("\n{ERROR}\n\n"));
    head_in_the_body: chunked("200 OK", EVENTS_TYPE, ERROR_HEAD);
    head_after_a_blank_line: unframed("200 OK", EVENTS_TYPE, &format!("\r\n{ERROR_HEAD}"));
    rest_of_another_chat: unframed("200 OK", EVENTS_TYPE, OTHER_REST);
    rest_declared_as_json: unframed("200 OK", JSON_TYPE, REST);
    empty_by_length: sized("200 OK", EVENTS_TYPE, "");
    empty_in_chunks: chunked("200 OK", EVENTS_TYPE, "");
    empty_by_connection: unframed("200 OK", EVENTS_TYPE, "");
    only_a_comment: chunked("200 OK", EVENTS_TYPE, ": still here\n\n");
    only_the_end: unframed("200 OK", EVENTS_TYPE, "data: [DONE]\n\n");
}
