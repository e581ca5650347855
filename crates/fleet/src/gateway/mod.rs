//! Pass-through routes: requests are forwarded as they came, to one upstream of a service.
//!
//! The way of a request: [`front`] finds its route and workspace, reads its body and sets its tokens
//! aside ([`charge`]); [`exchange`] chooses upstreams and sends it until one answers; [`stream`] passes
//! events on and resumes a broken stream where the route allows it. A [`refusal`] says whether the
//! request may have run. [`process`] is the whole router, [`registry`] the interface of a control host
//! for upstreams and operators.

pub mod charge;
pub mod exchange;
pub mod front;
pub mod job;
pub mod process;
pub mod refusal;
pub mod registry;
pub mod status;
pub mod stream;
