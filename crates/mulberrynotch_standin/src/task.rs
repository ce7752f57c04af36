//! Tasks that are aborted with their owner.

use std::{
    future::Future,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::task::{
    AbortHandle,
    JoinSet, //
};

/// Group of tasks that are aborted when it is dropped.
#[derive(Debug, Default)]
pub struct Group {
    tasks: Mutex<JoinSet<()>>,
}

impl Group {
    /// Spawns a task into the group.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task)
    }
}

/// Locks a mutex, ignoring poisoning: the panic is reported by the task that caused it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
