//! Settings files of programs.

use std::path::Path;

use crate::error::{Error, Result};
use crate::schema::FileSpec;
use crate::section::{CheckedFile, CheckedSection};

/// A validated settings file.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    file: CheckedFile,
}

impl SettingsFile {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    /// The first error found, with file, section and key.
    pub fn load(path: &Path, spec: &'static FileSpec) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Error::Unreadable(name.clone(), cause.to_string()))?;
        Self::parse(&name, &text, spec)
    }

    /// Validates `text`; errors refer to it as the file `name`.
    ///
    /// # Errors
    /// The first error found, with file, section and key.
    pub fn parse(name: &str, text: &str, spec: &'static FileSpec) -> Result<Self> {
        let file = CheckedFile::new(name, text, spec)?;
        Ok(Self { file })
    }

    /// The section `kind`, with all its required keys present.
    ///
    /// # Errors
    /// If the section or a required key is missing.
    pub fn section(&self, kind: &str) -> Result<&CheckedSection> {
        self.file.section(kind)
    }

    /// All sections of the kind `kind`, with all their required keys present.
    ///
    /// # Errors
    /// If a required key is missing.
    pub fn sections_of(&self, kind: &str) -> Result<Vec<&CheckedSection>> {
        self.file.sections_of(kind)
    }
}
