//! Bytes of heap that the calling thread holds, by a counting allocator around the system's. The
//! program that wants the count names [`CountingAllocator`] as its global allocator; elsewhere the
//! count stays at 0. It must never allocate itself.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    // Of each thread, so that threads of a simulation don't contend for one counter.
    static HELD_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// The system's allocator with a count of each thread's bytes.
pub struct CountingAllocator;

fn count(change: i64) {
    // A thread that is ending has no counter any more.
    let _ = HELD_BYTES.try_with(|held| held.set(held.get().wrapping_add(change)));
}

// SAFETY: each call goes on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        // SAFETY: the caller's promises are the system's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        // SAFETY: the caller's promises are the system's.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        // SAFETY: the caller's promises are the system's.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        count(new_size as i64 - layout.size() as i64);
        // SAFETY: the caller's promises are the system's.
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Bytes that this thread has taken and not given back.
pub fn held_bytes() -> i64 {
    HELD_BYTES.with(Cell::get)
}
