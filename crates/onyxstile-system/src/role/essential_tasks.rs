//! Tasks that a role cannot do without: one that ends, by a panic too, must end the role. Otherwise the process would run on
//! and do nothing.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

use tokio::task::JoinHandle;

use super::error::RoleError;

/// Running tasks with their names.
#[derive(Default)]
pub struct EssentialTasks(Vec<(&'static str, JoinHandle<()>)>);

impl EssentialTasks {
    /// Starts a task.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        self.0.push((name, tokio::task::spawn_local(task)));
    }

    /// Waits until any of the tasks has ended.
    pub async fn ended(mut self) -> RoleError {
        poll_fn(|context| {
            for (name, task) in &mut self.0 {
                if Pin::new(task).poll(context).is_ready() {
                    return Poll::Ready(RoleError::PartEnded(name));
                }
            }
            Poll::Pending
        })
        .await
    }
}
