//! A runtime on a thread of its own.
//!
//! The tasks of a runtime share one queue, so whatever fills it delays all of them. Tasks that have
//! to go on under any load run in another runtime than the load: between threads, the operating
//! system divides the processor.

use std::future::Future;
use std::io;
use std::thread;

use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A runtime with one thread. When it is dropped, its tasks are dropped at their next wait, and the
/// thread has ended.
#[derive(Debug)]
pub struct ThreadRuntime {
    handle: Handle,
    /// Ends the thread when dropped.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ThreadRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// If the operating system refuses the thread or the runtime's descriptors.
    pub fn start(name: &str) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                // Resolves when the sender is dropped.
                let _ = runtime.block_on(stopped);
            })?;
        Ok(Self {
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Spawns a task on this runtime.
    pub fn spawn<F>(&self, future: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.handle.spawn(future)
    }

    /// Moves a listener to this runtime.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to watch the socket.
    pub fn adopt(&self, listener: TcpListener) -> io::Result<TcpListener> {
        let listener = listener.into_std()?;
        let _guard = self.handle.enter();
        TcpListener::from_std(listener)
    }
}

impl Drop for ThreadRuntime {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of a runtime panicked");
        }
    }
}
