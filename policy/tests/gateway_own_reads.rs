//! Reads of registrations by a daemon that reads for itself.

use std::time::Duration;

use ragwortgrade_policy::gateway::OwnReads;
use ragwortgrade_testutil::named_cases;

const INTERVAL: Duration = Duration::from_millis(1_100);
/// Time within which a leaving endpoint must get no more requests, and that after which a read without
/// a response is repeated.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_millis(333);

/// Guards against changes that are unknown for longer than the bound because a read got no response.
fn a_read_without_a_response_ends_in_time(last_read: fn(&mut OwnReads)) {
    let mut reads = OwnReads::new(INTERVAL);
    last_read(&mut reads);
    let unknown = reads.pause() + reads.wait() + READ_TIMEOUT;
    assert!(unknown < LEAVING_BOUND, "{unknown:?}");
}

named_cases! { a_read_without_a_response_ends_in_time:
    after_a_listing(OwnReads::record_listing);
    after_changes(|reads| reads.record_read(true));
    without_changes(|reads| reads.record_read(false));
}

/// Guards against changes that are learned late while nothing else changes.
#[test]
fn a_read_without_changes_is_followed_at_once() {
    let mut reads = OwnReads::new(INTERVAL);
    reads.record_read(false);
    assert_eq!(reads.pause(), Duration::ZERO);
    assert!(reads.wait() >= INTERVAL);
}
