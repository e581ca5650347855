//! Reverse proxy for pass-through routes: forwards requests unchanged to an upstream of a service.
//!
//! A request takes these steps. [`front`] finds its route and workspace, reads its body and
//! reserves its tokens ([`charge`]), which it may borrow from other routers ([`loans`]).
//! [`exchange`] sends it to upstreams until one answers; [`admission`] holds or refuses it under
//! load, [`attempt`] prepares each attempt, [`hedge`]
//! races a second one against a slow first one, and `verdict` decides what an answer, or the lack of
//! one, says of an attempt. [`stream`] forwards the events of a
//! streamed answer and resumes a broken stream where the route allows it. A [`job`] holds the state
//! of one request, and a [`refusal`] is an error answer of the router itself.
//!
//! [`process`] runs the router and control processes. [`registry`] is the HTTP interface of a
//! control host for upstreams and operators, whose log tells of an `outage` of the quorum, `read` shares the
//! document that operators read, and [`status`] serves readiness and metrics.

pub mod admission;
pub mod attempt;
pub mod charge;
pub mod exchange;
pub mod front;
pub mod hedge;
pub mod job;
pub mod loans;
mod outage;
pub mod process;
mod read;
pub mod refusal;
pub mod registry;
pub mod route_times;
pub mod status;
pub mod stream;
mod verdict;
