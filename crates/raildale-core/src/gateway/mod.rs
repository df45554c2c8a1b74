//! Request routing on an entry host for requests that are proxied directly to
//! targets.
//!
//! The caller of this module reads a request, asks [`Gateway::admit`] and
//! [`Gateway::next`] where it may go, sends it, and reports the outcome. The
//! module itself does no I/O.
//!
//! * [`routes`]: services, routes and keys of the configuration.
//! * [`targets`]: the known targets and the choice among them.
//! * [`target`]: load and health of one target.
//! * [`ranks`]: the order of requests by priority.
//! * [`regions`]: the regions in which requests may be served.
//! * [`evacuations`]: data centres whose targets must get nothing.
//! * [`shares`]: the part of each target's slots that this entry host owns.
//! * [`lapse`]: targets that left the list during a store outage.
//! * [`cold`]: targets that bear only a rate of requests after a start.
//! * [`decaying_sum`]: exponentially decaying means and rates.
//! * [`request`]: an admitted request and the decisions made about it.
//! * [`admission`]: whether a request is sent, waits or is refused.
//! * [`notices`]: limits and notices that targets send in response headers.
//! * [`outcomes`]: handling of the outcome of an attempt.
//! * [`versions`]: named versions of weights and the bounds they set.
//! * [`served`]: the version that a target serves, and the bound on it.
//! * [`waiting`]: queues of requests that wait for a target.
//! * [`quarantine`]: detection of requests that crash their targets.
//! * [`retry_budget`]: the bound on repeats that this process may send.
//! * [`target_end`]: identity of a target's start, and the end of a start.
//! * [`event_stream`]: splitting of a stream into whole events.
//! * [`fingerprint`]: identity of a request across its tries.

pub mod admission;
pub mod cold;
pub mod decaying_sum;
pub mod evacuations;
pub mod event_stream;
pub mod fingerprint;
pub mod lapse;
pub mod notices;
pub mod outcomes;
pub mod quarantine;
pub mod ranks;
pub mod regions;
pub mod request;
pub mod retry_budget;
pub mod routes;
pub mod served;
pub mod shares;
pub mod target;
pub mod target_end;
pub mod targets;
pub mod versions;
pub mod waiting;

pub use self::{
    admission::{Gateway, GatewayConfig},
    event_stream::{EventSplitter, MAX_EVENT_BYTES},
    fingerprint::{Fingerprint, Fingerprints},
    notices::{NoticeChange, TargetNotice},
    request::{Admission, Refusal, RequestHead},
    retry_budget::RetryBudget,
    routes::{Limits, Route, RouteKind, Routing, Service},
    target::{Outcome, Target, TargetReport, TargetSpec},
    targets::Targets,
};
