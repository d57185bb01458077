//! What carries a flow on sockets, whatever protocol its client speaks: the desk with the decision module, the stages
//! from route on, sockets, mailboxes, buffers and descriptors, probes and discovery. Fronts hand flows to
//! [`chain::serve`]; the program puts the parts together. Uses go one way, from the chain down to the clock, and no file
//! here reads a configuration or a client's protocol.

mod book;
pub mod chain;
pub mod clock;
pub mod desk;
pub mod discovery;
pub mod mail;
pub mod net;
pub mod orders;
pub mod parts;
pub mod peers;
pub mod pool;
pub mod probe;
mod relay;
pub mod retry;
mod route;
mod send;
pub mod shared;
pub mod shutdown;
mod starts;
pub mod wire;
