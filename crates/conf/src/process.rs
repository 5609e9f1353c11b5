//! Settings files of the programs.

use std::path::Path;

use base::prelude::*;

use crate::error::{Error, Result};
use crate::schema::FileSpec;
use crate::section::{CheckedFile, CheckedSection};

/// How log records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object per line.
    Json,
}

/// What is logged and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Least level written, as `log` spells it.
    pub level: &'static str,
    /// How records are written.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info",
            format: LogFormat::Text,
        }
    }
}

/// A program's settings file after the check.
#[derive(Debug, Clone)]
pub struct ProcessFile {
    file: CheckedFile,
}

impl ProcessFile {
    /// Reads and checks `path`.
    ///
    /// # Errors
    /// The first fault, with file, section and key.
    pub fn load(path: &Path, spec: &'static FileSpec) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Error::Unreadable(name.clone(), cause.to_string()))?;
        Self::parse(&name, &text, spec)
    }

    /// Checks `text` as the file `name`.
    ///
    /// # Errors
    /// The first fault, with file, section and key.
    pub fn parse(name: &str, text: &str, spec: &'static FileSpec) -> Result<Self> {
        let file = CheckedFile::new(name, text, spec)?;
        Ok(Self { file })
    }

    /// The section `kind` with all required keys.
    ///
    /// # Errors
    /// Where the section or a required key is missing.
    pub fn section(&self, kind: &str) -> Result<&CheckedSection> {
        self.file.section(kind)
    }

    /// The instance that the file describes: name, region and failure domain.
    ///
    /// # Errors
    /// Where the section or a required key is missing.
    pub fn instance(&self) -> Result<(InstanceId, RegionId, FailureDomainId)> {
        let section = self.section("instance")?;
        Ok((
            InstanceId::new(section.text("name")?),
            RegionId::new(section.text("region")?),
            FailureDomainId::new(section.text("domain")?),
        ))
    }

    /// The log settings, or the defaults where the section is left out.
    ///
    /// # Errors
    /// Where a value can't be used.
    pub fn log(&self) -> Result<LogSettings> {
        const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
        let Ok(section) = self.file.section("log") else {
            return Ok(LogSettings::default());
        };
        let level = section.text("level")?;
        let format = match section.text("format")? {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        };
        Ok(LogSettings {
            level: LEVELS.into_iter().find(|l| *l == level).unwrap_or("info"),
            format,
        })
    }
}
