//! A multi-threaded executor for the duration of one call.

use smol::{Executor, channel};
use std::{sync::Arc, thread};

/// Runs `f` on an executor with `threads` threads in addition to the calling thread.
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
    // Boxed because a debug build keeps several copies of this large future on the stack, which
    // would nearly fill the stack of a test thread.
    let f = Box::pin(f(Arc::clone(&ex)));
    let result = smol::block_on(ex.run(f));
    drop(stop);
    for thread in threads {
        let _ = thread.join();
    }
    result
}
