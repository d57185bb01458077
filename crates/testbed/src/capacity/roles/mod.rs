//! The figures of each role in normal operation, without failures. Slopes come from the stored run.
//! A figure that the run does not contain is calculated from assumptions or reported as not measured.

pub mod balancer;
pub mod clients;
pub mod control;
pub mod discovery;
pub mod server;
