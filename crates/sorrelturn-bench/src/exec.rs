//! A multi-threaded executor for the duration of one call.

use smol::{Executor, channel};
use std::{
    cell::RefCell,
    panic,
    sync::{
        Arc, Once,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

thread_local! {
    /// Counts the panics on the threads of one call of [`run_on`].
    static PANICS: RefCell<Option<Arc<AtomicUsize>>> = const { RefCell::new(None) };
}

/// Runs `f` on an executor with `threads` threads in addition to the calling thread.
///
/// # Panics
///
/// If a task panicked. The executor keeps that to itself if nobody waits for the task, while the release profile would have
/// ended the process.
pub fn run_on<T, F>(threads: usize, f: impl FnOnce(Arc<Executor<'static>>) -> F) -> T
where
    F: Future<Output = T>,
{
    let ex = Arc::new(Executor::new());
    let panics = Arc::new(AtomicUsize::new(0));
    count_panics_in(&panics);
    let (stop, stopped) = channel::bounded::<()>(1);
    let threads: Vec<_> = (0..threads)
        .map(|_| {
            let (ex, stopped, panics) = (Arc::clone(&ex), stopped.clone(), Arc::clone(&panics));
            thread::spawn(move || {
                count_panics_in(&panics);
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
    PANICS.set(None);
    let panics = panics.load(Ordering::Relaxed);
    assert_eq!(panics, 0, "a task panicked; its message stands above");
    result
}

/// Counts the panics of this thread from now on.
fn count_panics_in(panics: &Arc<AtomicUsize>) {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let print = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            PANICS.with_borrow(|panics| {
                panics.iter().for_each(|panics| {
                    panics.fetch_add(1, Ordering::Relaxed);
                });
            });
            print(info);
        }));
    });
    PANICS.set(Some(Arc::clone(panics)));
}
