//! the testbed. [`simulate`] runs a scenario in virtual time with a decision module as each balancer's brain, [`sockets`]
//! runs it in real time with real balancer processes between stand-ins; [`rules`]
//! judges any run by its record alone; [`experiment`] compares, sweeps and hunts; [`scale`] grows one count at a time. Uses go down to the model
//! (`nettlemux-fleet-model`) and the flows in hand (`nettlemux-flow-table`). Nothing here may know how the decision module decides.

pub mod baselines;
pub mod capacity;
pub mod check;
pub mod experiment;
pub mod figures;
pub mod file;
pub mod mutants;
pub mod record;
pub mod rules;
pub mod scale;
pub mod simulate;
pub mod sockets;
