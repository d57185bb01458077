//! The other balancers, for gossip.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::error::{OperatorFileError, OperatorFileProblem};

/// The most addresses: each gossip message goes to all of them at once.
const ADDRESSES_MAX: usize = 1024;

/// Where the other balancers are.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The balancer's own address for gossip, an address with a port.
    pub listen: SocketAddr,
    /// The other balancers' addresses. The own one among them is passed over, so that all may have
    /// one list.
    #[serde(default, alias = "to")]
    #[schemars(length(max = ADDRESSES_MAX))]
    pub addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Checks what the form alone can't. `key` is what the file calls the addresses.
    pub(super) fn check(&self, key: &str) -> Result<(), OperatorFileError> {
        let fault = |problem| OperatorFileError {
            key: key.to_string(),
            problem,
        };
        let count = self.addresses.len();
        if count > ADDRESSES_MAX {
            return Err(fault(OperatorFileProblem::TooManyAddresses {
                count,
                max: ADDRESSES_MAX,
            }));
        }
        let unreachable = |address: &&SocketAddr| {
            address.is_ipv4() != self.listen.is_ipv4() || address.port() == 0
        };
        match self.addresses.iter().find(unreachable) {
            Some(address) => Err(fault(OperatorFileProblem::UnreachableAddress {
                address: *address,
                listen: self.listen,
            })),
            None => Ok(()),
        }
    }
}
