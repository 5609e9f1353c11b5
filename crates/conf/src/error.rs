//! Errors in settings.

use quick_error::quick_error;

quick_error! {
    /// An error in a settings file. Messages say what to write instead.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The file can't be read.
        Unreadable(file: String, cause: String) {
            display("{}: can't be read: {}", file, cause)
        }
        /// The file is not valid INI.
        Syntax(file: String, cause: String) {
            display("{}: not a valid INI file: {}", file, cause)
        }
        /// The section is unknown.
        UnknownSection(file: String, section: String, allowed: String) {
            display("{}: unknown section [{}]; allowed: {}", file, section, allowed)
        }
        /// The section's header has too few or too many names.
        SectionName(file: String, section: String, form: String) {
            display("{}: section [{}] must be written as [{}]", file, section, form)
        }
        /// The section appears twice.
        RepeatedSection(file: String, section: String) {
            display("{}: section [{}] appears twice; merge them", file, section)
        }
        /// The key is unknown.
        UnknownKey(file: String, section: String, key: String, allowed: String) {
            display("{}: [{}] has the unknown key '{}'; allowed: {}", file, section, key, allowed)
        }
        /// A required key is missing.
        MissingKey(file: String, section: String, key: String, allowed: String) {
            display("{}: [{}] needs the key '{}' ({})", file, section, key, allowed)
        }
        /// The value is invalid.
        BadValue(file: String, section: String, key: String, value: String, allowed: String) {
            display("{}: [{}] {} = '{}' is invalid; allowed: {}", file, section, key, value, allowed)
        }
        /// A required section is missing.
        MissingSection(file: String, section: String) {
            display("{}: the section [{}] is missing", file, section)
        }
        /// Two overlays set the same key.
        Conflict(first: String, second: String, section: String, key: String) {
            display("{} and {} both set [{}] {}; keep it in one of them", first, second, section, key)
        }
        /// An overlay sets a key to the value that it already has in the base.
        NoEffect(file: String, section: String, key: String) {
            display("{}: [{}] {} repeats the base and has no effect; remove it", file, section, key)
        }
        /// A name refers to something that isn't defined.
        Dangling(file: String, section: String, what: String, name: String) {
            display("{}: [{}] refers to the {} '{}', which is not defined", file, section, what, name)
        }
        /// The files contradict each other.
        Inconsistent(detail: String) {
            display("{}", detail)
        }
    }
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;
