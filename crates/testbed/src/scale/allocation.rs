//! Heap bytes that the calling thread holds, counted by an allocator that wraps the system's. A
//! program that needs the count installs [`CountingAllocator`] as its global allocator; in other
//! programs the count stays at 0. This module never allocates.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    // One counter per thread, so that the threads of a simulation don't contend for a shared one.
    static HELD_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// The system's allocator, with a count of the bytes that each thread holds.
pub struct CountingAllocator;

fn add_held_bytes(change: i64) {
    // Fails in a thread that is terminating: its counter has already been destroyed.
    let _ = HELD_BYTES.try_with(|held| held.set(held.get().wrapping_add(change)));
}

// SAFETY: each call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add_held_bytes(layout.size() as i64);
        // SAFETY: the caller upholds the contract of the system's allocator, which is the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        add_held_bytes(-(layout.size() as i64));
        // SAFETY: the caller upholds the contract of the system's allocator, which is the same.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        add_held_bytes(layout.size() as i64);
        // SAFETY: the caller upholds the contract of the system's allocator, which is the same.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        add_held_bytes(new_size as i64 - layout.size() as i64);
        // SAFETY: the caller upholds the contract of the system's allocator, which is the same.
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Bytes that this thread has allocated minus those that it has freed.
pub fn held_bytes() -> i64 {
    HELD_BYTES.with(Cell::get)
}
