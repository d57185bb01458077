//! Gossip between balancers: datagrams that say which server holds connections of which group.
//!
//! This module owns the UDP socket for gossip, the peers' addresses and the format of the
//! datagrams. It must never judge a message, wait for a message, or delay a flow. A datagram that
//! can't be sent at once is dropped, as it may be on the network.

mod codec;
mod receive_limit;
mod transport;

pub use self::transport::GossipTransport;
