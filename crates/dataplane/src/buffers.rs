//! The pool of line buffers. It owns the buffers that are not in use. It must never wait: if it is
//! empty, a new buffer is allocated.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use crossbeam_queue::ArrayQueue;

/// Size of each buffer: a line of 4 KiB and its CRLF.
pub const BUFFER_BYTES: usize = 4096 + 2;
/// Largest number of unused buffers in the pool. Few are needed: data is forwarded as it arrives, so
/// most connections hold no buffer.
const POOLED_BUFFERS_MAX: usize = 64;

/// A pool of reusable buffers.
pub struct BufferPool {
    free: ArrayQueue<Box<[u8; BUFFER_BYTES]>>,
}

impl BufferPool {
    /// Returns an empty pool.
    pub fn new() -> Arc<Self> {
        Arc::new(BufferPool {
            free: ArrayQueue::new(POOLED_BUFFERS_MAX),
        })
    }

    /// Takes a buffer. It may hold the bytes of its last use.
    pub fn take(self: &Arc<Self>) -> Buffer {
        let bytes = self
            .free
            .pop()
            .unwrap_or_else(|| Box::new([0; BUFFER_BYTES]));
        Buffer {
            bytes: Some(bytes),
            pool: self.clone(),
        }
    }
}

/// A buffer that returns to its pool when it is dropped.
pub struct Buffer {
    bytes: Option<Box<[u8; BUFFER_BYTES]>>,
    pool: Arc<BufferPool>,
}

impl Deref for Buffer {
    type Target = [u8; BUFFER_BYTES];

    fn deref(&self) -> &Self::Target {
        self.bytes.as_deref().expect("held until dropped")
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.bytes.as_deref_mut().expect("held until dropped")
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if let Some(bytes) = self.bytes.take() {
            let _ = self.pool.free.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests;
