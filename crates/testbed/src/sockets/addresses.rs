//! The loopback addresses of a run: a block that no other run uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use super::error::SocketRunError;

/// Port of the listener that reserves a block.
const CLAIM_PORT: u16 = 17_999;
/// First ports of balancers, discovery agents and servers. Each further 250 of a kind use the next
/// port.
const BALANCER_PORT: u16 = 17_000;
const DISCOVERY_PORT: u16 = 17_200;
const SERVER_PORT: u16 = 17_400;
/// Addresses that are used with one port.
const ADDRESSES_PER_PORT: usize = 250;
/// Third byte of the addresses of balancers and of discovery agents. Servers use the lower values,
/// one for each zone.
const BALANCER_SUBNET: usize = 250;
const DISCOVERY_SUBNET: usize = 251;
/// Number of blocks: 127.2.0.0/16 and the following ones.
const BLOCK_COUNT: u32 = 250;
const FIRST_BLOCK: u32 = 2;

/// A block of loopback addresses (127.BLOCK.0.0/16), reserved by a listener for the duration of the
/// run.
pub struct AddressBlock {
    block: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Reserves the first block that no other run holds.
    ///
    /// # Errors
    /// All blocks are reserved.
    pub fn claim() -> Result<Self, SocketRunError> {
        let first = std::process::id() % BLOCK_COUNT;
        for offset in 0..BLOCK_COUNT {
            let block = (FIRST_BLOCK + (first + offset) % BLOCK_COUNT) as u8;
            let address = Ipv4Addr::new(127, block, 255, 1);
            if let Ok(claim) = TcpListener::bind((address, CLAIM_PORT)) {
                return Ok(AddressBlock {
                    block,
                    _claim: claim,
                });
            }
        }
        Err(SocketRunError::NoFreeAddresses)
    }

    /// Returns the address of a balancer.
    pub fn balancer(&self, balancer: usize) -> SocketAddr {
        self.address(BALANCER_SUBNET, balancer, BALANCER_PORT)
    }

    /// Returns the address of a balancer's discovery agent.
    pub fn discovery(&self, balancer: usize) -> SocketAddr {
        self.address(DISCOVERY_SUBNET, balancer, DISCOVERY_PORT)
    }

    /// Returns the address of a server for balancers of that zone. Traffic to this address is delayed
    /// by the network latency between the two zones.
    pub fn server(&self, server: usize, zone: usize) -> SocketAddr {
        self.address(1 + zone, server, SERVER_PORT)
    }

    fn address(&self, subnet: usize, number: usize, port: u16) -> SocketAddr {
        let host = (1 + number % ADDRESSES_PER_PORT) as u8;
        let ip = Ipv4Addr::new(127, self.block, subnet as u8, host);
        SocketAddr::from((ip, port + (number / ADDRESSES_PER_PORT) as u16))
    }
}
