//! A model of the fleet that the balancers serve: servers whose load and capacity change, the store they share, discovery
//! that lags, zones that are cut off, clients that come back, and faults as data. It is asked with a time and answers plain
//! values: it has no I/O, clock, threads or hash order, and every draw comes from one seed. Both drivers of the laboratory,
//! virtual time and real sockets, stand on it, so that a scenario means the same to both. It must never know what a
//! balancer decides or why.

#![warn(missing_docs)]

pub mod fault;
pub mod model;
pub mod observation;
pub mod population;
pub mod rng;
pub mod scenario;
pub mod server;
pub mod store;
pub mod time;
