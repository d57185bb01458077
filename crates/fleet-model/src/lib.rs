//! A deterministic model of the fleet that the balancers serve: servers whose load and capacity
//! change, the store that they share, discovery that lags, zones that are partitioned, clients that
//! retry, and faults that are described as data.
//!
//! The caller passes the time, and the model returns plain values. The model uses no I/O, clock,
//! threads or hash iteration order, and every random draw derives from one seed. Both drivers of
//! the testbed, virtual time and real sockets, use this model, so that a scenario has the same
//! meaning for both. The model must not depend on what a balancer decides or why.
//!
//! A [`scenario`] is read from a file. [`model::FleetModel`] is the fleet that the scenario
//! describes, with its [`server`]s, their [`store`] and its [`fault`]s. [`population`] models the
//! clients, and [`front_end`] the component that assigns clients to balancers. [`observation`]
//! defines the records that a driver writes of what it observed.

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
