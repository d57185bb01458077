//! Test of buffers that return to the pool.

use super::*;

#[test]
fn a_dropped_buffer_is_reused() {
    let buffers = BufferPool::new();
    let address = buffers.take().as_ptr();
    assert_eq!(buffers.take().as_ptr(), address, "same buffer");
}
