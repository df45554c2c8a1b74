//! Reconciles the store's records of requests that end their targets with what
//! is known. The records survive a restart of all entry hosts.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use raildale_core::{
    Name,
    catalog::Kind,
    gateway::{Fingerprint, quarantine::Record},
};

use super::{EntryHost, host::unix_ms};
use crate::fleet::edge::{Dialect, Store};

/// How long a record stays claimed after a write or deletion. By then the
/// watch of the store has delivered the change, or the store is unavailable.
const WRITE_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The age of a loss, in milliseconds, after which any entry host may write
/// its record: the owner may be cut off from the store.
const RECORD_OVERDUE_MS: u64 = 3_000;

/// Writes the records that the store lacks, and deletes those that are old or
/// whose requests were answered since. One entry host does so for each
/// request.
pub(super) fn reconcile_records<P>(host: &Rc<EntryHost<P>>)
where
    P: Dialect + Store + 'static,
{
    let unix_ms = unix_ms();
    let stored_records = stored_records(host);
    for record in host.quarantine_records() {
        if !record.adds_to(stored_records.get(&record.fingerprint)) {
            continue;
        }
        let is_overdue = unix_ms > record.last_unix_ms() + RECORD_OVERDUE_MS;
        if claim_write(host, record.fingerprint, is_overdue) {
            tokio::task::spawn_local(write_record(host.clone(), record));
        }
    }
    for (fingerprint, record) in stored_records {
        let is_answered =
            host.gateway.borrow().quarantine.is_answered(fingerprint);
        let is_over = is_answered || record.is_over(unix_ms);
        if is_over && claim_write(host, fingerprint, false) {
            tokio::task::spawn_local(delete_record(host.clone(), fingerprint));
        }
    }
}

/// Returns the store's records, as far as known.
fn stored_records<P>(host: &EntryHost<P>) -> BTreeMap<Fingerprint, Record>
where
    P: Dialect + Store + 'static,
{
    let snapshot = host.store_mirror.snapshot(Kind::Quarantine);
    let records = snapshot.objects.iter().filter_map(|object| {
        // Objects that do not decode were logged on arrival.
        host.platform.quarantine_record(object).ok()
    });
    records.map(|record| (record.fingerprint, record)).collect()
}

/// Claims the record of a request for writing. Returns whether this entry host
/// is its owner or, if the record is overdue, was drawn at random, and has not
/// claimed it already.
fn claim_write<P>(
    host: &EntryHost<P>,
    fingerprint: Fingerprint,
    is_overdue: bool,
) -> bool {
    let others = host.members.borrow().others().count();
    let is_drawn = is_overdue && rand::random_range(0..=others) == 0;
    let is_owner = host.gateway.borrow().quarantine.is_owner(fingerprint);
    (is_owner || is_drawn)
        && host.claimed_records.borrow_mut().insert(fingerprint)
}

async fn write_record<P>(host: Rc<EntryHost<P>>, record: Record)
where
    P: Dialect + Store + 'static,
{
    let written = host.platform.put_quarantine(&record).await;
    if let Err(failure) = written {
        log::info!(
            "writing the quarantine record of {}: {failure:?}",
            record.fingerprint
        );
    }
    host.metrics.add("store_calls_total", "", 1);
    release_claim_later(&host, record.fingerprint).await;
}

async fn delete_record<P>(host: Rc<EntryHost<P>>, fingerprint: Fingerprint)
where
    P: Dialect + Store + 'static,
{
    let name = Name::from(fingerprint.to_string());
    let deleted = host.platform.delete_quarantine(&name).await;
    if let Err(failure) = deleted {
        log::info!(
            "deleting the quarantine record of {fingerprint}: {failure:?}"
        );
    }
    host.metrics.add("store_calls_total", "", 1);
    release_claim_later(&host, fingerprint).await;
}

/// Releases the claim once the store's change should be known here.
async fn release_claim_later<P>(
    host: &EntryHost<P>,
    fingerprint: Fingerprint,
) {
    tokio::time::sleep(WRITE_RETRY_PAUSE).await;
    host.claimed_records.borrow_mut().remove(&fingerprint);
}
