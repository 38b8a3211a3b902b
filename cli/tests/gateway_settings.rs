//! Changes of a gateway's settings file while the gateway runs.

use std::path::{Path, PathBuf};
use std::time::Duration;

use log::LevelFilter;
use ragwortgrade_lib::gateway::duties::Duty;
use ragwortgrade_lib::gateway::{Settings, SettingsFile};
use ragwortgrade_testutil::named_cases;

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

/// Guards against limits that an operator sets beyond what the gateway can keep.
fn limit_is_checked(line: &str, is_valid: bool) {
    let text = format!("{TEXT}{line}\n");
    let parsed = Settings::parse(&text, Path::new("gateway.ini"));
    assert_eq!(parsed.is_ok(), is_valid, "{parsed:?}");
}

named_cases! { limit_is_checked:
    memory_of_the_smallest_machine("memory_mb = 120", true);
    memory_without_value("memory_mb =", true);
    memory_that_the_platform_does_not_fill_in("memory_mb = {{limits.memoryMb}}", true);
    too_little_memory("memory_mb = 20", false);
    memory_that_is_no_number("memory_mb = much", false);
    short_body_idle_time("body_idle_ms = 1", false);
    short_body_time("body_timeout_ms = 10", false);
    short_unread_time("unread_timeout_ms = 10", false);
}

/// Guards against another default than the smallest machine's memory.
#[test]
fn memory_defaults_to_the_smallest_machine() {
    let parse = |text: &str| Settings::parse(text, Path::new("gateway.ini")).unwrap();
    let with_memory = format!("{TEXT}memory_mb = 120\n");
    assert_eq!(parse(TEXT), parse(&with_memory));
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
