//! Macros that apply the sets of derives shared by the workspace.
//!
//! ```
//! mulberrynotch_macros::data! {
//!     /// A point in a plane.
//!     pub struct Point {
//!         /// Horizontal position, in pixels.
//!         pub x: u32,
//!     }
//! }
//!
//! assert_eq!(Point { x: 1 }.clone(), Point { x: 1 });
//! ```

/// Derives `Clone`, `Debug`, `PartialEq` and `Eq`, for plain data types.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )*
    };
}

/// Derives the set of [`data!`] and `Copy`, `PartialOrd`, `Ord` and `Hash`, for small value types.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Derives the set of [`data!`] and `serde`'s `Serialize` and `Deserialize`, for messages between
/// processes. The calling crate needs a dependency on `serde`.
#[macro_export]
macro_rules! message {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the set of [`message!`] and rejects unknown keys on deserialization, for settings and
/// the register.
#[macro_export]
macro_rules! document {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(deny_unknown_fields)]
            $item
        )*
    };
}
