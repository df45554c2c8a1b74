//! Keeps the local copy of the store up to date, and this entry host's own
//! entry in the store.
//!
//! A few entry hosts of each data centre watch the store. The others learn
//! from heartbeats that there are changes, and fetch them from an entry host
//! nearby ([`super::snapshots`]). Calls of the store are costly, and a large
//! configuration that every entry host reads at once from far away fills the
//! links between regions for a second.

use std::{rc::Rc, time::Duration};

use raildale_core::{LogEvent, catalog::Kind};

use super::{EntryHost, missed_changes::missed_changes};
use crate::fleet::{
    edge::{Dialect, Store, StoreFailure},
    steady_clock::now_ms,
    store_list::{self, Listing},
};

/// How long the store holds a watch without changes, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;

/// The same for the watch of versions, which seldom change. All connections
/// may go silent at once, and only a time-out shows it: after this wait, and
/// the time an answer may take, the other watches restart as well. Each answer
/// also shows whether another watch may have missed a change
/// ([`super::missed_changes`]). Of a version's bound of 8 s that leaves the
/// 3.7 s of a fill.
const VERSIONS_WAIT_MS: u64 = 1_500;

/// The same for the watch of the quarantine: it seldom changes, and entry hosts
/// inform each other as well.
const QUARANTINE_WAIT_MS: u64 = 30_000;

/// The same for a watch after a failure, which shows whether the store is
/// back: the shortest wait that the store accepts.
pub const RECOVERY_WAIT_MS: u64 = 1;

/// The pause after changes of a list of targets or entry hosts, so that one
/// call returns several: calls of the store are costly, and a target may leave
/// within two seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// The same in a large fleet, where entries change all the time: each watcher
/// would call six times a second.
const LARGE_FLEET_BATCH_PAUSE: Duration = Duration::from_millis(400);

/// The interval at which an entry host that does not watch checks whether it
/// should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum time that an answer of the store takes beyond the wait of the
/// call for the next one to continue it, in milliseconds: several times the
/// longest between data centres.
const MAX_PROMPT_DELAY_MS: u64 = 100;

/// The number of consecutive failures of connections that show an outage.
const FAILURES_OF_OUTAGE: u32 = 2;

/// The pause before a list is read again that could not be read to its end,
/// in milliseconds. It doubles each time.
const MIN_RELIST_PAUSE_MS: u64 = 1_000;

/// The maximum of that pause, in milliseconds.
const MAX_RELIST_PAUSE_MS: u64 = 30_000;

/// The minimum pause after a failed call.
const MIN_BACKOFF_MS: u64 = 150;

/// The maximum pause after a failed call. Changes that are written as the
/// store comes back must be in force two seconds later.
const MAX_BACKOFF_MS: u64 = 800;

/// How long an entry host must be silent until its entry is deleted, in
/// milliseconds.
const MEMBER_EXPIRY_MS: u64 = 30_000;

/// The interval at which the own entry is checked, in milliseconds: a late
/// deletion may remove it. After twice that without a check the process is
/// taken to have been suspended.
const REGISTER_INTERVAL_MS: u64 = 2_000;

/// The same as a duration.
const REGISTER_INTERVAL: Duration =
    Duration::from_millis(REGISTER_INTERVAL_MS);

/// Starts a watch of each kind and the task that maintains the own entry.
pub fn start<P>(host: &Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    for kind in host.kinds() {
        tokio::task::spawn_local(watch(host.clone(), *kind));
    }
    tokio::task::spawn_local(register(host.clone()));
}

async fn watch<P>(host: Rc<EntryHost<P>>, kind: Kind)
where
    P: Dialect + Store + 'static,
{
    let mut failures = 0;
    // Consecutive watches that failed because history was lost; a list does
    // not reset the count.
    let mut history_losses = 0;
    let mut must_list = true;
    // Whether the next watch continues the previous one, so that it receives
    // changes as they happen.
    let mut is_continuous = false;
    let mut relisting = Relisting::default();
    loop {
        if !host.may_ask_store(kind) {
            host.record_read_result(kind, None);
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            // A copy received from a peer meanwhile can be watched from.
            must_list = !host.store_mirror.is_known(kind);
            is_continuous = false;
            continue;
        }
        let started_ms = now_ms();
        must_list |= host.is_of_older_era(kind);
        must_list |= relisting.is_due(started_ms);
        let result = match must_list {
            true => list(&host, kind, &mut relisting).await,
            false => {
                let wait_ms = wait_ms(kind, failures);
                let wait_ms = relisting.limit_wait_ms(started_ms, wait_ms);
                next_changes(&host, kind, wait_ms, is_continuous).await
            }
        };
        // A slow answer is old: what it lacks may have happened long before
        // the next call.
        let elapsed_ms = now_ms().saturating_sub(started_ms);
        let is_prompt =
            elapsed_ms <= wait_ms(kind, failures) + MAX_PROMPT_DELAY_MS;
        is_continuous = result.is_ok() && !must_list && is_prompt;
        host.record_read_result(kind, result.as_ref().err());
        match result {
            Ok(()) => {
                failures = 0;
                history_losses = if must_list { history_losses } else { 0 };
                must_list = false;
                host.record_store_state(true, "");
                if kind == Kind::Versions && !relisting.is_pending() {
                    let mut gateway = host.gateway.borrow_mut();
                    gateway.versions.record_complete(started_ms);
                    host.store_head
                        .send_replace(host.store_mirror.stamp(kind));
                }
            }
            // Changes that are too long for one answer come in pages.
            Err(StoreFailure::HistoryGone | StoreFailure::TooLong) => {
                host.metrics.add("store_history_gone_total", "", 1);
                must_list = true;
                history_losses += 1;
                if history_losses > 1 {
                    tokio::time::sleep(backoff(history_losses)).await;
                }
            }
            Err(failure) => {
                failures += 1;
                if kind == Kind::Versions {
                    on_versions_watch_failed(
                        &host, failure, failures, started_ms,
                    );
                }
                if shows_outage(failure, failures) {
                    let detail = format!("kind={kind:?} failure={failure:?}");
                    host.record_store_state(false, &detail);
                    host.metrics.add("store_failures_total", "", 1);
                } else {
                    host.metrics.add("store_interruptions_total", "", 1);
                }
                if failure != StoreFailure::Silent || failures > 1 {
                    tokio::time::sleep(backoff(failures)).await;
                }
            }
        }
    }
}

/// Returns whether the last of `failures` consecutive failures of a watch
/// shows that the store is away.
///
/// The store may cut a waiting watch or reject a call while it serves others,
/// and a connection may fall silent alone. Then the next call is answered, and
/// that answer does not count as a return: no entry lapsed meanwhile.
fn shows_outage(failure: StoreFailure, failures: u32) -> bool {
    match failure {
        StoreFailure::Unavailable => true,
        StoreFailure::Silent
        | StoreFailure::Lost
        | StoreFailure::UnexpectedStatus
        | StoreFailure::Busy => failures >= FAILURES_OF_OUTAGE,
        StoreFailure::HistoryGone
        | StoreFailure::Unreadable
        | StoreFailure::PageNotAdvanced
        | StoreFailure::TooLong => false,
    }
}

/// Handles a failure of the watch of versions, which began at `started_ms` and
/// is the last of `failures` consecutive ones.
///
/// An unavailable store accepts no new version either, so versions found at
/// its return are not as old as the last answer. The store may turn some
/// machines away and serve others and the operator, or fail for one kind alone,
/// so this holds only while all entry hosts are heard and all kinds fail. A
/// first failure of the connection shows nothing about the store.
fn on_versions_watch_failed<P>(
    host: &EntryHost<P>,
    failure: StoreFailure,
    failures: u32,
    started_ms: u64,
) where
    P: Dialect + Store + 'static,
{
    let must_check_others = failures == FAILURES_OF_OUTAGE;
    if failure == StoreFailure::Silent || must_check_others {
        host.store_silent.notify_waiters();
    }
    // A store that is too busy for this call may accept a version.
    let is_away =
        failure != StoreFailure::Busy && shows_outage(failure, failures);
    let are_all_heard = host.members.borrow().are_all_heard(now_ms());
    if is_away && are_all_heard && host.fails_all_reads() {
        host.gateway.borrow_mut().versions.record_away(started_ms);
    }
}

/// When a list is read again that could not be read to its end. Its part is in
/// use meanwhile, and changes are watched from there on.
#[derive(Clone, Copy, Debug, Default)]
struct Relisting {
    /// The number of consecutive lists that could not be read.
    failures: u32,
    due_ms: Option<u64>,
}

impl Relisting {
    fn is_pending(&self) -> bool {
        self.due_ms.is_some()
    }

    fn is_due(&self, now_ms: u64) -> bool {
        self.due_ms.is_some_and(|due_ms| now_ms >= due_ms)
    }

    /// Returns how long a watch may wait without delaying the next list.
    fn limit_wait_ms(&self, now_ms: u64, wait_ms: u64) -> u64 {
        match self.due_ms {
            Some(due_ms) => {
                let left_ms = due_ms.saturating_sub(now_ms);
                wait_ms.min(left_ms.max(RECOVERY_WAIT_MS))
            }
            None => wait_ms,
        }
    }

    fn record_partial(&mut self, now_ms: u64) {
        let pause_ms = MIN_RELIST_PAUSE_MS << self.failures.min(5);
        let pause_ms = pause_ms.min(MAX_RELIST_PAUSE_MS);
        self.failures += 1;
        self.due_ms = Some(now_ms + pause_ms);
    }
}

async fn list<P>(
    host: &EntryHost<P>,
    kind: Kind,
    relisting: &mut Relisting,
) -> Result<(), StoreFailure>
where
    P: Dialect + Store + 'static,
{
    let listing = store_list::list(&host.platform, kind, false).await?;
    host.metrics.add("store_calls_total", "", 1);
    match listing {
        Listing::Whole(snapshot) => {
            if std::mem::take(relisting).is_pending() {
                host.log(LogEvent::ListComplete, &format!("kind={kind:?}"));
            }
            host.replace(kind, snapshot);
        }
        Listing::Partial(part, failure) => {
            if !relisting.is_pending() {
                let detail = format!(
                    "kind={kind:?} failure={failure:?} objects={} \
                     unread_after={:?}",
                    part.snapshot.objects.len(),
                    part.unread_after,
                );
                host.log(LogEvent::ListIncomplete, &detail);
            }
            host.metrics.add("store_lists_incomplete_total", "", 1);
            relisting.record_partial(now_ms());
            host.merge_part(kind, part);
            if !failure.is_lasting() {
                return Err(failure);
            }
        }
    }
    match host.is_of_older_era(kind) {
        true => Err(StoreFailure::HistoryGone),
        false => Ok(()),
    }
}

async fn next_changes<P>(
    host: &EntryHost<P>,
    kind: Kind,
    wait_ms: u64,
    is_continuous: bool,
) -> Result<(), StoreFailure>
where
    P: Dialect + Store + 'static,
{
    let known = host.store_mirror.stamp(kind);
    let answer = tokio::select! {
        answer = host.platform.watch(kind, known.revision, wait_ms) => answer?,
        answer = missed_changes(host, kind) => answer?,
        () = host.store_silent.notified() => return Err(StoreFailure::Silent),
        () = host.store_restored.notified() => {
            return Err(StoreFailure::HistoryGone);
        }
    };
    host.metrics.add("store_calls_total", "", 1);
    if answer.stamp.era != known.era {
        // The revision was issued again after a restore, so changes written
        // before it since the restore are missing here.
        host.record_era(kind, answer.stamp);
        return Err(StoreFailure::HistoryGone);
    }
    let has_changes = !answer.changes.is_empty();
    // The answer may have arrived during a pause of this process.
    let is_continuous = is_continuous && !host.pauses.is_recent(now_ms());
    host.apply(kind, answer.stamp, answer.changes, is_continuous);
    if has_changes && matches!(kind, Kind::Targets | Kind::EntryHosts) {
        let is_large = host.members.borrow().is_large();
        let pause =
            if is_large { LARGE_FLEET_BATCH_PAUSE } else { BATCH_PAUSE };
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

/// Returns how long the next watch waits, in milliseconds. After a failure it
/// hardly waits, to show that the store is back, and when. A long wait would
/// show that only with the next change, which would then be taken for a lapse.
fn wait_ms(kind: Kind, failures: u32) -> u64 {
    match (kind, failures) {
        (Kind::Versions, 0) => VERSIONS_WAIT_MS,
        (Kind::Quarantine, 0) => QUARANTINE_WAIT_MS,
        (_, 0) => WATCH_WAIT_MS,
        _ => RECOVERY_WAIT_MS,
    }
}

fn backoff(failures: u32) -> Duration {
    let max_ms = MIN_BACKOFF_MS << failures.min(4);
    let max_ms = max_ms.min(MAX_BACKOFF_MS);
    Duration::from_millis(rand::random_range(max_ms / 2..=max_ms))
}

/// Writes the own entry unless it is listed, and again whenever it is removed,
/// and deletes the entries of entry hosts that are gone.
async fn register<P>(host: Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    while !host.has_awaited_list() {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
    if !host.members.borrow().is_listed() && !host.is_leaving() {
        write_own_entry(&host).await;
    }
    let mut checked_ms = now_ms();
    let mut swept_ms = checked_ms;
    loop {
        tokio::time::sleep(REGISTER_INTERVAL).await;
        let now = now_ms();
        let has_stalled = now > checked_ms + 2 * REGISTER_INTERVAL_MS;
        checked_ms = now;
        if !host.members.borrow().is_listed() && !host.is_leaving() {
            write_own_entry(&host).await;
        }
        if has_stalled {
            // No entry host was heard during the suspension, even if it is
            // alive.
            swept_ms = now;
        }
        if now > swept_ms + MEMBER_EXPIRY_MS {
            swept_ms = now;
            delete_silent_members(&host).await;
        }
    }
}

/// Writes the own entry, and retries until the store accepts it.
async fn write_own_entry<P>(host: &EntryHost<P>)
where
    P: Dialect + Store + 'static,
{
    let own = host.members.borrow().own().clone();
    let mut failures = 0;
    while let Err(failure) = host.platform.put_member(&own).await {
        failures += 1;
        log::debug!("writing the own entry: {failure:?}");
        tokio::time::sleep(backoff(failures)).await;
    }
    if host.is_leaving() {
        // The deletion at its leave may have come before the write.
        delete_member(host, &own.name).await;
    }
}

/// Deletes the entries of entry hosts that are gone.
async fn delete_silent_members<P>(host: &EntryHost<P>)
where
    P: Dialect + Store + 'static,
{
    let now = now_ms();
    if !host.members.borrow().is_watcher(now) {
        return;
    }
    let silent = host.members.borrow().silent_for(now, MEMBER_EXPIRY_MS);
    for entry in silent {
        delete_member(host, &entry.name).await;
    }
}

/// Deletes the entry of an entry host; a failure is logged.
async fn delete_member<P>(host: &EntryHost<P>, name: &str)
where
    P: Dialect + Store + 'static,
{
    if let Err(failure) = host.platform.delete_member(name).await {
        log::debug!("deleting the entry of {name}: {failure:?}");
    }
}
