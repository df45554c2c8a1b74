//! Reads whole kinds of object from the store, page by page.
//!
//! Others than the platform write some kinds too, and a list is as long as
//! they make it. A page that cannot be used must not hide those before it, and
//! the list must not be begun anew because of one page.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use raildale_core::{
    Name,
    catalog::{Kind, Snapshot, Stamp, StoredObject},
};

use super::edge::{ListPage, Store, StoreFailure};

/// How often a page after the first is asked for again after a failure that
/// may pass.
const MAX_PAGE_RETRIES: u32 = 3;

/// The pause before a page is asked for again. It doubles each time.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A list of a kind that could not be read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialList {
    /// What could be read.
    pub snapshot: Snapshot,
    /// The name behind which it is unknown which objects there are.
    pub unread_after: Name,
}

/// A list of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// All of its objects.
    Whole(Snapshot),
    /// A part of them, and why the others could not be read.
    Partial(PartialList, StoreFailure),
}

/// Lists a kind.
///
/// # Errors
///
/// A [`StoreFailure`] if the first page could not be read, or if the store was
/// restored meanwhile.
pub async fn list(
    store: &impl Store,
    kind: Kind,
    is_stale_ok: bool,
) -> Result<Listing, StoreFailure> {
    let mut pages = Pages::new(kind, is_stale_ok);
    let mut objects = BTreeMap::new();
    loop {
        match pages.next(store).await {
            Ok(Some(page)) => {
                let named = page.into_iter().map(|o| (o.name.clone(), o));
                objects.extend(named);
            }
            Ok(None) => {
                return Ok(Listing::Whole(pages.snapshot(objects)));
            }
            Err(failure) => {
                let Some(unread_after) = pages.unread_after() else {
                    return Err(failure);
                };
                let snapshot = pages.snapshot(objects);
                let part = PartialList { snapshot, unread_after };
                return Ok(Listing::Partial(part, failure));
            }
        }
    }
}

/// The pages of a list, in turn.
#[derive(Debug)]
pub struct Pages {
    kind: Kind,
    is_stale_ok: bool,
    /// The stamp of the first page: changes since then may be missing in it.
    stamp: Option<Stamp>,
    /// The last names of the pages so far.
    ends: BTreeSet<Name>,
    /// The name after which the next page starts.
    after: Option<Name>,
    is_over: bool,
    /// Why there is no next page although the list goes on.
    failure: Option<StoreFailure>,
    /// Whether each page began behind the one before it.
    is_sorted: bool,
}

impl Pages {
    /// Creates the pages of a kind, of which none has been read.
    pub fn new(kind: Kind, is_stale_ok: bool) -> Pages {
        Pages {
            kind,
            is_stale_ok,
            stamp: None,
            ends: BTreeSet::new(),
            after: None,
            is_over: false,
            failure: None,
            is_sorted: true,
        }
    }

    /// Reads the next page; `None` after the last one.
    ///
    /// # Errors
    ///
    /// A [`StoreFailure`]; [`StoreFailure::HistoryGone`] if the store was
    /// restored since the first page, after which all pages are void.
    pub async fn next(
        &mut self,
        store: &impl Store,
    ) -> Result<Option<Vec<StoredObject>>, StoreFailure> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        if self.is_over {
            return Ok(None);
        }
        let page = self.read(store).await?;
        let stamp = *self.stamp.get_or_insert(page.stamp);
        if stamp.era != page.stamp.era {
            self.stamp = None;
            return Err(StoreFailure::HistoryGone);
        }
        self.is_over = !page.has_more;
        if page.has_more {
            self.advance(page.last_name);
        }
        let objects = page.objects.into_iter();
        Ok(Some(objects.map(|o| o.bounded(self.kind)).collect()))
    }

    /// Reads the page after `after`.
    async fn read(
        &self,
        store: &impl Store,
    ) -> Result<ListPage, StoreFailure> {
        let mut retries = 0;
        loop {
            let after = self.after.as_deref();
            let page = store.list_page(self.kind, after, self.is_stale_ok);
            let failure = match page.await {
                Ok(page) => return Ok(page),
                Err(failure) => failure,
            };
            let is_first = after.is_none();
            if is_first || failure.is_lasting() || retries >= MAX_PAGE_RETRIES
            {
                return Err(failure);
            }
            tokio::time::sleep(PAGE_RETRY_PAUSE * (1 << retries)).await;
            retries += 1;
        }
    }

    /// Moves on to the page after a name.
    fn advance(&mut self, last_name: Option<Name>) {
        // The store's order of names need not be the one here, but a page that
        // ends as another one did would be followed by the same pages.
        let is_new = |name: &Name| !self.ends.contains(name);
        let Some(name) = last_name.filter(is_new) else {
            let kind = self.kind;
            log::warn!("{kind:?} after {:?} does not advance", self.after);
            self.failure = Some(StoreFailure::PageNotAdvanced);
            return;
        };
        self.is_sorted &= self.after.as_ref() < Some(&name);
        self.ends.insert(name.clone());
        self.after = Some(name);
    }

    /// Returns the name up to which the pages so far have all objects; `None`
    /// if there is no page.
    fn unread_after(&self) -> Option<Name> {
        self.stamp?;
        match &self.after {
            Some(after) if self.is_sorted => Some(after.clone()),
            _ => Some(Name::from("")),
        }
    }

    fn snapshot(&self, objects: BTreeMap<Name, StoredObject>) -> Snapshot {
        let stamp = self.stamp.unwrap_or_default();
        Snapshot { stamp, objects: objects.into_values().collect() }
    }
}
