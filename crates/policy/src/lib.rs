//! Decisions of a balancer for long-lived connections, without I/O and without a clock.
//!
//! [`Policy`] decides; the plain types that go in and come out stand in [`types`].
//!
//! ```
//! use nettlemux_policy::*;
//!
//! let patrol = TrafficClass { latency_objective: 300 * MS, priority_weight: 1.0, idempotency: Idempotency::Idempotent };
//! let mut policy = Policy::new(1, 0, vec![patrol]).attempts(3, 4 * MS, false, true);
//! let server = Endpoint { server_id: 51, zone: 0, machine: 0, cell: 0, state: EndpointState::Ready, weight: 1.0, started: 0 };
//! policy.update_endpoints(0, &[server], true);
//!
//! let flow = Flow { id: 7, deadline: 2 * SEC, ..Flow::default() };
//! let Placement::Forward { server_id, timeout, .. } = policy.place(0, &flow) else {
//!     panic!("there is room")
//! };
//! assert_eq!((server_id, timeout), (51, 2 * SEC - 4 * MS));
//! let actions = policy.on_event(MS, PolicyEvent::Connected { flow: 7, took: MS });
//! assert_eq!(actions, Actions::default());
//! ```

mod book;
mod holders;
pub mod policy;
mod rng;
pub mod types;

pub use policy::Policy;
pub use types::*;
