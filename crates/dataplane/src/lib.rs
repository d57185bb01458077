//! What carries a flow on sockets, whatever protocol its client speaks: the desk with the decision module, the stages
//! from route on, sockets, mailboxes, buffers and descriptors, probes and discovery. Fronts hand flows to
//! [`pipeline::serve`]; the program puts the parts together. Uses go one way, from the chain down to the clock, and no file
//! here reads a configuration or a client's protocol.

mod attempt;
pub mod clock;
pub mod discovery;
pub mod dispatcher;
mod flow_guard;
pub mod gossip;
pub mod health_check;
pub mod mailbox;
pub mod messages;
pub mod net;
pub mod pipeline;
pub mod pool;
mod relay;
pub mod retry;
mod route;
pub mod shared;
pub mod shutdown;
mod start_times;
pub mod supervisor;
pub mod wire;
