//! Data centres whose targets must get nothing more, by the operator's
//! request.
//!
//! The store holds the requests. One holds from the store's word on until it
//! is deleted. A store that was restored from an older copy may lack one that
//! was acknowledged: that one holds on for [`LOST_RETENTION_MS`], in which
//! the operator writes it again.

use std::collections::BTreeMap;

use crate::Name;

/// How long an evacuation holds that a restore of the store has lost, in
/// milliseconds. Its deletion can't be heard of any more.
pub const LOST_RETENTION_MS: u64 = 30_000;

/// The evacuations, as known to one entry host.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Whether evacuations may exist and are not known yet.
    is_pending: bool,
    /// The evacuated data centres, each with the time at which a restore of
    /// the store lost its evacuation, if one did.
    by_centre: BTreeMap<Name, Option<u64>>,
}

impl Evacuations {
    /// Creates the state of a fleet without evacuations.
    pub fn new() -> Evacuations {
        Evacuations::default()
    }

    /// Returns the state in which no data centre may get anything until
    /// [`Evacuations::set_known`] is called: an entry host that starts during
    /// an evacuation must not send before it knows of it.
    pub fn pending() -> Evacuations {
        Evacuations { is_pending: true, ..Evacuations::default() }
    }

    /// Records that a complete list has been received.
    pub fn set_known(&mut self) {
        self.is_pending = false;
    }

    /// Records an evacuation. Returns whether it is new.
    pub fn begin(&mut self, centre: Name) -> bool {
        self.by_centre.insert(centre, None).is_none()
    }

    /// Records that the operator has ended an evacuation. Returns whether it
    /// was in force.
    pub fn end(&mut self, centre: &str) -> bool {
        self.by_centre.remove(centre).is_some()
    }

    /// Records that a restore of the store lost an evacuation.
    pub fn record_lost(&mut self, now_ms: u64, centre: &str) {
        if let Some(lost_ms) = self.by_centre.get_mut(centre) {
            lost_ms.get_or_insert(now_ms);
        }
    }

    /// Removes the evacuations that were lost for [`LOST_RETENTION_MS`], and
    /// returns their data centres.
    pub fn sweep(&mut self, now_ms: u64) -> Vec<Name> {
        let is_over = |lost_ms: &Option<u64>| {
            lost_ms.is_some_and(|ms| now_ms >= ms + LOST_RETENTION_MS)
        };
        let over = self.by_centre.iter().filter(|(_, lost)| is_over(lost));
        let over: Vec<Name> = over.map(|(centre, _)| centre.clone()).collect();
        self.by_centre.retain(|_, lost_ms| !is_over(lost_ms));
        over
    }

    /// Returns whether the targets of a data centre must get nothing.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        self.is_pending || self.by_centre.contains_key(centre)
    }

    /// Returns the evacuated data centres.
    pub fn centres(&self) -> impl Iterator<Item = &Name> {
        self.by_centre.keys()
    }
}
