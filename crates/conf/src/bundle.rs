//! A set of configuration files that is accepted or rejected as a whole.

use std::collections::BTreeMap;
use std::path::Path;

use sha2::{Digest, Sha256};

use crate::deployment::Deployment;
use crate::edit;
use crate::error::{Error, Result};
use crate::overlay::{MergedSections, merge};
use crate::schema;
use crate::section::CheckedFile;

/// File name of the base.
pub const BASE_FILE: &str = "base.ini";

base::common! {
    /// The base and its overlays.
    #[derive(Default)]
    pub struct ConfigBundle {
        /// File contents by name.
        pub files: BTreeMap<String, String>,
    }
}

impl ConfigBundle {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces one file.
    #[must_use]
    pub fn with_file(mut self, name: &str, text: &str) -> Self {
        self.files.insert(name.to_owned(), text.to_owned());
        self
    }

    /// Finds the file that sets `key` in the section `[header]`, and the value. If no file
    /// sets the key, returns the first file with the section and an empty value; `None` if
    /// no file has the section.
    ///
    /// # Errors
    /// If the files are invalid.
    pub fn locate_key(&self, header: &str, key: &str) -> Result<Option<(String, String)>> {
        let sections = self.merge_files()?;
        let Some(section) = sections.get(header) else {
            return Ok(None);
        };
        if let Some((file, value)) = section.get(key) {
            return Ok(Some((file.to_owned(), value.to_owned())));
        }
        let mut files = self.files.iter();
        let found = files.find(|(_, text)| edit::has_section(text, header));
        Ok(found.map(|(file, _)| (file.clone(), String::new())))
    }

    /// Reads all `.ini` files in `folder`.
    ///
    /// # Errors
    /// [`Error::Unreadable`] if the folder or a file can't be read.
    pub fn from_folder(folder: &Path) -> Result<Self> {
        let unreadable = |path: &Path, cause: std::io::Error| {
            Error::Unreadable(path.display().to_string(), cause.to_string())
        };
        let mut bundle = Self::new();
        let entries = std::fs::read_dir(folder).map_err(|cause| unreadable(folder, cause))?;
        for entry in entries {
            let path = entry.map_err(|cause| unreadable(folder, cause))?.path();
            if path.extension().is_none_or(|extension| extension != "ini") {
                continue;
            }
            let text = std::fs::read_to_string(&path).map_err(|cause| unreadable(&path, cause))?;
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            bundle.files.insert(name.into_owned(), text);
        }
        Ok(bundle)
    }

    /// The SHA-256 hash over names and contents of all files, in hexadecimal.
    pub fn hash(&self) -> String {
        let mut hasher = Sha256::new();
        for (name, text) in &self.files {
            for part in [name, text] {
                hasher.update((part.len() as u64).to_le_bytes());
                hasher.update(part.as_bytes());
            }
        }
        hasher
            .finalize()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Validates each file and merges the overlays into the base.
    pub(crate) fn merge_files(&self) -> Result<MergedSections> {
        let text = self.files.get(BASE_FILE).ok_or_else(|| {
            Error::Inconsistent(format!("the base is missing: add a file {BASE_FILE}"))
        })?;
        let base = CheckedFile::new(BASE_FILE, text, &schema::DEPLOYMENT)?;
        let mut overlays = Vec::new();
        for (name, text) in &self.files {
            if name == BASE_FILE {
                continue;
            }
            overlays.push(CheckedFile::new(name, text, &schema::DEPLOYMENT)?);
        }
        merge(&base, &overlays)
    }

    /// Validates all files together and builds the deployment.
    ///
    /// # Errors
    /// The first error found, with file, section and key.
    pub fn deployment(&self) -> Result<Deployment> {
        Deployment::new(&self.merge_files()?)
    }
}
