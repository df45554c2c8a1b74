//! What an entry host decides about requests that it passes straight to
//! targets.
//!
//! The shell reads a request, asks [`Gateway::admit`] where it may go, sends
//! it, and tells what became of it; every choice is made here.
//!
//! * [`routes`]: which service a request is for, and on which terms.
//! * [`targets`]: what is believed of each target, and which one to pick.
//! * [`shares`]: which part of a target's slots this entry host may count on.
//! * [`lapse`]: targets that leave the list and may come back.
//! * [`fading`]: what was seen of late.
//! * [`request`]: a request on its way, and what becomes of it.
//! * [`admission`]: where a request goes, when it waits, and when it is refused.
//! * [`notices`]: what targets say of themselves in their answers.
//! * [`outcomes`]: what follows from how it went at a target.
//! * [`versions`]: which versions of weights bound what may start.
//! * [`waiting`]: how long a request waits for a target, and what then.
//! * [`quarantine`]: requests that end the targets that run them.
//! * [`retry_budget`]: how many repeats this process may still send.
//! * [`ends`]: starts of targets, and that one has ended.
//! * [`event_stream`]: whole events out of a stream's bytes.
//! * [`fingerprint`]: what tells that two tries are of one request.

pub mod admission;
pub mod ends;
pub mod event_stream;
pub mod fading;
pub mod fingerprint;
pub mod lapse;
pub mod notices;
pub mod outcomes;
pub mod quarantine;
pub mod request;
pub mod retry_budget;
pub mod routes;
pub mod shares;
pub mod target;
pub mod targets;
pub mod versions;
pub mod waiting;

pub use self::{
    admission::{Gateway, GatewayConfig},
    event_stream::EventSplitter,
    fingerprint::Fingerprint,
    notices::{NoticeNews, TargetNotice},
    request::{Admission, Refusal, RequestHead},
    retry_budget::RetryBudget,
    routes::{Limits, Route, RouteKind, Routing, Service},
    target::{Outcome, Target, TargetReport, TargetSpec},
    targets::Targets,
};
