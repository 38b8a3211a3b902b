use std::path::PathBuf;

use super::Settings;
use crate::settings::Problems;

/// A settings file that may change while the daemon runs, with or without a reload signal.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Text of the file at the last read; `None` if it could not be read.
    text: Option<String>,
    /// Settings of the last valid version.
    settings: Settings,
}

/// Change of the settings by a new version of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// The new settings.
    pub settings: Settings,
    /// Whether a setting changed that is only read at startup.
    pub needs_restart: bool,
}

impl SettingsFile {
    /// Reads and checks the file for the first time.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, each with its line if it has one.
    pub fn open(path: PathBuf) -> Result<Self, Problems> {
        let text = std::fs::read_to_string(&path).ok();
        let settings = Settings::load(&path)?;
        Ok(Self {
            path,
            text,
            settings,
        })
    }

    /// Returns the settings of the last valid version.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the file again; returns `None` if it has not changed. Each version is reported once,
    /// and an invalid one leaves the settings unchanged.
    ///
    /// # Errors
    ///
    /// Returns every problem of the new version, each with its line if it has one.
    pub fn refresh(&mut self) -> Result<Option<SettingsChange>, Problems> {
        let text = std::fs::read_to_string(&self.path).ok();
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        let settings = Settings::load(&self.path)?;
        // Only the log level applies without a restart.
        let with_current_level = Settings {
            log_level: self.settings.log_level,
            ..settings.clone()
        };
        let needs_restart = with_current_level != self.settings;
        self.settings = settings.clone();
        Ok(Some(SettingsChange {
            settings,
            needs_restart,
        }))
    }
}
