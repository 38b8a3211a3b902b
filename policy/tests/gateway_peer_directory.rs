//! Other daemons over outages and rollbacks of the store that lists them.

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Peer, PeerDirectory};
use ragwortgrade_schema::Name;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn peer(port: u16) -> Peer {
    Peer {
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".into(),
    }
}

fn directory(daemons: &[(&str, u16)]) -> PeerDirectory {
    let mut directory = PeerDirectory::default();
    directory.replace(listing(daemons), at(0));
    directory
}

fn listing(daemons: &[(&str, u16)]) -> Vec<(Name, Peer)> {
    let daemons = daemons.iter();
    let daemons = daemons.map(|(name, port)| (Name::from(*name), peer(*port)));
    daemons.collect()
}

fn ports(directory: &PeerDirectory) -> Vec<u16> {
    let mut ports: Vec<u16> = directory.peers().map(|it| it.address.port()).collect();
    ports.sort_unstable();
    ports
}

#[test]
fn without_an_interruption_a_listing_replaces_all() {
    let mut directory = directory(&[("a", 1), ("b", 2)]);
    directory.replace(listing(&[("b", 3), ("c", 4)]), at(1_000));
    assert_eq!(ports(&directory), [3, 4]);
    directory.remove(&"b".into(), at(2_000));
    assert_eq!(ports(&directory), [4]);
}

/// Guards against daemons that get no load updates until they have registered again.
#[test]
fn daemons_missing_after_an_outage_are_kept_for_a_while() {
    let mut directory = directory(&[("a", 1), ("b", 2), ("c", 3)]);
    directory.source_restored(at(5_000));
    directory.replace(listing(&[("c", 4)]), at(5_000));
    directory.remove(&"c".into(), at(5_500));
    assert_eq!(ports(&directory), [1, 2, 4]);
    directory.put("b".into(), peer(2));
    directory.expire(at(14_900));
    assert_eq!(ports(&directory), [1, 2, 4]);
    directory.expire(at(15_000));
    assert_eq!(ports(&directory), [2]);
}

/// Guards against an older address of a daemon that replaces a newer one.
#[test]
fn older_copies_replace_no_known_daemon() {
    let mut directory = directory(&[("a", 1), ("b", 2)]);
    directory.source_rolled_back(at(5_000));
    directory.replace(listing(&[("a", 9), ("d", 4)]), at(5_000));
    assert_eq!(ports(&directory), [1, 2, 4]);
    directory.put("a".into(), peer(5));
    directory.expire(at(15_000));
    assert_eq!(ports(&directory), [4, 5]);
}

/// Guards against a daemon that is forgotten, or stays at an old address, as it registered again
/// before a listing.
#[test]
fn daemons_listed_again_after_a_rollback_are_kept() {
    let mut directory = directory(&[("a", 1), ("b", 2)]);
    directory.source_rolled_back(at(5_000));
    directory.replace(listing(&[("a", 1)]), at(5_000));
    directory.replace(listing(&[("a", 9), ("b", 2)]), at(5_500));
    assert_eq!(ports(&directory), [1, 2]);
    directory.expire(at(15_000));
    assert_eq!(ports(&directory), [2, 9]);
}

/// Guards against a daemon that stopped and stays known forever.
#[test]
fn daemons_that_stop_after_a_rollback_are_removed() {
    let mut directory = directory(&[("a", 1), ("b", 2)]);
    directory.source_rolled_back(at(5_000));
    directory.replace(listing(&[("a", 1), ("b", 2)]), at(5_000));
    directory.remove(&"a".into(), at(9_000));
    directory.expire(at(15_000));
    assert_eq!(ports(&directory), [2]);
}
