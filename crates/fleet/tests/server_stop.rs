//! A planned stop of an HTTP server: requests on their way are answered.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutnotch::edges::http::ReplyBody;
use chestnutnotch::edges::http::server;
use chestnutnotch::edges::http::server::Handler;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Number of callers of each test.
const CALLERS: usize = 20;

/// Answers each request after a while.
#[derive(Debug)]
struct Slow(Duration);

impl Handler for Slow {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<ReplyBody> {
        tokio::time::sleep(self.0).await;
        Response::new(ReplyBody::whole("done"))
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn send_request(stream: &mut TcpStream) {
    let request = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
    stream.write_all(request).await.unwrap();
}

/// Returns what a caller receives until its connection ends, or until `done` has arrived.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..count]);
        if received.ends_with(b"done") {
            break;
        }
    }
    String::from_utf8(received).unwrap()
}

/// Counts the answers that are complete.
async fn count_answers(streams: Vec<TcpStream>) -> usize {
    let mut answered = 0;
    for mut stream in streams {
        answered += usize::from(read_answer(&mut stream).await.ends_with("done"));
    }
    answered
}

#[tokio::test]
async fn requests_in_the_listen_queue_are_cut_off_by_a_stop() {
    let (listener, address) = listen().await;
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        send_request(&mut stream).await;
        streams.push(stream);
    }
    // The server stops before it has accepted any of them.
    let (stop, stopped) = oneshot::channel();
    stop.send(()).unwrap();
    let handler = Arc::new(Slow(Duration::from_millis(20)));
    let server = tokio::spawn(server::serve(listener, handler, stopped));
    assert_eq!(count_answers(streams).await, CALLERS);
    server.await.unwrap();
}

#[tokio::test]
async fn request_that_follows_its_connection_is_cut_off_by_a_stop() {
    let (listener, address) = listen().await;
    let (stop, stopped) = oneshot::channel();
    let handler = Arc::new(Slow(Duration::from_millis(20)));
    let server = tokio::spawn(server::serve(listener, handler, stopped));
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    // The server has accepted all of them before their requests arrive.
    tokio::time::sleep(Duration::from_millis(50)).await;
    stop.send(()).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    for stream in &mut streams {
        send_request(stream).await;
    }
    assert_eq!(count_answers(streams).await, CALLERS);
    server.await.unwrap();
}

#[tokio::test]
async fn requests_in_flight_are_answered_and_their_connections_closed() {
    let (listener, address) = listen().await;
    let (stop, stopped) = oneshot::channel();
    let handler = Arc::new(Slow(Duration::from_millis(200)));
    let server = tokio::spawn(server::serve(listener, handler, stopped));
    let mut stream = TcpStream::connect(address).await.unwrap();
    send_request(&mut stream).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    stop.send(()).unwrap();
    let answer = read_answer(&mut stream).await;
    assert!(answer.ends_with("done"), "{answer}");
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0);
    server.await.unwrap();
}

#[tokio::test]
async fn idle_connections_do_not_delay_a_stop() {
    let (listener, address) = listen().await;
    let (stop, stopped) = oneshot::channel();
    let handler = Arc::new(Slow(Duration::ZERO));
    let server = tokio::spawn(server::serve(listener, handler, stopped));
    let mut kept = TcpStream::connect(address).await.unwrap();
    send_request(&mut kept).await;
    assert!(read_answer(&mut kept).await.ends_with("done"));
    let unused = TcpStream::connect(address).await.unwrap();
    stop.send(()).unwrap();
    // Both connections stay open on the caller's side.
    let ended = tokio::time::timeout(Duration::from_secs(10), server).await;
    ended.expect("the server does not stop").unwrap();
    drop((kept, unused));
}
