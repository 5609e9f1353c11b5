//! Merges overlays into the base, and compares merged sets of files.

use std::collections::BTreeMap;

use crate::error::{Error, Result};
use crate::section::{CheckedFile, CheckedSection};

/// Sections by header, after all overlays have been merged.
pub(crate) type MergedSections = BTreeMap<String, CheckedSection>;

/// Merges `overlays` into `base`.
///
/// # Errors
/// If two overlays set the same key, an overlay sets a key to the value it has in the base,
/// or an overlay has the section `[deployment]`.
pub(crate) fn merge(base: &CheckedFile, overlays: &[CheckedFile]) -> Result<MergedSections> {
    let mut merged: MergedSections = base
        .sections()
        .iter()
        .map(|section| (section.header().to_owned(), section.clone()))
        .collect();
    for overlay in overlays {
        for section in overlay.sections() {
            merge_section(&mut merged, base.name(), overlay.name(), section)?;
        }
    }
    Ok(merged)
}

fn merge_section(
    merged: &mut MergedSections,
    base: &str,
    overlay: &str,
    section: &CheckedSection,
) -> Result<()> {
    if section.kind() == "deployment" {
        return Err(Error::Inconsistent(format!(
            "{overlay}: only the base may have the section [deployment]; move the keys there"
        )));
    }
    let Some(target) = merged.get_mut(section.header()) else {
        merged.insert(section.header().to_owned(), section.clone());
        return Ok(());
    };
    for (key, _, value) in section.explicit_keys() {
        match target.get(key) {
            Some((file, _)) if file != base => {
                return Err(Error::Conflict(
                    file.to_owned(),
                    overlay.to_owned(),
                    section.header().to_owned(),
                    key.to_owned(),
                ));
            }
            Some((_, present)) if present == value => {
                return Err(Error::NoEffect(
                    overlay.to_owned(),
                    section.header().to_owned(),
                    key.to_owned(),
                ));
            }
            _ => target.set(key, overlay, value),
        }
    }
    Ok(())
}

base::common! {
    /// How a key changed.
    #[serde(rename_all = "kebab-case")]
    pub enum ChangeKind {
        /// The key was not set before.
        Added,
        /// The key is no longer set.
        Removed,
        /// The key has a different value.
        Changed,
    }

    /// One key that differs between two sets of files.
    pub struct KeyChange {
        /// The section's header.
        pub section: String,
        /// The key.
        pub key: String,
        /// How it changed.
        pub kind: ChangeKind,
        /// The previous value; empty if the key was added.
        pub before: String,
        /// The new value; empty if the key was removed.
        pub after: String,
    }
}

impl std::fmt::Display for KeyChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            section,
            key,
            before,
            after,
            ..
        } = self;
        match self.kind {
            ChangeKind::Added => write!(f, "+ [{section}] {key} = {after}"),
            ChangeKind::Removed => write!(f, "- [{section}] {key} = {before}"),
            ChangeKind::Changed => write!(f, "~ [{section}] {key} = {before} -> {after}"),
        }
    }
}

/// The keys that differ between `before` and `after`, ordered by section and key. A section
/// that was added or removed is listed as a key of its own, `(section)`.
pub fn diff(before: &crate::ConfigBundle, after: &crate::ConfigBundle) -> Result<Vec<KeyChange>> {
    let before = flatten(&before.merge_files()?);
    let after = flatten(&after.merge_files()?);
    let mut changes = Vec::new();
    for ((section, key), value) in &before {
        let (kind, new) = match after.get(&(section.clone(), key.clone())) {
            Some(new) if new == value => continue,
            Some(new) => (ChangeKind::Changed, new.clone()),
            None => (ChangeKind::Removed, String::new()),
        };
        changes.push(KeyChange {
            section: section.clone(),
            key: key.clone(),
            kind,
            before: value.clone(),
            after: new,
        });
    }
    for ((section, key), value) in after {
        if before.contains_key(&(section.clone(), key.clone())) {
            continue;
        }
        changes.push(KeyChange {
            section,
            key,
            kind: ChangeKind::Added,
            before: String::new(),
            after: value,
        });
    }
    changes.sort_by(|a, b| (&a.section, &a.key).cmp(&(&b.section, &b.key)));
    Ok(changes)
}

fn flatten(sections: &MergedSections) -> BTreeMap<(String, String), String> {
    let mut keys = BTreeMap::new();
    for (header, section) in sections {
        keys.insert(
            (header.clone(), "(section)".to_owned()),
            "present".to_owned(),
        );
        for (key, _, value) in section.explicit_keys() {
            keys.insert((header.clone(), key.to_owned()), value.to_owned());
        }
    }
    keys
}
