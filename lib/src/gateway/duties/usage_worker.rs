//! The tasks that fix the usage reports and send them.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::duties::{Call, Step, Store, TenantCounts, UsageRecord};
use ragwortgrade_schema::Name;

use super::deposit_worker;
use super::election_worker::{RECORD_KEY, limited, read_item};
use super::exchange::Exchange;
use super::worker::Worker;
use super::{Duty, DutyAnswer, Tenure};
use crate::gateway::{Put, StoreError, Transaction};

/// Prefix of the keys of usage records; the rest is the number of the window.
const USAGE_PREFIX: &str = "ragwortgrade/duties/usage/";
/// Interval at which due steps are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of keys of daemons' counts that one write removes; a write has at most 32 entries.
const KEYS_REMOVED_MAX: usize = 20;
/// Pause after a call to the store that has failed.
const STORE_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a call to the platform that was not accepted, which doubles up to the maximum.
const PLATFORM_PAUSE: Duration = Duration::from_millis(100);
const PLATFORM_PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// Fixes the reports of ended windows while this daemon is the holder.
pub(super) async fn record(worker: Worker<'_>, exchange: &Exchange<'_>) {
    if !worker.runs(Duty::Usage) {
        return;
    }
    let mut restored_at = worker.shared.now();
    let mut restores = worker.shared.store_restores();
    let mut interruptions = worker.shared.store_interruptions();
    let mut was_interrupted = false;
    let mut recorded_since = worker.shared.now();
    let mut begun_token = None;
    // Window for which the counts in the store were read, and their keys.
    let mut collected = None;
    let mut surplus: Vec<String> = Vec::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if restores != worker.shared.store_restores() {
            restores = worker.shared.store_restores();
            restored_at = worker.shared.now();
            let era = worker.shared.store_era_named();
            worker.state.reports.borrow_mut().store_restored(era);
        }
        let is_interrupted = worker.shared.store_outage.borrow().is_active();
        let has_ended = interruptions != worker.shared.store_interruptions();
        if !was_interrupted && (is_interrupted || has_ended) {
            // A holder that can no longer renew its lease acts for less than this.
            let lease_time = worker.state.options.settings.lease_time;
            recorded_since = worker.shared.now() + lease_time;
        }
        interruptions = worker.shared.store_interruptions();
        was_interrupted = is_interrupted;
        let Some(tenure) = worker.tenure() else {
            if begun_token.take().is_some() {
                worker.state.reports.borrow_mut().end();
            }
            continue;
        };
        if begun_token != Some(tenure.token) {
            if !begin(worker, tenure, restored_at, recorded_since).await {
                tokio::time::sleep(STORE_PAUSE).await;
                continue;
            }
            begun_token = Some(tenure.token);
        }
        if let Some(window) = incomplete_window(worker)
            && collected != Some(window)
        {
            match deposit_worker::collect(worker, window).await {
                Ok(keys) => {
                    collected = Some(window);
                    surplus = keys;
                }
                Err(error) => log::info!(error:% = error; "counts in the store could not be read"),
            }
        }
        let Some(step) = due_step(worker) else {
            continue;
        };
        if !commit(worker, &step, &surplus, exchange).await {
            tokio::time::sleep(STORE_PAUSE).await;
            continue;
        }
        surplus = surplus.split_off(surplus.len().min(KEYS_REMOVED_MAX));
    }
}

/// Continues from the records in the store; returns whether they could be read.
async fn begin(
    worker: Worker<'_>,
    tenure: Tenure,
    restored_at: Instant,
    recorded_since: Instant,
) -> bool {
    let restores = worker.shared.store_restores();
    let records = match list(worker).await {
        Ok(records) => records,
        Err(error) => {
            log::info!(error:% = error; "usage records could not be read");
            return false;
        }
    };
    let is_current = worker
        .tenure()
        .is_some_and(|it| it.token == tenure.token && it.store_restores == restores);
    if !is_current {
        return false;
    }
    let clock = worker.state.clock.borrow();
    let store = Store {
        era: worker.shared.store_era_named(),
        restored_ms: clock.unix_ms(restored_at),
        recorded_since_ms: clock.unix_ms(recorded_since),
        tenure_ms: clock.unix_ms(tenure.since),
        is_first_holder: worker.state.election.borrow().is_first_holder(),
        records,
    };
    drop(clock);
    let mut reports = worker.state.reports.borrow_mut();
    let skipped = reports.begin(&store);
    log::info!(
        token = tenure.token, records = store.records.len(), era:? = store.era,
        last_record:? = store.records.last_key_value().map(|(window, _)| *window),
        waiting = reports.waiting(), skipped = skipped.len();
        "usage reports continued"
    );
    if !skipped.is_empty() {
        log::warn!(
            windows:? = skipped, reason = "may_have_been_reported";
            "usage windows skipped"
        );
        let metrics = &worker.shared.metrics;
        metrics.count("duties.usage.skipped", skipped.len() as u64);
    }
    true
}

/// Reads the records of earlier reports.
async fn list(worker: Worker<'_>) -> Result<BTreeMap<u64, UsageRecord>, StoreError> {
    let store = &worker.shared.options.store;
    let mut records = BTreeMap::new();
    let mut after: Option<Name> = None;
    loop {
        let page = limited(worker, store.list(USAGE_PREFIX, after.as_deref())).await?;
        for item in &page.items {
            let window = item.key.strip_prefix(USAGE_PREFIX);
            let window = window.and_then(|number| number.parse().ok());
            let record = item.value.as_deref().map(serde_json::from_slice);
            match (window, record) {
                (Some(window), Some(Ok(record))) => {
                    records.insert(window, record);
                }
                _ => log::warn!(key:% = item.key; "usage record cannot be parsed"),
            }
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.has_more || after.is_none() {
            return Ok(records);
        }
    }
}

/// Returns the next window to fix if the counts of some daemons lack and are waited for no longer.
fn incomplete_window(worker: Worker<'_>) -> Option<u64> {
    let now_ms = worker.fleet_ms();
    let reports = worker.state.reports.borrow();
    let window = reports.due_window(now_ms)?;
    let since = worker.state.candidate_since.get()?;
    let since_ms = worker.state.clock.borrow().unix_ms(since);
    let is_overdue = reports.is_overdue(window, now_ms, since_ms);
    let peers = worker.shared.peers.borrow();
    let tally = worker.state.tally.borrow();
    let is_incomplete = !tally.unsettled(window, peers.directory.names()).is_empty();
    (is_overdue && is_incomplete).then_some(window)
}

/// Returns the next report to record, if its counts are complete or are waited for no longer.
fn due_step(worker: Worker<'_>) -> Option<Step> {
    let state = worker.state;
    let now_ms = worker.fleet_ms();
    let mut reports = state.reports.borrow_mut();
    if let Some(step) = reports.lost_record() {
        return Some(step);
    }
    let passed_over = reports.pass_over_old(now_ms);
    if passed_over > 0 {
        log::warn!(windows = passed_over, reason = "too_old"; "usage windows skipped");
        worker
            .shared
            .metrics
            .count("duties.usage.skipped", passed_over);
    }
    let window = reports.due_window(now_ms)?;
    let gathering_since = state.candidate_since.get()?;
    let gathering_since_ms = state.clock.borrow().unix_ms(gathering_since);
    let peers = worker.shared.peers.borrow();
    let daemons = peers.directory.names();
    let daemons = daemons.chain([&worker.shared.options.name]);
    let tally = state.tally.borrow();
    let unsettled = tally.unsettled(window, daemons);
    if !unsettled.is_empty() {
        if !reports.is_overdue(window, now_ms, gathering_since_ms) {
            return None;
        }
        log::info!(
            window, daemons = unsettled.len(), first:% = unsettled[0];
            "usage window fixed without the last counts of some daemons"
        );
    }
    Some(reports.fix(window, tally.counts(window)))
}

/// Records a report and removes surplus keys, or reads the record that another holder has made; returns
/// whether its content is fixed.
async fn commit(
    worker: Worker<'_>,
    step: &Step,
    surplus: &[String],
    exchange: &Exchange<'_>,
) -> bool {
    let key = usage_key(step.window);
    let now = worker.now();
    let Some(revision) = worker.state.election.borrow().record_revision(now) else {
        return false;
    };
    let transaction = Transaction {
        // A former holder can no longer record anything.
        expected: vec![(key.clone(), 0), (RECORD_KEY.to_owned(), revision)],
        puts: vec![Put {
            key: key.clone(),
            value: serde_json::to_vec(&step.record).unwrap_or_default(),
            lease: None,
        }],
        remove: step
            .remove
            .iter()
            .map(|window| usage_key(*window))
            .chain(surplus.iter().take(KEYS_REMOVED_MAX).cloned())
            .collect(),
    };
    let store = &worker.shared.options.store;
    let counts = match limited(worker, store.commit(&transaction)).await {
        Ok(_revision) => step.record.counts.clone(),
        Err(StoreError::Conflict) => match recorded_counts(worker, &key).await {
            Some(counts) => counts,
            None => return false,
        },
        Err(error) => {
            log::info!(
                window = step.window, error:% = error;
                "usage report could not be recorded; repeated"
            );
            worker
                .shared
                .metrics
                .count("duties.usage.record_failures", 1);
            return false;
        }
    };
    log::info!(
        window = step.window, tenants = counts.len(), requests = counts.values().sum::<u64>(),
        age_ms = age_ms(worker, step.window);
        "usage report recorded"
    );
    worker.state.reports.borrow_mut().recorded(step, counts);
    exchange.publish_fixed();
    true
}

/// Returns the counts of a stored record.
async fn recorded_counts(worker: Worker<'_>, key: &str) -> Option<TenantCounts> {
    let item = read_item(worker, key).await.ok()??;
    let record: UsageRecord = serde_json::from_slice(item.value.as_deref()?).ok()?;
    Some(record.counts)
}

fn usage_key(window: u64) -> String {
    format!("{USAGE_PREFIX}{window}")
}

/// Returns the time since the end of a window in ms.
fn age_ms(worker: Worker<'_>, window: u64) -> u64 {
    let window_ms = worker.state.options.settings.usage_window.as_millis() as u64;
    worker.fleet_ms().saturating_sub((window + 1) * window_ms)
}

/// Sends the recorded reports, oldest first, while this daemon is the holder.
pub(super) async fn send(worker: Worker<'_>) {
    let mut pause = PLATFORM_PAUSE;
    loop {
        let report = worker.state.reports.borrow().next_report();
        let waiting = worker.state.reports.borrow().waiting();
        let metrics = &worker.shared.metrics;
        metrics.gauge("duties.usage.waiting", waiting as u64);
        let (Some((window, counts)), Some(tenure)) = (report, worker.tenure()) else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        let call = Call::Usage { window, counts };
        let Some(answer) = worker.call(tenure.token, &call).await else {
            continue;
        };
        let age_ms = age_ms(worker, window);
        log::info!(
            window, token = tenure.token, answer:? = answer, age_ms;
            "usage report sent"
        );
        match answer {
            DutyAnswer::Accepted => {
                worker.state.reports.borrow_mut().report_accepted(window);
                metrics.count("duties.usage.reported", 1);
                let late_ms = worker.state.options.settings.usage_late.as_millis() as u64;
                if age_ms > late_ms {
                    log::warn!(window, age_ms; "usage report was late");
                    metrics.count("duties.usage.missed", 1);
                }
                pause = PLATFORM_PAUSE;
            }
            DutyAnswer::Conflict => worker.step_down(tenure.token),
            DutyAnswer::Throttled | DutyAnswer::Unknown => {
                metrics.count("duties.usage.repeats", 1);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(PLATFORM_PAUSE_MAX);
            }
        }
    }
}
