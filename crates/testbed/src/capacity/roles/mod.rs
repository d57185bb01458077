//! The figures of each role in quiet operation. Slopes come from the stored run; what it doesn't
//! have is worked out from assumptions or told as not measured.

pub mod balancer;
pub mod clients;
pub mod control;
pub mod discovery;
pub mod server;
