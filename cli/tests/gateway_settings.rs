//! Changes of a gateway's settings file while the gateway runs.

use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use ragwortgrade_lib::gateway::duties::Duty;
use ragwortgrade_lib::gateway::{Settings, SettingsFile};

const TEXT: &str = "[gateway]\nname = a-1\ndata_centre = a\ncallers_address = 127.0.0.1:0\n\
    readiness_address = 127.0.0.1:0\npeers_address = 127.0.0.1:0\nmetrics_address =\n\
    store_address = 127.0.0.1:9\nretry_ratio = 0.2\nleaving_bound_ms = 2000\n\
    stop_timeout_seconds = 8\nopen_files_max = 1000\nlink_mbps = 20\nlog_level = info\n";

/// A settings file in a temporary directory.
struct File(tempfile::TempDir);

impl File {
    fn new() -> Self {
        let file = Self(tempfile::tempdir().unwrap());
        file.write(TEXT);
        file
    }

    fn path(&self) -> PathBuf {
        self.0.path().join("gateway.ini")
    }

    fn write(&self, text: &str) {
        std::fs::write(self.path(), text).unwrap();
    }
}

#[test]
fn changes_are_reported_once() {
    let file = File::new();
    let mut settings = SettingsFile::open(file.path()).unwrap();
    assert_eq!(settings.refresh().unwrap(), None);
    file.write(&TEXT.replace("= info", "= debug"));
    let change = settings.refresh().unwrap().unwrap();
    assert_eq!(change.settings.log_level, LevelFilter::Debug);
    assert!(!change.needs_restart);
    assert_eq!(settings.refresh().unwrap(), None);
}

#[test]
fn startup_settings_need_a_restart() {
    let file = File::new();
    let mut settings = SettingsFile::open(file.path()).unwrap();
    file.write(&TEXT.replace("ratio = 0.2", "ratio = 0.1"));
    assert!(settings.refresh().unwrap().unwrap().needs_restart);
}

#[test]
fn invalid_versions_are_reported_once_and_not_applied() {
    let file = File::new();
    let mut settings = SettingsFile::open(file.path()).unwrap();
    file.write("[gateway]\nname = a-1\n");
    assert!(settings.refresh().is_err());
    assert_eq!(settings.refresh().unwrap(), None);
    assert_eq!(&*settings.settings().data_centre, "a");
    std::fs::remove_file(file.path()).unwrap();
    assert!(settings.refresh().is_err());
    file.write(TEXT);
    assert!(!settings.refresh().unwrap().unwrap().needs_restart);
}

/// Guards against a deployment without duties that does not start because of values in the template.
#[test]
fn duty_settings_have_no_effect_without_an_address() {
    let text = format!("{TEXT}duties_address =\nduties =\nduty_lease_ms = 1\n");
    let settings = Settings::parse(&text, &PathBuf::from("test.ini")).unwrap();
    assert_eq!(settings.duties, None);
}

#[test]
fn duty_settings_have_defaults_and_ranges() {
    let parse = |lines: &str| {
        let text = format!("{TEXT}duties_address = 127.0.0.1:9\n{lines}");
        Settings::parse(&text, &PathBuf::from("test.ini"))
    };
    let duties = parse("usage_late_seconds =\n").unwrap().duties.unwrap();
    assert_eq!(duties.duties, [Duty::Usage, Duty::Scale]);
    assert_eq!(duties.lease_time, Duration::from_secs(3));
    assert_eq!(duties.usage_late, Duration::from_secs(10));
    assert!(parse("duty_lease_ms = 1\n").is_err());
    assert!(parse("duties = usage,other\n").is_err());
}
