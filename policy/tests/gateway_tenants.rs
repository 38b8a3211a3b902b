//! Keys of tenants.

use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    ApiKey, Authorization, Catalog, DeliverySemantics, KeyChange, KeyChanges, KeyDigest, KeyNews,
    Limits, Route, Tenant, Tenants, authorize,
};
use ragwortgrade_testutil::named_cases;

const NOW: Instant = Instant::from_millis(1_000);

fn key(text: &str) -> ApiKey {
    ApiKey::new(text.as_bytes()).unwrap()
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().copied().map(key).collect(),
        rank: None,
    }
}

fn catalog(version: u64, tenants: &[(&str, &[&str])]) -> Catalog {
    let tenants = tenants.iter().map(|(name, keys)| tenant(name, keys));
    let catalog = Catalog::new(version, Limits::default(), Vec::new(), Vec::new());
    catalog.with_tenants(Tenants::new(tenants.collect(), None))
}

fn route(is_public: bool) -> Route {
    Route {
        name: "r-1".into(),
        host: "shop.example".into(),
        prefix: "/".into(),
        delivery: DeliverySemantics::Idempotent,
        time_limit: Duration::from_secs(1),
        target: Duration::from_secs(1),
        pause_target: None,
        rank: 1,
        attempts_max: 1,
        traffic_split: Vec::new(),
        is_public,
    }
}

/// Returns the tenant of a request with this key.
fn owner(catalog: &Catalog, key_news: &KeyNews, text: &str) -> Option<String> {
    match authorize(catalog, key_news, &route(false), Some(&key(text))) {
        Authorization::Known { tenant, .. } => Some(tenant.to_string()),
        _ => None,
    }
}

/// Returns what a daemon tells when it replaces one version by another.
fn told(before: &Catalog, after: &Catalog) -> Vec<KeyChanges> {
    let mut key_news = KeyNews::default();
    key_news.record_applied(before, after, NOW);
    key_news.take_unsent()
}

fn merged(changes: impl IntoIterator<Item = KeyChanges>) -> KeyNews {
    let mut key_news = KeyNews::default();
    for changes in changes {
        key_news.merge(changes, NOW);
    }
    key_news
}

/// Guards against requests that run although their key is not valid, or that are refused although
/// they need none.
fn check_decision(has_tenants: bool, is_public: bool, text: Option<&str>, name: &str) {
    let catalog = if has_tenants {
        catalog(1, &[("a", &["key-1"])])
    } else {
        Catalog::new(1, Limits::default(), Vec::new(), Vec::new())
    };
    let key = text.map(key);
    let news = KeyNews::default();
    let decision = authorize(&catalog, &news, &route(is_public), key.as_ref());
    assert!(format!("{decision:?}").starts_with(name), "{decision:?}");
}

named_cases! { check_decision:
    no_tenants(false, false, Some("key-1"), "NoTenants");
    public_route(true, true, None, "Public");
    public_route_with_a_wrong_key(true, true, Some("key-2"), "Public");
    known_key(true, false, Some("key-1"), "Known");
    unknown_key(true, false, Some("key-2"), "Unknown");
    start_of_a_key(true, false, Some("key-"), "Unknown");
    missing_key(true, false, None, "Missing");
}

/// Guards against keys in debug output, which may be logged.
#[test]
fn debug_output_has_no_keys() {
    let catalog = catalog(1, &[("a", &["secret-1"])]);
    let changes = told(&catalog, &self::catalog(2, &[("a", &["secret-2"])]));
    let text = format!("{catalog:?} {changes:?} {:?}", key("secret-3"));
    assert!(!text.contains("secret"), "{text}");
}

/// Guards against tenants whose reused digests differ from those of their present keys.
#[test]
fn reused_digests_belong_to_the_present_keys() {
    let before = Tenants::new(vec![tenant("a", &["1"]), tenant("b", &["2"])], None);
    let after = vec![
        tenant("a", &["1"]),
        tenant("b", &["3"]),
        tenant("c", &["2"]),
    ];
    let after = Tenants::new(after, Some(&before));
    let name = |text: &str| {
        after
            .find(&key(text).digest())
            .map(|it| it.name.to_string())
    };
    assert_eq!(name("1").as_deref(), Some("a"));
    assert_eq!(name("2").as_deref(), Some("c"));
    assert_eq!(name("3").as_deref(), Some("b"));
    assert!(before.find(&key("3").digest()).is_none());
}

#[test]
fn changes_are_those_of_keys_and_ranks() {
    let before = vec![
        tenant("a", &["1", "2"]),
        tenant("b", &["3"]),
        tenant("c", &["4"]),
    ];
    let before = Tenants::new(before, None);
    let urgent = Tenant {
        rank: Some(0),
        ..tenant("b", &["3"])
    };
    let after = vec![tenant("a", &["2", "5"]), urgent, tenant("c", &["4"])];
    let after = Tenants::new(after, Some(&before));
    let changes = after.changes_since(&before);
    let change_of = |text: &str| changes.iter().find(|it| it.digest == key(text).digest());
    assert_eq!(changes.len(), 3);
    assert!(changes[0].is_removed && changes[0].digest == key("1").digest());
    assert!(change_of("5").is_some_and(|it| !it.is_removed));
    assert_eq!(change_of("3").and_then(|it| it.rank), Some(0));
}

/// Guards against a daemon that the store refuses and that keeps the keys of its old version.
#[test]
fn changes_of_later_versions_count() {
    let versions = [
        catalog(1, &[("a", &["1", "2"])]),
        catalog(2, &[("a", &["2", "3"])]),
        catalog(3, &[("a", &["1"]), ("b", &["3"])]),
    ];
    let mut changes = told(&versions[0], &versions[1]);
    let held = &versions[0];
    let second = merged(changes.clone());
    let owners = ["1", "2", "3"].map(|text| owner(held, &second, text));
    assert_eq!(owners, [None, Some("a".to_owned()), Some("a".to_owned())]);
    changes.extend(told(&versions[1], &versions[2]));
    let expected = [Some("a".to_owned()), None, Some("b".to_owned())];
    let third = merged(changes.clone());
    assert_eq!(["1", "2", "3"].map(|it| owner(held, &third, it)), expected);
    changes.reverse();
    let reversed = merged(changes);
    assert_eq!(
        ["1", "2", "3"].map(|it| owner(held, &reversed, it)),
        expected
    );
}

/// Guards against old news that overrides the version that a daemon has read itself.
#[test]
fn changes_of_earlier_versions_do_not_count() {
    let versions = [catalog(1, &[("a", &["1"])]), catalog(2, &[("a", &["2"])])];
    let news = merged(told(&versions[0], &versions[1]));
    let third = catalog(3, &[("a", &["1"])]);
    assert_eq!(owner(&third, &news, "1").as_deref(), Some("a"));
    assert_eq!(owner(&third, &news, "2"), None);
}

/// Guards against a key whose removal cannot be counted for its tenant.
#[test]
fn former_tenants_of_removed_keys_are_known() {
    let versions = [catalog(1, &[("a", &["1"])]), catalog(2, &[("a", &["2"])])];
    let mut news = KeyNews::default();
    news.record_applied(&versions[0], &versions[1], NOW);
    let decision = authorize(&versions[1], &news, &route(false), Some(&key("1")));
    let former_tenant = Some("a".into());
    assert_eq!(decision, Authorization::Unknown { former_tenant });
}

/// Guards against state that grows with the number of changes.
#[test]
fn news_is_bounded_in_size_and_age() {
    let many: Vec<String> = (0..2_000).map(|number| format!("key-{number}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let versions = [catalog(1, &[("a", &many)]), catalog(2, &[("a", &["new"])])];
    let mut news = KeyNews::default();
    let untold = news.record_applied(&versions[0], &versions[1], NOW);
    let told = news.take_unsent();
    assert_eq!(
        untold + told.iter().map(|it| it.changes.len()).sum::<usize>(),
        2_001
    );
    assert!(told.iter().all(|it| it.changes.len() <= 16));
    assert_eq!(told.len(), 64);
    for version in 3..10_000_u64 {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&version.to_le_bytes());
        let change = KeyChange {
            digest: KeyDigest::new(bytes),
            tenant: "a".into(),
            rank: None,
            is_removed: true,
        };
        let changes = KeyChanges {
            version,
            after: version - 1,
            part: 0,
            applied_at: NOW,
            changes: vec![change],
        };
        news.merge(changes, NOW);
    }
    assert!(news.held(NOW).count() <= 128);
    assert_eq!(news.held(NOW + Duration::from_mins(2)).count(), 0);
    let first = KeyDigest::new([0; 32]);
    assert!(news.change_after(&first, 0).is_none());
    let known = (3..10_000_u64).filter(|version| {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&version.to_le_bytes());
        news.change_after(&KeyDigest::new(bytes), 0).is_some()
    });
    assert_eq!(known.count(), 4_096);
}

/// Guards against versions without changes of keys that other daemons do not hear of.
#[test]
fn versions_without_changes_are_told() {
    let versions = [catalog(1, &[("a", &["1"])]), catalog(2, &[("a", &["1"])])];
    let changes = told(&versions[0], &versions[1]);
    assert_eq!(
        changes
            .iter()
            .map(|it| it.changes.len())
            .collect::<Vec<_>>(),
        [0]
    );
    assert_eq!(merged(changes).newest_version(), 2);
}
