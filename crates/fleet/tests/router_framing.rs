//! Chats and calls whose upstream answers with bytes that a test gives: without a length or chunks,
//! cut off, or without end.
#![allow(clippy::panic, clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
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
/// Time between the last bytes of an answer and a reset, which drops what was not read yet.
const RESET_DELAY: Duration = Duration::from_millis(50);

const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
const TOKEN: &str = "data: {\"id\":\"{id}\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const LAST: &str = "data: {\"id\":\"{id}\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// What an upstream does after its answer.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    Reset,
    /// Sends this text again and again until the router closes the connection.
    Endless(&'static str),
}

/// What an upstream answers.
#[derive(Clone)]
struct Answers {
    /// The path that gets `text`. Any other gets the state of the upstream, as probes ask for it.
    path: &'static str,
    text: String,
    ending: Ending,
    state: String,
}

async fn serve(listener: TcpListener, answers: Answers) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer(stream, answers.clone()));
    }
}

async fn answer(mut stream: TcpStream, answers: Answers) {
    let mut request = vec![0; 65_536];
    let size = stream.read(&mut request).await.unwrap_or(0);
    let request = String::from_utf8_lossy(&request[..size]).into_owned();
    if !request.contains(answers.path) {
        let size = answers.state.len();
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\nConnection: close\r\n\r\n");
        let _ = stream.write_all((head + &answers.state).as_bytes()).await;
        return;
    }
    let Answers { text, ending, .. } = answers;
    let headers = request.lines().filter_map(|line| line.split_once(": "));
    let mut ids = headers.filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
    let id = ids.next().map_or("", |(_, id)| id);
    let _ = stream.write_all(text.replace("{id}", id).as_bytes()).await;
    match ending {
        Ending::Close => {}
        Ending::Reset => {
            tokio::time::sleep(RESET_DELAY).await;
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        Ending::Endless(more) => {
            let more = more.repeat(64);
            while stream.write_all(more.as_bytes()).await.is_ok() {}
        }
    }
}

/// Starts a router and one upstream that announces `offer` and answers with these bytes.
async fn start(offer: Value, path: &'static str, text: String, ending: Ending) -> RouterFixture {
    let fixture = RouterFixture::new(PREPAID).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answers = Answers {
        path,
        text,
        ending,
        state: announcement(address, &offer, 2).to_string(),
    };
    tokio::spawn(serve(listener, answers));
    // The second announcement confirms the first.
    for seq in 1..=2 {
        announce(&fixture, address, &offer, seq).await;
    }
    fixture
}

fn announcement(address: SocketAddr, offer: &Value, seq: u64) -> Value {
    json!({
        "upstream": "raw", "incarnation": 1, "seq": seq, "address": address, "centre": "north",
        "phase": "ready", "offer": offer, "slots": 8,
    })
}

async fn announce(fixture: &RouterFixture, address: SocketAddr, offer: &Value, seq: u64) {
    let body = Bytes::from(announcement(address, offer, seq).to_string());
    let answer = fixture.send(Method::POST, "/v1/announce", &[], body).await;
    assert!(answer.status.is_success(), "{answer:?}");
}

/// Sends a streamed chat to an upstream that answers with these parts.
async fn chat(parts: &[&str], ending: Ending) -> Answer {
    let offer = json!({"models": [{"model": "fitting"}]});
    let fixture = start(offer, "/v1/chat/completions", parts.concat(), ending).await;
    fixture.send_chat(&[], &chat_body("boots", 1, true)).await
}

/// Sends a call that must not be repeated to a worker that answers with these parts.
async fn call(parts: &[&str], ending: Ending) -> Answer {
    let offer = json!({"service": "desk"});
    let fixture = start(offer, "/reserve", parts.concat(), ending).await;
    let body = json!({"garment": "jacket-12"});
    fixture.post("/services/desk/reserve", &[], &body).await
}

/// Checks whether a chat is complete at its caller. One that is not ends with an error event, or is
/// refused.
macro_rules! chats {
    ($($name:ident: $parts:expr, $ending:expr => $complete:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let answer = chat(&$parts, $ending).await;
            assert_eq!(answer.is_complete(), $complete, "{answer:?}");
            let text = String::from_utf8_lossy(&answer.body);
            assert!($complete || text.contains("upstream_failed"), "{answer:?}");
        }
    )*};
}

chats! {
    unframed_chat: [STREAM, TOKEN, LAST, DONE], Ending::Close => true;
    unframed_chat_that_goes_on_after_its_end: [STREAM, TOKEN, LAST, DONE], Ending::Endless("more") => true;
    unframed_chat_closed_between_events: [STREAM, TOKEN], Ending::Close => false;
    unframed_chat_closed_before_its_end: [STREAM, TOKEN, LAST], Ending::Close => false;
    unframed_chat_cut_inside_an_event: [STREAM, TOKEN, "data: {\"id\""], Ending::Close => false;
    unframed_chat_cut_inside_its_last_event: [STREAM, TOKEN, LAST, "data: [DONE]"], Ending::Close => false;
    unframed_chat_reset: [STREAM, TOKEN], Ending::Reset => false;
    chat_event_without_end: [STREAM, TOKEN, "data: "], Ending::Endless("more and more of one event ") => false;
    chat_head_without_end: ["HTTP/1.1 200 OK\r\n"], Ending::Endless("X-Filler: nothing\r\n") => false;
    chat_interim_answers_without_end: ["HTTP/1.1 100 Continue\r\n\r\n"], Ending::Endless("HTTP/1.1 100 Continue\r\n\r\n") => false;
}

/// Checks status and text of the answer to a call. The text may be that of a refusal.
macro_rules! calls {
    ($($name:ident: $parts:expr, $ending:expr => $status:ident $text:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let answer = call(&$parts, $ending).await;
            assert_eq!(answer.status, StatusCode::$status, "{answer:?}");
            let text = String::from_utf8_lossy(&answer.body);
            assert!(text.contains($text), "{answer:?}");
        }
    )*};
}

calls! {
    unframed_call: [JSON, "{\"held\":true}"], Ending::Close => OK "{\"held\":true}";
    unframed_call_reset: [JSON, "{\"held\":true}"], Ending::Reset => BAD_GATEWAY "outcome_unknown";
    sized_call_cut_short: ["HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"held\""], Ending::Close => BAD_GATEWAY "outcome_unknown";
    unframed_call_without_end: [JSON], Ending::Endless("more") => BAD_GATEWAY "outcome_unknown";
    call_interim_answers_without_end: ["HTTP/1.1 100 Continue\r\n\r\n"], Ending::Endless("HTTP/1.1 100 Continue\r\n\r\n") => BAD_GATEWAY "outcome_unknown";
}
