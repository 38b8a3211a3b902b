//! Timeouts of reads of the store, and delays after failed ones.

use std::time::Duration;

use ragwortgrade_policy::gateway::ReadRetry;

const TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a read may take on a store that is slow.
const SLOW_STORE_TIME: Duration = Duration::from_millis(1_900);

#[test]
fn a_read_without_a_response_is_repeated_at_once() {
    let mut retry = ReadRetry::new(TIMEOUT);
    assert_eq!(retry.timeout(), TIMEOUT);
    assert_eq!(retry.record_failure(retry.timeout()), Duration::ZERO);
    assert_eq!(retry.timeout(), TIMEOUT);
}

/// Guards against a slow store that is never read, as each read is given up too early.
#[test]
fn a_slow_store_is_read_after_a_few_attempts() {
    let mut retry = ReadRetry::new(TIMEOUT);
    let mut attempts = 1;
    while retry.timeout() < SLOW_STORE_TIME {
        retry.record_failure(retry.timeout());
        attempts += 1;
    }
    assert!(attempts <= 4, "{attempts} attempts");
    retry.reset();
    assert_eq!(retry.timeout(), TIMEOUT);
}

/// Guards against a store that refuses reads at once and is called without a pause.
#[test]
fn refused_reads_are_repeated_with_growing_delays() {
    let mut retry = ReadRetry::new(TIMEOUT);
    let delays: Vec<Duration> = (0..6)
        .map(|_| retry.record_failure(Duration::ZERO))
        .collect();
    assert!(delays[0] >= Duration::from_millis(100));
    assert!(delays.is_sorted());
    assert!(delays[5] <= Duration::from_secs(1));
}
