//! What carries a flow on sockets, whatever protocol its client speaks: the desk with the decision module, the stages
//! from route on, sockets, mailboxes, buffers and descriptors, probes and discovery. Fronts hand flows to
//! [`pipeline::serve`]; the program puts the parts together. Uses go one way, from the chain down to the clock, and no file
//! here reads a configuration or a client's protocol.

mod attempt;
pub mod buffers;
pub mod client_ids;
pub mod clock;
pub mod connection;
pub mod dataplane;
pub mod descriptors;
pub mod discovery;
pub mod dispatcher;
mod errno;
mod flow_guard;
pub mod gossip;
pub mod health_check;
pub mod mailbox;
pub mod messages;
pub mod pipeline;
mod relay;
pub mod retry;
mod route;
pub mod runtime_settings;
pub mod shutdown;
pub mod socket;
mod start_times;
pub mod supervisor;
pub mod wire;
