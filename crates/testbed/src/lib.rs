//! The testbed: scenarios in virtual time and on sockets, experiments, the rule checker and scale
//! runs.
//!
//! [`simulate`] runs a scenario in virtual time with a policy in each balancer, [`sockets`] runs it
//! in real time with balancer processes between stand-ins. [`rules`] checks any run by what was
//! observed alone; [`experiment`] compares, sweeps and hunts; [`scale`] grows one count at a time,
//! and [`capacity`] writes the capacity page from what it measured. Uses go down to the fleet model
//! and the flow table. Nothing here may know how the policy decides.

#![warn(missing_docs)]

mod balancer_process;
pub mod baselines;
pub mod capacity;
pub mod check;
pub mod experiment;
pub mod figures;
pub mod file;
pub mod file_error;
pub mod mutants;
pub mod record;
pub mod rules;
pub mod scale;
pub mod simulate;
pub mod sockets;
