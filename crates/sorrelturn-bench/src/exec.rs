//! An executor with threads for a while.

use smol::{Executor, channel};
use std::{sync::Arc, thread};

/// Runs `f` with an executor that has so many threads besides the caller's own, which works too.
pub fn run_on<T, F>(threads: usize, f: impl FnOnce(Arc<Executor<'static>>) -> F) -> T
where
    F: Future<Output = T>,
{
    let ex = Arc::new(Executor::new());
    let (stop, stopped) = channel::bounded::<()>(1);
    let threads: Vec<_> = (0..threads)
        .map(|_| {
            let (ex, stopped) = (Arc::clone(&ex), stopped.clone());
            thread::spawn(move || {
                let _ = smol::block_on(ex.run(stopped.recv()));
            })
        })
        .collect();
    // Boxed: that of a test that starts a fleet has tens of kilobytes, of which a debug build keeps seven copies on the
    // stack, 1.5 of its 2 MB.
    let f = Box::pin(f(Arc::clone(&ex)));
    let result = smol::block_on(ex.run(f));
    drop(stop);
    for thread in threads {
        let _ = thread.join();
    }
    result
}
