//! What targets say of themselves in their answers.

use raildale_core::{
    LogEvent,
    gateway::{Admission, TargetNotice},
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Takes in, and writes if it is news, what the answer to an attempt that
    /// was sent at `sent_ms` says of its target.
    pub fn note_notice(
        &self,
        request: &Admission,
        sent_ms: u64,
        notice: TargetNotice,
    ) {
        let Some(start) = request.sent_to else { return };
        let mut gateway = self.gateway.borrow_mut();
        let is_news = gateway.notices.note(now_ms(), start, sent_ms, notice);
        drop(gateway);
        if is_news {
            let target = request.tried.last().map_or("", |target| target);
            let limit = notice.limit_per_s;
            let detail = format!("target={target} limit_per_s={limit:?}");
            self.log(LogEvent::TargetLimited, &detail);
        }
    }
}
