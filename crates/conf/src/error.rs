//! Errors of the settings.

use quick_error::quick_error;

quick_error! {
    /// What is wrong with a settings file, and what to write instead.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The file could not be read.
        Unreadable(file: String, cause: String) {
            display("{}: can't be read: {}", file, cause)
        }
        /// The file isn't INI.
        Syntax(file: String, cause: String) {
            display("{}: not a valid INI file: {}", file, cause)
        }
        /// The section's kind is unknown.
        UnknownSection(file: String, section: String, allowed: String) {
            display("{}: unknown section [{}]; allowed: {}", file, section, allowed)
        }
        /// The section's header has too few or too many names.
        SectionName(file: String, section: String, form: String) {
            display("{}: section [{}] must be written as [{}]", file, section, form)
        }
        /// The section stands twice.
        RepeatedSection(file: String, section: String) {
            display("{}: section [{}] stands twice; join them", file, section)
        }
        /// The key is unknown.
        UnknownKey(file: String, section: String, key: String, allowed: String) {
            display("{}: [{}] has the unknown key '{}'; allowed: {}", file, section, key, allowed)
        }
        /// A key without a default is missing.
        MissingKey(file: String, section: String, key: String, allowed: String) {
            display("{}: [{}] needs the key '{}' ({})", file, section, key, allowed)
        }
        /// The value can't be used.
        BadValue(file: String, section: String, key: String, value: String, allowed: String) {
            display("{}: [{}] {} = '{}' can't be used; allowed: {}", file, section, key, value, allowed)
        }
        /// A whole section is missing.
        MissingSection(file: String, section: String) {
            display("{}: the section [{}] is missing", file, section)
        }
        /// Two overlays set the same key.
        Conflict(first: String, second: String, section: String, key: String) {
            display("{} and {} both set [{}] {}; keep it in one of them", first, second, section, key)
        }
        /// An overlay repeats what the base says.
        NoEffect(file: String, section: String, key: String) {
            display("{}: [{}] {} repeats the base and changes nothing; remove it", file, section, key)
        }
        /// A name refers to nothing.
        Dangling(file: String, section: String, what: String, name: String) {
            display("{}: [{}] names the {} '{}', which is defined nowhere", file, section, what, name)
        }
        /// The files don't fit together.
        Inconsistent(detail: String) {
            display("{}", detail)
        }
    }
}

/// Result of the settings.
pub type Result<T> = std::result::Result<T, Error>;
