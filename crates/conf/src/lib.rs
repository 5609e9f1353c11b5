//! Settings of laurelhill: INI files that are validated against a schema of sections and
//! keys, and a deployment's base file with its overlays. A set of files is identified by its
//! hash.
//!
//! ```
//! let base = "[deployment]\nname = demo\n[region north]\ndomains = n-1\n\
//!             [service board]\nrepeat = idempotent\n";
//! let site = "[pool board n-1]\nservers = 127.0.0.1:7001\nslots = 3\n";
//! let bundle = conf::ConfigBundle::new()
//!     .with_file("base.ini", base)
//!     .with_file("north.ini", site);
//! let deployment = bundle.deployment()?;
//! assert_eq!(deployment.capacity("north", "board"), 3);
//! # Ok::<(), conf::Error>(())
//! ```

mod bundle;
mod deployment;
mod desired;
pub mod edit;
mod error;
mod overlay;
pub mod schema;
mod section;
mod settings_file;
mod teams;
mod value;

pub use bundle::{BASE_FILE, ConfigBundle};
pub use deployment::{Deployment, Objective, Pool, Region, ServerProfile, Service};
pub use error::{Error, Result};
pub use overlay::{ChangeKind, KeyChange, diff};
pub use section::{CheckedFile, CheckedSection};
pub use settings_file::SettingsFile;
pub use value::{parse_duration, parse_percent, parse_size};
