//! Files and sections that have been validated against the schema.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ini::Ini;

use crate::error::{Error, Result};
use crate::schema::{FileSpec, KeySpec, SectionSpec};
use crate::value::{parse_duration, parse_percent, parse_ports, parse_size, split_list};

/// A section whose keys and values have been validated.
#[derive(Debug, Clone)]
pub struct CheckedSection {
    spec: &'static SectionSpec,
    header: String,
    names: Vec<String>,
    /// File and value by key.
    values: BTreeMap<&'static str, (String, String)>,
}

impl CheckedSection {
    /// The first word of the header.
    pub fn kind(&self) -> &'static str {
        self.spec.kind
    }

    /// The whole header.
    pub fn header(&self) -> &str {
        &self.header
    }

    /// The names that follow the first word of the header.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The keys that are set explicitly, with file and value.
    pub fn explicit_keys(&self) -> impl Iterator<Item = (&'static str, &str, &str)> {
        self.values
            .iter()
            .map(|(key, (file, value))| (*key, file.as_str(), value.as_str()))
    }

    /// The file that sets the section's first key; empty if no key is set.
    pub fn file(&self) -> &str {
        self.values
            .values()
            .next()
            .map_or("", |(file, _)| file.as_str())
    }

    pub(crate) fn set(&mut self, key: &'static str, file: &str, value: &str) {
        self.values.insert(key, (file.to_owned(), value.to_owned()));
    }

    pub(crate) fn get(&self, key: &str) -> Option<(&str, &str)> {
        self.values
            .get(key)
            .map(|(file, value)| (file.as_str(), value.as_str()))
    }

    /// Fails if a required key is missing.
    pub(crate) fn require_keys(&self, file: &str) -> Result<()> {
        for key in self.spec.keys {
            if key.default.is_some() || self.values.contains_key(key.key) {
                continue;
            }
            return Err(Error::MissingKey(
                file.to_owned(),
                self.header.clone(),
                key.key.to_owned(),
                key.kind.allowed(),
            ));
        }
        Ok(())
    }

    /// The value of `key`, or its default.
    ///
    /// # Errors
    /// [`Error::MissingKey`] if a required key is missing.
    pub fn text(&self, key: &str) -> Result<&str> {
        if let Some((_, value)) = self.get(key) {
            return Ok(value);
        }
        let spec = self.spec.keys.iter().find(|spec| spec.key == key);
        spec.and_then(|spec| spec.default).ok_or_else(|| {
            Error::MissingKey(
                self.file().to_owned(),
                self.header.clone(),
                key.to_owned(),
                spec.map_or_else(String::new, |spec| spec.kind.allowed()),
            )
        })
    }

    fn parsed<T>(&self, key: &str, parse: impl Fn(&str) -> Option<T>) -> Result<T> {
        let text = self.text(key)?;
        parse(text).ok_or_else(|| {
            Error::BadValue(
                self.file().to_owned(),
                self.header.clone(),
                key.to_owned(),
                text.to_owned(),
                "a value of another type".to_owned(),
            )
        })
    }

    /// The value of `key` as a duration.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't a duration.
    pub fn duration(&self, key: &str) -> Result<Duration> {
        self.parsed(key, parse_duration)
    }

    /// The value of `key`, a percentage, as a fraction of one.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't a percentage.
    pub fn share(&self, key: &str) -> Result<f64> {
        self.parsed(key, parse_percent)
    }

    /// The value of `key` as a size in bytes.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't a size.
    pub fn size(&self, key: &str) -> Result<u64> {
        self.parsed(key, parse_size)
    }

    /// The value of `key` as an integer of type `N`.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't an integer in the range of `N`.
    pub fn count<N: TryFrom<u64>>(&self, key: &str) -> Result<N> {
        self.parsed(key, |text| N::try_from(text.parse().ok()?).ok())
    }

    /// The value of `key` as a number.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't a number.
    pub fn number(&self, key: &str) -> Result<f64> {
        self.parsed(key, |text| text.parse().ok())
    }

    /// The value of `key` as an IP address.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't an IP address.
    pub fn ip(&self, key: &str) -> Result<IpAddr> {
        self.parsed(key, |text| text.parse().ok())
    }

    /// The value of `key` as a port range of at least two ports.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't a port range.
    pub fn ports(&self, key: &str) -> Result<(u16, u16)> {
        self.parsed(key, parse_ports)
    }

    /// The value of `key` as a socket address.
    ///
    /// # Errors
    /// If a required key is missing or the value isn't a socket address.
    pub fn address(&self, key: &str) -> Result<SocketAddr> {
        self.parsed(key, |text| text.parse().ok())
    }

    /// The value of `key` as a list, split at commas.
    ///
    /// # Errors
    /// If a required key is missing.
    pub fn list(&self, key: &str) -> Result<Vec<&str>> {
        Ok(split_list(self.text(key)?).collect())
    }
}

/// A file whose sections, keys and values have been validated.
#[derive(Debug, Clone)]
pub struct CheckedFile {
    name: String,
    sections: Vec<CheckedSection>,
}

impl CheckedFile {
    /// Parses `text` and validates sections, keys and values. Doesn't check that required
    /// keys are present, as another file may set them.
    ///
    /// # Errors
    /// The first error found, with file, section and key.
    pub fn new(name: &str, text: &str, spec: &'static FileSpec) -> Result<Self> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|cause| Error::Syntax(name.to_owned(), cause.to_string()))?;
        let mut sections: Vec<CheckedSection> = Vec::new();
        for (header, properties) in &ini {
            let header = header.unwrap_or("");
            if header.is_empty() && properties.is_empty() {
                continue;
            }
            let mut section = check_header(name, header, spec)?;
            if sections.iter().any(|known| known.header == section.header) {
                return Err(Error::RepeatedSection(name.to_owned(), section.header));
            }
            for (key, value) in properties {
                let key = check_key(name, &section, key, value)?;
                if !value.is_empty() || key.kind.accepts(value) {
                    section.set(key.key, name, value);
                }
            }
            sections.push(section);
        }
        Ok(Self {
            name: name.to_owned(),
            sections,
        })
    }

    /// The file's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// All sections in the order of the file.
    pub fn sections(&self) -> &[CheckedSection] {
        &self.sections
    }

    /// All sections of the kind `kind`, with all their required keys present.
    ///
    /// # Errors
    /// If a required key is missing.
    pub fn sections_of(&self, kind: &str) -> Result<Vec<&CheckedSection>> {
        let mut found = Vec::new();
        for section in self
            .sections
            .iter()
            .filter(|section| section.kind() == kind)
        {
            section.require_keys(&self.name)?;
            found.push(section);
        }
        Ok(found)
    }

    /// The section `kind`, with all its required keys present.
    ///
    /// # Errors
    /// If the section or a required key is missing.
    pub fn section(&self, kind: &str) -> Result<&CheckedSection> {
        let section = self
            .sections
            .iter()
            .find(|section| section.kind() == kind)
            .ok_or_else(|| Error::MissingSection(self.name.clone(), kind.to_owned()))?;
        section.require_keys(&self.name)?;
        Ok(section)
    }
}

fn check_header(file: &str, header: &str, spec: &'static FileSpec) -> Result<CheckedSection> {
    let mut words = header.split_whitespace();
    let kind = words.next().unwrap_or("");
    let names: Vec<String> = words.map(str::to_owned).collect();
    let Some(section) = spec.sections.iter().find(|section| section.kind == kind) else {
        let allowed: Vec<_> = spec
            .sections
            .iter()
            .map(|s| format!("[{}]", s.form))
            .collect();
        return Err(Error::UnknownSection(
            file.to_owned(),
            header.to_owned(),
            allowed.join(", "),
        ));
    };
    if names.len() != section.names {
        return Err(Error::SectionName(
            file.to_owned(),
            header.to_owned(),
            section.form.to_owned(),
        ));
    }
    let mut canonical = vec![kind.to_owned()];
    canonical.extend(names.iter().cloned());
    Ok(CheckedSection {
        spec: section,
        header: canonical.join(" "),
        names,
        values: BTreeMap::new(),
    })
}

fn check_key(
    file: &str,
    section: &CheckedSection,
    key: &str,
    value: &str,
) -> Result<&'static KeySpec> {
    let Some(spec) = section.spec.keys.iter().find(|spec| spec.key == key) else {
        let allowed: Vec<_> = section.spec.keys.iter().map(|spec| spec.key).collect();
        return Err(Error::UnknownKey(
            file.to_owned(),
            section.header.clone(),
            key.to_owned(),
            allowed.join(", "),
        ));
    };
    // Templates leave unset values empty; the default applies to them.
    let allowed = match (value.is_empty(), spec.default) {
        (true, Some(_)) => true,
        (true, None) => false,
        (false, _) => spec.kind.accepts(value),
    };
    if !allowed {
        return Err(Error::BadValue(
            file.to_owned(),
            section.header.clone(),
            key.to_owned(),
            spec.kind.redacted(value).to_owned(),
            spec.kind.allowed(),
        ));
    }
    Ok(spec)
}
