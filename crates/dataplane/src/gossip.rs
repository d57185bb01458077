//! Gossip between balancers: datagrams that say which server holds connections of which group.
//!
//! This module owns the socket that gossip is sent and received on, the peers' addresses and the
//! format of the datagrams. It must never judge a message, wait for one, or hold up a flow: what
//! can't be sent at once is lost, as it may be on the network.

mod codec;
mod receive_limit;
mod transport;

pub use self::transport::GossipTransport;
