//! Timer service with subscriptions to one-shot and periodic deadlines.
//!
//! [`queue::Queue`] holds the deadlines and reads no clock; [`service::Service`] drives it on a
//! `tokio` runtime and reports to each subscriber how late the wake-up is.
//!
//! ```
//! use std::time::Duration;
//! use mulberrynotch_timer::queue;
//!
//! let mut queue = queue::Queue::new();
//! let id = queue.add(Duration::ZERO, queue::Schedule::Once(Duration::from_millis(10)));
//! assert!(queue.expire(Duration::from_millis(9)).is_empty());
//! let fired = queue.expire(Duration::from_millis(12));
//! assert_eq!(fired, [queue::Fired { id, late: Duration::from_millis(2), last: true }]);
//! ```

pub mod queue;
pub mod service;

/// Re-exports the commonly used modules of this crate.
pub mod prelude {
    pub use crate::queue;
    pub use crate::service;
}
