//! The data plane: runs flows on sockets, whatever protocol their clients use.
//!
//! It owns the sockets, buffers and descriptors of all connections, the coroutines that serve them,
//! and the one that runs the load balancing policy. It must never choose a server, a retry or a
//! limit itself, read a configuration file, or know a client's protocol.
//!
//! The path of a flow: a front accepts a client and passes its flow to [`pipeline`], which asks the
//! [`dispatcher`] where the flow goes, makes the attempt and relays lines until one side ends. The
//! dispatcher owns the policy. Other coroutines send it [`messages`] through its [`mailbox`].
//! [`discovery`] sends it the endpoint list, [`health_check`] the servers' load reports, and
//! [`gossip`] which server holds the connections of a group at other balancers. [`wire`] reads and
//! writes the servers' protocol. The [`supervisor`] restarts services that fail, [`shutdown`]
//! computes when the last answer is due, [`retry`] repeats steps of the start that have failed, and
//! [`clock`] is the clock that all modules use.
//!
//! Dependencies between modules go in one direction only, from the pipeline down to the clock.

#![warn(missing_docs)]

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
pub mod timer;
pub mod wire;
