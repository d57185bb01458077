//! Bounded candidate servers for a key, without I/O and without a clock of its own.
//!
//! [`Candidates`] answers which few servers of a long list a key may go to. Balancers with the same list get
//! the same answer, balancers whose lists differ by a few entries nearly the same. A [`Budget`] bounds how
//! often something is done, a [`ProbeQueue`] which servers are probed within one; a [`LongList`] holds what a
//! balancer keeps of such a list. The design and its alternatives: `docs/design/candidates.md`.
//!
//! ```
//! use nettlemux_candidates::Candidates;
//!
//! let mut candidates = Candidates::default();
//! for id in 0..1000 {
//!     candidates.insert(id, id % 4, 1.0);
//! }
//! let found = candidates.candidates(7, 2, 16);
//! assert_eq!(found.len(), 16);
//! // Three quarters of them are in the caller's zone.
//! assert_eq!(found.iter().filter(|id| **id % 4 == 2).count(), 12);
//! ```

mod budget;
mod hash;
mod long_list;
mod probes;
mod ring;
mod zones;

pub use budget::Budget;
pub use hash::{hash, hash_name, usable_weight};
pub use long_list::{LongList, MOST_CANDIDATES, WHOLE_LIST};
pub use probes::{PROBES_A_SECOND, ProbeQueue};
pub use zones::{Candidates, ServerId, ZoneId};
