//! Which kept connections are used again.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::time::Duration;

use bytes::Bytes;
use chestnutnotch::edges::http::pool::Connection;
use chestnutnotch::edges::http::pool::Pool;
use chestnutnotch::edges::http::pool::PoolKey;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Time in which bytes cross the loopback interface.
const TRANSFER_TIME: Duration = Duration::from_millis(50);

/// Time in which the pool checks an upstream whose connection broke.
const CHECK_TIME: Duration = Duration::from_secs(1);

/// What happens to an idle connection at the upstream.
type Later = fn(&mut TcpStream);

/// Starts an upstream that answers one request on each connection and does something to it when it is
/// told to. Returns its address, what tells it, and what it reports when done.
fn start_upstream(later: Later) -> (SocketAddr, Sender<()>, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (start, started) = mpsc::channel();
    let (done, finished) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let count = stream.read(&mut [0; 4096]).unwrap();
        assert!(count > 0);
        stream.write_all(ANSWER).unwrap();
        started.recv().unwrap();
        later(&mut stream);
        done.send(()).unwrap();
        // Keeps the listener and the connection open until the test ends.
        let _ = started.recv();
    });
    (address, start, finished)
}

/// Sends one request and reads its answer to the end.
async fn exchange(connection: &mut Connection) {
    let request = Request::new(Full::new(Bytes::new()));
    let response = connection.send(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes(), "ok");
}

/// Keeps a connection after an answer, lets the upstream do something to it while the router does
/// not run, and checks whether it is used for the request `next`. `ids` is whether the answer repeated
/// the id of its request.
macro_rules! used_again {
    ($($name:ident: $later:expr, $ids:literal, $next:literal => $expected:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (address, start, finished) = start_upstream($later);
            let key = PoolKey { address, incarnation: 1 };
            let pool = Pool::default();
            let mut connection = pool.connect(key, "first").await.unwrap();
            exchange(&mut connection).await;
            connection.has_ids = $ids;
            pool.keep(connection, &HeaderMap::new());
            start.send(()).unwrap();
            finished.recv().unwrap();
            std::thread::sleep(TRANSFER_TIME);
            let connection = pool.connect(key, $next).await.unwrap();
            assert_eq!(connection.exchanges > 0, $expected);
        }
    )*};
}

used_again! {
    quiet_connection_is_used_again: |_| {}, true, "next" => true;
    connection_with_bytes_that_nobody_asked_for_is_not_used_again: |stream| stream.write_all(ANSWER).unwrap(), true, "next" => false;
    connection_that_the_upstream_closed_is_not_used_again: |stream| stream.shutdown(Shutdown::Write).unwrap(), true, "next" => false;
    connection_is_not_used_for_an_id_that_was_sent_over_it: |_| {}, true, "first" => false;
    connection_of_an_upstream_that_repeats_no_ids_is_not_used_again: |_| {}, false, "next" => false;
    connection_is_not_used_for_a_request_without_an_id: |_| {}, true, "" => false;
}

/// What an upstream does with its listener and a connection.
type End = fn(tokio::net::TcpListener, tokio::net::TcpStream) -> Option<tokio::net::TcpListener>;

/// Keeps a connection after an answer, lets the upstream end it, and checks whether the pool finds
/// that the upstream has ended.
macro_rules! found_ended {
    ($($name:ident: $end:expr => $expected:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let end: End = $end;
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let key = PoolKey { address, incarnation: 1 };
            let pool = Pool::default();
            let mut connection = pool.connect(key, "first").await.unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            let answered = async {
                assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
                stream.write_all(ANSWER).await.unwrap();
            };
            tokio::join!(exchange(&mut connection), answered);
            connection.has_ids = true;
            pool.keep(connection, &HeaderMap::new());
            let _listener = end(listener, stream);
            let found = tokio::time::timeout(CHECK_TIME, pool.ended.next()).await;
            assert_eq!(found.is_ok_and(|found| found == [key]), $expected);
        }
    )*};
}

found_ended! {
    closed_connection_and_refused_check_show_an_end: |_, _| None => true;
    closed_connection_alone_does_not_show_an_end: |listener, _| Some(listener) => false;
}

#[tokio::test]
async fn refused_connection_shows_an_end() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let key = PoolKey {
        address,
        incarnation: 1,
    };
    let pool = Pool::default();
    assert!(pool.connect(key, "first").await.is_err());
    assert_eq!(pool.ended.next().await, [key]);
}
