//! HTTP server and clients.
//!
//! [`server`] accepts connections from callers, [`client`] and [`pool`] connect to upstreams,
//! [`counted`] counts the answers over a connection of [`client`], [`body`] holds the bodies of
//! responses, [`read`] reads the bodies of requests and [`answer`] those of upstreams' answers, of
//! which it decides whether they are complete. All of them bound bytes and time. [`not_run`] is the
//! evidence that an upstream did not run a request, and [`pause`] the time for which it wants none. [`framing`] tells how the end of a body is
//! marked, [`memory`] bounds what the bodies of all requests and answers take, in the buffers of [`buffer`], and [`events`] splits a body of server-sent events. [`shared`] lets [`pool`] look at a
//! connection before it is used again, [`ended`] finds upstreams that have ended by refused connections, [`progress`] bounds what is read without a part of an answer, [`traffic`] counts bytes, and [`waiting`] finds connections that can be closed to make room.

pub mod answer;
pub mod body;
mod buffer;
pub mod caller;
pub mod client;
pub mod counted;
pub mod ended;
pub mod events;
pub mod framing;
pub mod interim;
pub mod memory;
pub mod not_run;
pub mod pause;
pub mod pool;
mod progress;
pub mod read;
pub mod server;
pub mod shared;
pub mod socket;
pub mod traffic;
mod waiting;

pub use answer::AnswerBody;
pub use answer::AnswerFault;
pub use answer::read_answer;
pub use body::Part;
pub use body::ReplyBody;
pub use client::HttpClient;
pub use client::SendError;
pub use framing::Framing;
pub use memory::AnswerMemory;
pub use memory::NoRoom;
pub use memory::RequestMemory;
pub use not_run::NotRun;
pub use not_run::Tie;
pub use pause::RequestedPause;
pub use read::ReadError;
pub use read::drop_unread;
pub use read::read_bounded;
pub use traffic::Traffic;
