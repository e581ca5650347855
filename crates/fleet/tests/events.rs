//! Splitting of server-sent events, wherever the bytes are divided into reads.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use chestnutnotch::edges::http::events::EventSplitter;
use chestnutnotch::edges::http::events::event_id;
use chestnutnotch::edges::http::events::split_events;

/// Pushes a body in two reads, divided at each position. Checks that the events and the rest are the
/// body, which events there are, and how many bytes of an incomplete one are left.
fn check(body: &str, ids: &[u64], partial: usize) {
    for position in 0..=body.len() {
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        for read in [&body[..position], &body[position..]] {
            let read = Bytes::copy_from_slice(read.as_bytes());
            whole.extend_from_slice(&splitter.push(read).unwrap());
        }
        assert_eq!(splitter.partial_bytes(), partial, "{body:?} at {position}");
        let found: Vec<u64> = split_events(Bytes::from(whole.clone()))
            .filter_map(|event| event_id(&event))
            .collect();
        assert_eq!(found, ids, "{body:?} at {position}");
        whole.extend_from_slice(&splitter.take_partial());
        assert_eq!(whole, body.as_bytes(), "at {position}");
    }
}

macro_rules! cases {
    ($($name:ident: $body:literal => $ids:expr, $partial:literal;)*) => {$(
        #[test]
        fn $name() {
            check($body, &$ids, $partial);
        }
    )*};
}

cases! {
    nothing: "" => [], 0;
    line_feeds: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" => [1, 2], 0;
    carriage_returns: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r" => [1, 2], 0;
    both: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" => [1, 2], 0;
    mixed: "id: 1\r\ndata: a\r\n\nid: 2\ndata: b\n\r\n" => [1, 2], 0;
    cut_in_a_line: "id: 1\ndata: a\n\nid: 2\nda" => [1], 8;
    cut_after_a_line: "id: 1\ndata: a\n\nid: 2\ndata: b\n" => [1], 14;
    cut_before_the_blank_line: "id: 1\r\ndata: a\r\n" => [], 16;
    comment_at_the_end: "id: 1\ndata: a\n\n: done\n" => [1], 0;
    comment_cut_short: "id: 1\ndata: a\n\n: do" => [1], 4;
    blank_line_at_the_end: "id: 1\ndata: a\n\n\n" => [1], 0;
}
