//! The traits that the adapter of a platform implements.
//!
//! An adapter only translates between the platform's names and encodings,
//! which are not used anywhere else, and makes no decisions.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    http::{request, response},
};
use raildale_core::{
    Name,
    catalog::{Change, Kind, Stamp, StoredObject},
    gateway::{
        RequestHead, Routing, TargetNotice, TargetSpec, quarantine::Record,
    },
    members::MemberEntry,
    swarm::{
        LoadMethod, OrderGuard, OrderOutcome, TargetStart, TargetState,
        WeightDigest,
    },
};

use crate::error::Error;

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The changes since the given revision are not available: the history is
    /// gone, or the store was restored meanwhile.
    HistoryGone,
    /// The store rejected the call because there are too many; nothing was
    /// done.
    Busy,
    /// The store reported that nothing was done.
    Unavailable,
    /// The connection broke.
    Lost,
    /// The answer did not decode.
    Unreadable,
    /// The answer's status is none that the call may get.
    UnexpectedStatus,
    /// A page of a list does not continue the page before it.
    PageNotAdvanced,
    /// No answer arrived in time.
    Silent,
    /// The answer is longer than it may be. The same call would get the same.
    TooLong,
}

impl StoreFailure {
    /// Returns whether the same call would fail in the same way: the store
    /// answers, but the answer is of no use.
    pub fn is_lasting(self) -> bool {
        match self {
            StoreFailure::Unreadable
            | StoreFailure::PageNotAdvanced
            | StoreFailure::TooLong => true,
            StoreFailure::HistoryGone
            | StoreFailure::Busy
            | StoreFailure::Unavailable
            | StoreFailure::Lost
            | StoreFailure::UnexpectedStatus
            | StoreFailure::Silent => false,
        }
    }
}

/// A page of a list of objects.
#[derive(Clone, Debug, Default)]
pub struct ListPage {
    /// The store's last change when it was read.
    pub stamp: Stamp,
    /// The objects that decode.
    pub objects: Vec<StoredObject>,
    /// The last name on the page, also if its object does not decode
    /// otherwise; `None` if there is none.
    pub last_name: Option<Name>,
    /// Whether other objects follow.
    pub has_more: bool,
}

/// The changes of a kind since an earlier stamp.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The stamp of the store's change up to which they lead.
    pub stamp: Stamp,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// The platform's store of objects.
pub trait Store {
    /// Returns the first page of the list of a kind's objects, or the one
    /// after a name. A stale page, allowed by `is_stale_ok`, may be seconds old
    /// and costs less.
    fn list_page(
        &self,
        kind: Kind,
        after: Option<&str>,
        is_stale_ok: bool,
    ) -> impl Future<Output = Result<ListPage, StoreFailure>>;

    /// Returns the changes after a revision, and waits up to `wait_ms` for
    /// them.
    fn watch(
        &self,
        kind: Kind,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, StoreFailure>>;

    /// Writes an entry host's own entry.
    fn put_member(
        &self,
        entry: &MemberEntry,
    ) -> impl Future<Output = Result<(), StoreFailure>>;

    /// Deletes an entry host's entry.
    fn delete_member(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<(), StoreFailure>>;

    /// Writes the record of a request that ends its targets.
    fn put_quarantine(
        &self,
        record: &Record,
    ) -> impl Future<Output = Result<(), StoreFailure>>;

    /// Writes the records of a model's named versions, which replace earlier
    /// ones.
    fn put_naming_records(
        &self,
        model: &str,
        records: &[NamingRecord],
    ) -> impl Future<Output = Result<(), StoreFailure>>;

    /// Deletes the record of a request that ends its targets.
    fn delete_quarantine(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<(), StoreFailure>>;
}

/// A version of a model that was named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// The recorded namings of this version and of earlier ones.
    pub records: Vec<NamingRecord>,
}

/// When a version of a model was named, as an entry host heard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamingRecord {
    /// The version.
    pub version: u64,
    /// The time of day in Unix milliseconds.
    pub unix_ms: u64,
}

/// What an answer's head contains.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Whether it answers the attempt that was sent, not an earlier one.
    pub is_for_this_attempt: bool,
    /// Whether the target signed it.
    pub is_signed: bool,
    /// Whether the target reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the address belongs to another target, or to another start of
    /// the target.
    pub is_misdirected: bool,
    /// Whether it is an event stream.
    pub is_event_stream: bool,
    /// Whether its body has a content encoding, which targets never use.
    pub is_encoded: bool,
    /// The target's notice.
    pub notice: TargetNotice,
}

/// What is sent with a request to a target.
#[derive(Clone, Debug)]
pub struct AttemptMetadata {
    /// The target's ID; another start of the target must refuse the request.
    pub target: Name,
    /// The time left for the request, in milliseconds.
    pub budget_ms: u64,
    /// The organisation of the caller.
    pub organisation: Option<Name>,
    /// The version that the target must serve, if any.
    pub version: Option<u64>,
    /// The urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// The ID of the event after which a stream is resumed.
    pub resume_after: Option<String>,
}

/// A query for the addresses of entry hosts to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// The data centre of the caller.
    pub data_centre: Name,
    /// The HTTP host for whose requests the addresses are.
    pub host: Name,
}

/// The platform's headers and encodings.
pub trait Dialect {
    /// Parses a request's head; `None` if it lacks what every request must
    /// have.
    fn request_head(&self, head: &request::Parts) -> Option<RequestHead>;

    /// Returns the headers of a request to a target; `None` if one of the
    /// names in them cannot be sent.
    fn target_headers(
        &self,
        caller: &HeaderMap,
        metadata: &AttemptMetadata,
    ) -> Option<HeaderMap>;

    /// Parses an answer's head.
    fn answer_head(
        &self,
        head: &response::Parts,
        request_id: &str,
    ) -> AnswerHead;

    /// Returns the version of the weights on which a target ran a request, from
    /// the headers of its answer; `None` if they don't tell.
    fn run_version(&self, headers: &HeaderMap) -> Option<u64>;

    /// Returns the ID of the target's start that answered a health check;
    /// `None` if the answer does not contain it.
    fn answering_start(&self, headers: &HeaderMap) -> Option<Name>;

    /// Returns the headers of a target's answer that go to the caller.
    fn caller_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Returns the headers of a refusal by the entry host itself.
    fn refusal_headers(
        &self,
        request_id: &str,
        retry_after_ms: Option<u64>,
    ) -> HeaderMap;

    /// Whether a path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Parses a query for addresses; `None` if the URI is not one.
    fn address_query(&self, uri: &hyper::Uri) -> Option<AddressQuery>;

    /// Returns the body of the answer to a query for addresses.
    fn addresses(&self, addresses: &[SocketAddr], ttl_s: f64) -> Bytes;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Settings`] if it does not decode.
    fn routing(&self, body: &[u8]) -> Result<Routing, Error>;

    /// Decodes an entry of the list of targets.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Settings`] if it does not decode.
    fn target(&self, object: &StoredObject) -> Result<TargetSpec, Error>;

    /// Decodes a named version.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Settings`] if it does not decode.
    fn named_weights(&self, body: &[u8]) -> Result<NamedWeights, Error>;

    /// Decodes an entry host's entry.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Settings`] if it does not decode.
    fn member(&self, object: &StoredObject) -> Result<MemberEntry, Error>;

    /// Decodes the record of a request that ends its targets.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Settings`] if it does not decode.
    fn quarantine_record(
        &self,
        object: &StoredObject,
    ) -> Result<Record, Error>;
}

/// The target that an agent serves.
pub trait WeightTarget {
    /// Returns its state; `None` if it does not answer.
    fn state(&self) -> impl Future<Output = Option<TargetState>>;

    /// Returns which start of it is up, from the path of its health checks.
    fn start(&self, health_path: &str) -> impl Future<Output = TargetStart>;

    /// Returns the indices of the staged chunks; `None` if it does not answer.
    fn staged(&self, model: &str) -> impl Future<Output = Option<Vec<u32>>>;

    /// Returns a staged chunk; `None` if it could not be read.
    fn read_staged(
        &self,
        model: &str,
        index: u32,
    ) -> impl Future<Output = Option<Bytes>>;

    /// Stages a chunk. Returns whether it is staged.
    fn stage(
        &self,
        model: &str,
        index: u32,
        data: Bytes,
    ) -> impl Future<Output = bool>;

    /// Orders it to load the staged chunks, in the state that `guard`
    /// describes and no other. Returns the outcome of the order.
    fn load(
        &self,
        model: &str,
        version: u64,
        method: LoadMethod,
        guard: &OrderGuard,
    ) -> impl Future<Output = OrderOutcome>;
}

/// The origin of weights.
pub trait WeightOrigin {
    /// Returns the digests of a version's chunks; `None` if they could not be
    /// fetched.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Option<Vec<WeightDigest>>>;

    /// Returns a chunk, without checking its digest; `None` if it could not be
    /// fetched.
    fn chunk(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        index: u32,
    ) -> impl Future<Output = Option<Bytes>>;
}
