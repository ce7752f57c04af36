//! Global allocator that counts the bytes in use and their peak.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
};

struct CountingAllocator;

static BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: all calls are passed to the system allocator with unchanged arguments.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let bytes = BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(bytes, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Runs `build`; returns its result, the bytes still allocated after it, and the peak during it.
pub(crate) fn bytes<T>(build: impl FnOnce() -> T) -> (T, usize, usize) {
    let before = BYTES.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let built = build();
    let kept = BYTES.load(Ordering::Relaxed).saturating_sub(before);
    (built, kept, PEAK.load(Ordering::Relaxed) - before)
}
