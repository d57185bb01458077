//! The loopback addresses of a run: a block that no other run holds.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use super::error::SocketRunError;

/// The port of the listener that holds a block.
const CLAIM_PORT: u16 = 17_999;
/// The first ports of balancers, of discovery agents and of servers; above each is one for every
/// further 250 of its kind.
const BALANCER_PORT: u16 = 17_000;
const DISCOVERY_PORT: u16 = 17_200;
const SERVER_PORT: u16 = 17_400;
/// Addresses of one port.
const ADDRESSES_PER_PORT: usize = 250;
/// The third byte of the addresses of balancers and of discovery agents; servers have those below,
/// one for each zone.
const BALANCER_SUBNET: usize = 250;
const DISCOVERY_SUBNET: usize = 251;
/// Blocks that runs may hold: 127.2.0.0/16 and those after it.
const BLOCKS: u32 = 250;
const FIRST_BLOCK: u32 = 2;

/// A block of loopback addresses (127.BLOCK.0.0/16), held by a listener for as long as the run
/// lasts.
pub struct AddressBlock {
    block: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Takes the first block that no other run holds.
    ///
    /// # Errors
    /// All blocks are held.
    pub fn claim() -> Result<Self, SocketRunError> {
        let first = std::process::id() % BLOCKS;
        for offset in 0..BLOCKS {
            let block = (FIRST_BLOCK + (first + offset) % BLOCKS) as u8;
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

    /// Returns where a balancer listens.
    pub fn balancer(&self, balancer: usize) -> SocketAddr {
        self.address(BALANCER_SUBNET, balancer, BALANCER_PORT)
    }

    /// Returns where a balancer's discovery agent listens.
    pub fn discovery(&self, balancer: usize) -> SocketAddr {
        self.address(DISCOVERY_SUBNET, balancer, DISCOVERY_PORT)
    }

    /// Returns a server's address as balancers of that zone reach it: what comes over it is delayed
    /// by the way between the zones.
    pub fn server(&self, server: usize, zone: usize) -> SocketAddr {
        self.address(1 + zone, server, SERVER_PORT)
    }

    fn address(&self, subnet: usize, number: usize, port: u16) -> SocketAddr {
        let host = (1 + number % ADDRESSES_PER_PORT) as u8;
        let ip = Ipv4Addr::new(127, self.block, subnet as u8, host);
        SocketAddr::from((ip, port + (number / ADDRESSES_PER_PORT) as u16))
    }
}
