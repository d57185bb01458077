//! The simulator's protocol: parses lines into events and writes commands as lines. The names of
//! the protocol occur only in this module.

mod batch;
mod command;
mod endpoint;
mod error;
mod event;
mod event_fields;
mod fields;
mod lines;

pub use self::batch::{BATCH_END, BatchLine, EventLine, parse_batch_start};
pub use self::command::{write_balancer_commands, write_batch_end, write_command, write_timer};
pub use self::endpoint::read_endpoints;
pub use self::error::{WireError, WireProblem};
pub use self::event::{EndpointTables, EndpointUpdate, EventContext, SimulatorEvent};
pub use self::lines::Lines;
