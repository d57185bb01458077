//! The data plane: carries flows on sockets, whatever protocol their clients speak.
//!
//! It owns the sockets, buffers and descriptors of all connections, the coroutines that serve them,
//! and the one that runs the load balancing policy. It must never choose a server, a retry or a
//! limit itself, read a configuration file, or know a client's protocol.
//!
//! The way through it: a front accepts a client and hands its flow to [`pipeline`], which asks the
//! [`dispatcher`] where the flow goes, makes the attempt and relays lines until a side ends. The
//! dispatcher owns the policy; other coroutines talk to it by the [`messages`] in its [`mailbox`].
//! [`discovery`] brings it the endpoint list, [`health_check`] the servers' load reports and
//! [`gossip`] what other balancers hold. [`wire`] reads and writes the servers' protocol. The
//! [`supervisor`] restarts services that fail, [`shutdown`] says when the last answer is due,
//! [`retry`] repeats steps of the start, and [`clock`] is the one clock of all.
//!
//! Modules use each other in one direction only, from the pipeline down to the clock.

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
