//! The addresses of the other balancers, for gossip.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::error::{OperatorFileError, OperatorFileProblem};

/// Limits the number of addresses, as each gossip message is sent to all of them at once.
const ADDRESSES_MAX: usize = 1024;

/// The addresses of the other balancers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The balancer's own address for gossip: an IP address and a port.
    pub listen: SocketAddr,
    /// The other balancers' addresses. The balancer's own address is ignored, so that all balancers
    /// can have the same list.
    #[serde(default, alias = "to")]
    #[schemars(length(max = ADDRESSES_MAX))]
    pub addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Checks the values, which deserialization doesn't. `key` is the path of the addresses in the
    /// file.
    pub(super) fn check(&self, key: &str) -> Result<(), OperatorFileError> {
        let invalid = |problem| OperatorFileError {
            key: key.to_string(),
            problem,
        };
        let count = self.addresses.len();
        if count > ADDRESSES_MAX {
            return Err(invalid(OperatorFileProblem::TooManyAddresses {
                count,
                max: ADDRESSES_MAX,
            }));
        }
        let unreachable = |address: &&SocketAddr| {
            address.is_ipv4() != self.listen.is_ipv4() || address.port() == 0
        };
        match self.addresses.iter().find(unreachable) {
            Some(address) => Err(invalid(OperatorFileProblem::UnreachableAddress {
                address: *address,
                listen: self.listen,
            })),
            None => Ok(()),
        }
    }
}
