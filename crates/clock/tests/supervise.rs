//! Supervision of background tasks.

use std::{cell::Cell, rc::Rc, time::Duration};

use clock::{ManualClock, supervise};
use futures_executor::LocalPool;
use futures_util::task::LocalSpawnExt;

/// Guards against a process that goes on without one of its tasks after the task has panicked.
#[test]
fn a_task_that_panics_is_started_again_until_it_ends() {
    let clock = ManualClock::new();
    let (starts, has_ended) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
    let mut pool = LocalPool::new();
    let (supervisor, counter, ended) = (clock.clone(), starts.clone(), has_ended.clone());
    let task = async move {
        let start = || async {
            counter.set(counter.get() + 1);
            assert!(counter.get() > 2, "the task is to panic");
        };
        supervise(&supervisor, "test", start).await;
        ended.set(true);
    };
    pool.spawner().spawn_local(task).expect("pool accepts tasks");
    for expected in [1, 2, 3] {
        pool.run_until_stalled();
        assert_eq!(starts.get(), expected, "the next start waits for the delay");
        clock.advance(Duration::from_secs(1));
    }
    assert!(has_ended.get());
}
