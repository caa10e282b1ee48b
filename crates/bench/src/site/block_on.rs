//! Runs a future on a new event loop.

use {
    ntex::rt::{DefaultRuntime, System},
    std::future::Future,
};

/// Runs a future to its end on a new event loop in the calling thread.
pub fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    System::new("bench", DefaultRuntime).block_on(future)
}
