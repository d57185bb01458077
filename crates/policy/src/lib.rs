//! Decisions of a balancer for long-lived connections, without I/O and without a clock.
//!
//! [`Policy`] decides; the plain types that go in and come out stand in [`types`].
//!
//! ```
//! use nettlemux_policy::*;
//!
//! let patrol = ServiceType { setup_target: 300 * MS, value: 1.0, repeat: Repeat::Repeatable };
//! let mut policy = Policy::new(1, 0, vec![patrol]).attempts(3, 4 * MS, false, true);
//! let server = Listed { rs: 51, zone: 0, machine: 0, cell: 0, state: State::Ready, weight: 1.0, started: 0 };
//! policy.list(0, &[server], true);
//!
//! let flow = Flow { id: 7, deadline: 2 * SEC, ..Flow::default() };
//! let Place::To(rs, limit, _) = policy.place(0, &flow) else { panic!("there is room") };
//! assert_eq!((rs, limit), (51, 2 * SEC - 4 * MS));
//! let todo = policy.after(MS, Outcome::Connected { flow: 7, took: MS });
//! assert_eq!(todo, Todo::default());
//! ```

mod book;
mod holders;
pub mod policy;
mod rng;
pub mod types;

pub use policy::Policy;
pub use types::*;
