//! Queues of frames for other replicas, bounded in number and in bytes.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;

/// Bound on the frames in a queue.
const MAX_QUEUE_FRAMES: usize = 256;

/// Size of the frames in a queue, in bytes, from which on no more are queued. A single frame may be
/// larger.
const MAX_QUEUE_BYTES: usize = 2 << 20;

/// Bound on the frames in one batch.
const MAX_BATCH_FRAMES: usize = 64;

/// Bound on the size of a batch, in bytes, unless a single frame is larger. A receiver reads no frame
/// of a batch before the whole batch has arrived.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Returns the two ends of a new queue.
pub(super) fn frame_queue() -> (FrameSender, FrameReceiver) {
    let (tx, rx) = mpsc::channel(MAX_QUEUE_FRAMES);
    let size = Arc::new(AtomicUsize::new(0));
    let sender = FrameSender {
        frames: tx,
        size: Arc::clone(&size),
    };
    let receiver = FrameReceiver {
        frames: rx,
        size,
        next: None,
    };
    (sender, receiver)
}

/// Sending end of a queue.
#[derive(Debug)]
pub(super) struct FrameSender {
    frames: mpsc::Sender<Vec<u8>>,
    /// Size of the queued frames, in bytes.
    size: Arc<AtomicUsize>,
}

impl FrameSender {
    /// Queues a frame. Returns false if it was dropped because the queue is full.
    pub fn send(&self, frame: Vec<u8>) -> bool {
        if self.size.load(Ordering::Relaxed) >= MAX_QUEUE_BYTES {
            return false;
        }
        let size = frame.len();
        self.size.fetch_add(size, Ordering::Relaxed);
        let queued = self.frames.try_send(frame).is_ok();
        if !queued {
            self.size.fetch_sub(size, Ordering::Relaxed);
        }
        queued
    }
}

/// Receiving end of a queue.
#[derive(Debug)]
pub(super) struct FrameReceiver {
    frames: mpsc::Receiver<Vec<u8>>,
    /// Size of the queued frames, in bytes.
    size: Arc<AtomicUsize>,
    /// Frame that did not fit into the last batch.
    next: Option<Vec<u8>>,
}

impl FrameReceiver {
    /// Waits for frames and returns those of the next batch, or `None` once the queue is closed.
    pub async fn batch(&mut self) -> Option<Vec<Vec<u8>>> {
        let first = match self.next.take() {
            Some(frame) => frame,
            None => self.frames.recv().await?,
        };
        let mut size = first.len();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_FRAMES {
            let Ok(frame) = self.frames.try_recv() else {
                break;
            };
            if size + frame.len() > MAX_BATCH_BYTES {
                self.next = Some(frame);
                break;
            }
            size += frame.len();
            batch.push(frame);
        }
        self.size.fetch_sub(size, Ordering::Relaxed);
        Some(batch)
    }

    /// Drops all queued frames.
    pub fn clear(&mut self) {
        let frames = &mut self.frames;
        while let Some(frame) = self.next.take().or_else(|| frames.try_recv().ok()) {
            self.size.fetch_sub(frame.len(), Ordering::Relaxed);
        }
    }
}
