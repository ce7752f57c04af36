//! Model, parsing and validation of the register and of settings.
//!
//! The platform publishes the register for all processes. The settings configure a single process
//! at its start.
//!
//! ```
//! let text = r#"{ "revision": 1, "zones": [{ "name": "a" }], "services": [] }"#;
//! let register = mulberrynotch_register::parse::register(text).unwrap();
//! assert_eq!(register.revision, 1);
//! ```

mod decode;
pub mod id;
pub mod model;
pub mod parse;
pub mod problem;
mod read;
pub mod settings;
pub mod steering;
pub mod validate;

/// Re-exports the commonly used modules of this crate.
pub mod prelude {
    pub use crate::id;
    pub use crate::model;
    pub use crate::parse;
    pub use crate::settings;
    pub use crate::steering;
}
