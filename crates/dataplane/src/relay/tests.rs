//! What one direction passes on in one turn.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use super::direction::BUFFERS_PER_TURN_MAX;
use super::*;
use crate::buffers::{BUFFER_BYTES, BufferPool};
use crate::connection::Connection;
use crate::descriptors::DescriptorBudget;

/// A stream and the socket at its other end.
fn pair(descriptors: &std::sync::Arc<DescriptorBudget>) -> (TcpStream, Connection) {
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
fn one_flow_does_not_keep_the_worker() {
    let passed = may::go!(|| {
        let (descriptors, buffers) = (DescriptorBudget::new(9), BufferPool::new());
        let ((mut from, sender), (mut to, receiver)) = (pair(&descriptors), pair(&descriptors));
        from.write_all(&[b'x'; 24 * BUFFER_BYTES]).unwrap();
        let mut direction = Direction::default();
        let mut passed = Vec::new();
        for _ in 0..3 {
            let mut count = 0;
            direction
                .pump(&sender.socket, &receiver.socket, &buffers, |bytes| {
                    count += bytes.len()
                })
                .unwrap();
            let mut read = vec![0; count];
            to.read_exact(&mut read).unwrap();
            passed.push((count, direction.has_more));
        }
        passed
    });
    let passed = passed.join().unwrap();
    assert!(
        passed[0].0 <= BUFFERS_PER_TURN_MAX * BUFFER_BYTES && passed[0].1,
        "{passed:?}"
    );
    assert_eq!(
        (passed.iter().map(|p| p.0).sum::<usize>(), passed[2].1),
        (24 * BUFFER_BYTES, false),
        "{passed:?}"
    );
}
