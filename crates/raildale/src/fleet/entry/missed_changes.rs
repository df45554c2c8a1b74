//! Detection of changes that a waiting watch of the store has missed.
//!
//! An open connection may go silent for good while others work. A watch that
//! waits there gets no more changes, and its own time-out comes too late. The
//! store numbers the changes of all kinds together, so each answer to the
//! frequent watch of versions shows whether there was any change since the
//! last answer to another watch. Unless those were changes of other kinds,
//! which have been heard of, that kind is read by another call.

use std::time::Duration;

use raildale_core::{LogEvent, catalog::Kind};

use super::{EntryHost, store_watch::RECOVERY_WAIT_MS};
use crate::fleet::edge::{Changes, Dialect, Store, StoreFailure};

/// The time that a watch has to return a change after another connection has
/// shown that there was one: answers of a store that is not slow arrive within
/// it.
const OVERTAKING_TIMEOUT: Duration = Duration::from_millis(100);

/// Waits until a kind's watch has missed changes. Returns them.
///
/// # Errors
///
/// A [`StoreFailure`] if the store could not be asked. This says nothing about
/// the watch.
pub async fn missed_changes<P>(
    host: &EntryHost<P>,
    kind: Kind,
) -> Result<Changes, StoreFailure>
where
    P: Dialect + Store + 'static,
{
    let mut head = host.store_head.subscribe();
    loop {
        let known = host.store_mirror.stamp(kind);
        if head.wait_for(|head| *head > known).await.is_err() {
            // The process is ending.
            return std::future::pending().await;
        }
        tokio::time::sleep(OVERTAKING_TIMEOUT).await;
        let known = host.store_mirror.stamp(kind);
        let head_stamp = *head.borrow();
        if head_stamp <= known {
            continue;
        }
        // Then all of them were changes of other kinds.
        if host.heard_changes.borrow().covers(known, head_stamp) {
            host.apply(kind, head_stamp, Vec::new(), false);
            continue;
        }
        let wait_ms = RECOVERY_WAIT_MS;
        let answer =
            host.platform.watch(kind, known.revision, wait_ms).await?;
        if answer.stamp.era != known.era {
            return Ok(answer);
        }
        if !answer.changes.is_empty() {
            let count = answer.changes.len();
            let found = answer.stamp;
            let detail = format!(
                "kind={kind:?} known={known} found={found} changes={count}"
            );
            host.log(LogEvent::WatchDeaf, &detail);
            host.metrics.add("store_missed_changes_total", "", 1);
            return Ok(answer);
        }
        host.metrics.add("store_calls_total", "", 1);
        host.apply(kind, answer.stamp, answer.changes, false);
    }
}
