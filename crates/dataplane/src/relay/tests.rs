//! Tests of how much one direction forwards in one turn.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use super::direction::BUFFERS_PER_TURN_MAX;
use super::*;
use crate::buffers::{BUFFER_BYTES, BufferPool};
use crate::connection::Connection;
use crate::descriptors::DescriptorBudget;

/// Returns a stream and the accepted connection at its other end.
fn connected_pair(descriptors: &std::sync::Arc<DescriptorBudget>) -> (TcpStream, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let accepted = listener.accept().unwrap().0;
    accepted.set_nonblocking(true).unwrap();
    (
        stream,
        Connection::new(accepted, descriptors.try_acquire().unwrap()),
    )
}

#[test]
fn a_turn_ends_after_its_buffers_and_the_rest_is_forwarded_in_later_turns() {
    let forwarded = may::go!(|| {
        let (descriptors, buffers) = (DescriptorBudget::new(9), BufferPool::new());
        let ((mut from, sender), (mut to, receiver)) =
            (connected_pair(&descriptors), connected_pair(&descriptors));
        from.write_all(&[b'x'; 24 * BUFFER_BYTES]).unwrap();
        let mut direction = Direction::default();
        let mut forwarded = Vec::new();
        for _ in 0..3 {
            let mut count = 0;
            direction
                .pump(&sender.socket, &receiver.socket, &buffers, |bytes| {
                    count += bytes.len()
                })
                .unwrap();
            let mut read = vec![0; count];
            to.read_exact(&mut read).unwrap();
            forwarded.push((count, direction.has_more));
        }
        forwarded
    });
    let forwarded = forwarded.join().unwrap();
    assert!(
        forwarded[0].0 <= BUFFERS_PER_TURN_MAX * BUFFER_BYTES && forwarded[0].1,
        "{forwarded:?}"
    );
    assert_eq!(
        (forwarded.iter().map(|p| p.0).sum::<usize>(), forwarded[2].1),
        (24 * BUFFER_BYTES, false),
        "{forwarded:?}"
    );
}
