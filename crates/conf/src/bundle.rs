//! A set of files that is accepted or refused as a whole.

use std::collections::BTreeMap;
use std::path::Path;

use sha2::{Digest, Sha256};

use crate::deployment::Deployment;
use crate::edit;
use crate::error::{Error, Result};
use crate::overlay::{MergedSections, merge};
use crate::schema;
use crate::section::CheckedFile;

/// The base's file name.
pub const BASE_FILE: &str = "base.ini";

base::common! {
    /// Base and overlays by file name.
    #[derive(Default)]
    pub struct ConfigBundle {
        /// Text of every file.
        pub files: BTreeMap<String, String>,
    }
}

impl ConfigBundle {
    /// An empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces one file.
    #[must_use]
    pub fn with_file(mut self, name: &str, text: &str) -> Self {
        self.files.insert(name.to_owned(), text.to_owned());
        self
    }

    /// The file that writes `key` of the section `[header]`, with the value; the first that
    /// has the section and an empty value where none does. `None` where no file has the
    /// section.
    ///
    /// # Errors
    /// Where the files are not valid.
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

    /// Reads every `.ini` file of `folder`.
    ///
    /// # Errors
    /// [`Error::Unreadable`] with the path and the cause.
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

    /// The hash that names this set, in hexadecimal.
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

    /// Checks every file and merges the overlays into the base.
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

    /// Checks everything together and builds the deployment.
    ///
    /// # Errors
    /// The first fault found, with file, section and key.
    pub fn deployment(&self) -> Result<Deployment> {
        Deployment::new(&self.merge_files()?)
    }
}
