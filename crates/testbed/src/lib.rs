//! The testbed: scenarios in virtual time and on sockets, experiments, the rule checker and scale
//! runs.
//!
//! [`simulate`] runs a scenario in virtual time with a policy in each balancer. [`sockets`] runs it
//! in real time with balancer processes between stand-ins for the clients, servers and discovery.
//! [`rules`] checks any run from the observations alone. [`experiment`] compares policies on the
//! same seeds, sweeps a scenario key, and hunts for the scenario with the worst result. [`scale`]
//! measures while one count grows at a time, and [`capacity`] writes the capacity page from these
//! measurements. The crate depends on the fleet model and the flow table. Nothing here may depend
//! on how the policy decides.

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
