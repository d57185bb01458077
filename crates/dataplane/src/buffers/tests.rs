//! Buffers that are given back.

use super::*;

#[test]
fn buffers_come_back() {
    let buffers = BufferPool::new();
    let at = buffers.take().as_ptr();
    assert_eq!(buffers.take().as_ptr(), at, "used again");
}
