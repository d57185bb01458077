//! A model of the fleet that the balancers serve: servers whose load and capacity change, the store
//! that they share, discovery that lags, zones that are partitioned, clients that retry, and faults
//! as data.
//!
//! It is asked with a time and answers plain values: it has no I/O, clock, threads or hash order,
//! and every draw comes from one seed. Both drivers of the testbed, virtual time and real sockets,
//! stand on it, so that a scenario means the same to both. It must never know what a balancer
//! decides or why.
//!
//! [`scenario`] is read from a file; [`model::FleetModel`] is the fleet that it describes, with its
//! [`server`]s, their [`store`] and its [`fault`]s; [`population`] has the clients and
//! [`front_end`] their way to a balancer; [`observation`] is the form in which a driver records
//! what it saw.

#![warn(missing_docs)]

pub mod fault;
pub mod front_end;
pub mod model;
pub mod observation;
pub mod population;
pub mod rng;
pub mod scenario;
pub mod server;
pub mod store;
pub mod time;
