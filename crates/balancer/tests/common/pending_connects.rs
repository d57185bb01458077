//! Finds pending connections of this machine (state SYN-SENT) through sock_diag(7). Reading the
//! whole table `/proc/net/tcp` takes 40 ms once the tests have left 20,000 connections in
//! TIME-WAIT, which is too slow to poll: the set-up of a test took 3.5 s, although it has to finish
//! within 1 s.

use std::net::SocketAddrV4;

use libc::{
    AF_INET, AF_NETLINK, IPPROTO_TCP, NLM_F_DUMP, NLM_F_REQUEST, SOCK_CLOEXEC, SOCK_RAW, c_int,
    c_void,
};

const NETLINK_SOCK_DIAG: c_int = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLMSG_DONE: u16 = 3;
const TCP_SYN_SENT: u32 = 2;

/// A `struct nlmsghdr` followed by a `struct inet_diag_req_v2`.
#[repr(C)]
struct Request {
    length: u32,
    kind: u16,
    flags: u16,
    sequence: u32,
    port_id: u32,
    family: u8,
    protocol: u8,
    extensions: u8,
    padding: u8,
    states: u32,
    socket: [u8; 48],
}

/// The length of `struct nlmsghdr`.
const HEADER_BYTES: usize = 16;
/// The offset of the peer's port: a field of the `struct inet_diag_msg` that follows the header.
const PEER_PORT_OFFSET: usize = HEADER_BYTES + 6;
/// The offset of the peer's address in the same structure.
const PEER_ADDRESS_OFFSET: usize = HEADER_BYTES + 24;

/// Returns whether any connection to that address is pending: begun but not yet established.
pub fn has_pending_to(address: SocketAddrV4) -> bool {
    let request = Request {
        length: size_of::<Request>() as u32,
        kind: SOCK_DIAG_BY_FAMILY,
        flags: (NLM_F_REQUEST | NLM_F_DUMP) as u16,
        sequence: 1,
        port_id: 0,
        family: AF_INET as u8,
        protocol: IPPROTO_TCP as u8,
        extensions: 0,
        padding: 0,
        states: 1 << TCP_SYN_SENT,
        socket: [0; 48],
    };
    let mut answer = vec![0_u8; 32 << 10];
    // SAFETY: `request` is valid for the length passed to `send`, and `answer` for the length
    // passed to `recv`. The descriptor is closed only here.
    unsafe {
        let netlink = libc::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
        assert!(
            netlink >= 0,
            "can't open a sock_diag socket: {}",
            std::io::Error::last_os_error()
        );
        let sent = libc::send(
            netlink,
            (&raw const request).cast::<c_void>(),
            size_of::<Request>(),
            0,
        );
        assert_eq!(sent, size_of::<Request>() as isize);
        let mut found = false;
        loop {
            let count = libc::recv(netlink, answer.as_mut_ptr().cast(), answer.len(), 0);
            let Ok(count) = usize::try_from(count) else {
                break;
            };
            let (matches, last) = parse_messages(&answer[..count], address);
            found |= matches;
            if last {
                break;
            }
        }
        libc::close(netlink);
        found
    }
}

/// Returns whether one of these messages describes a connection to that address, and whether the
/// dump ends with these messages.
fn parse_messages(mut messages: &[u8], address: SocketAddrV4) -> (bool, bool) {
    let mut found = false;
    while messages.len() >= HEADER_BYTES {
        let length = u32::from_ne_bytes(messages[..4].try_into().unwrap()) as usize;
        let kind = u16::from_ne_bytes(messages[4..6].try_into().unwrap());
        if kind == NLMSG_DONE || length < HEADER_BYTES {
            return (found, true);
        }
        if let Some(peer) = messages.get(PEER_ADDRESS_OFFSET..PEER_ADDRESS_OFFSET + 4) {
            let port = u16::from_be_bytes(
                messages[PEER_PORT_OFFSET..PEER_PORT_OFFSET + 2]
                    .try_into()
                    .unwrap(),
            );
            found |= port == address.port() && peer == address.ip().octets();
        }
        messages = messages
            .get(length.next_multiple_of(4)..)
            .unwrap_or_default();
    }
    (found, false)
}
