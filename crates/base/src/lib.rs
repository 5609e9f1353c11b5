//! Types shared by all laurelhill crates: identifiers, request outcomes and macros that
//! derive common traits. This crate performs no I/O.

pub mod id;
pub mod outcome;
pub mod prelude;

/// Derives the traits that all plain data types have: `Debug`, `Clone`, `PartialEq`,
/// `Serialize` and `Deserialize`.
///
/// ```
/// base::common! {
///     /// A point in a plan.
///     pub struct Point { pub x: u32 }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 }.clone());
/// ```
#[macro_export]
macro_rules! common {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares string identifiers that are cheap to clone and can be used as map keys.
#[macro_export]
macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
            #[derive(serde::Serialize, serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// Creates the identifier from its text.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self(std::sync::Arc::from(text.as_ref()))
                }

                /// The identifier's text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }
        )*
    };
}
