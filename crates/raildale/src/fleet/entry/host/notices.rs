//! Notices: what targets announce in their answers.

use std::net::IpAddr;

use raildale_core::{
    LogEvent,
    fleet_message::NoticeEntry,
    gateway::{NoticeChange, TargetNotice},
};

use super::{super::attempt::Attempt, EntryHost};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Records the notice that an attempt's answer carries, and logs it if it
    /// is new. Other entry hosts are informed at once, and not with the next
    /// heartbeat, that a target takes less or leaves.
    pub fn record_notice(&self, attempt: &Attempt<P>, notice: TargetNotice) {
        let Some(start) = attempt.start else { return };
        let mut gateway = self.gateway.borrow_mut();
        let notices = &mut gateway.targets.notices;
        let changes = notices.record(now_ms(), start, attempt.sent_ms, notice);
        drop(gateway);
        for change in changes {
            self.log_notice(&attempt.target, notice, change);
            if matches!(change, NoticeChange::Lower | NoticeChange::Leaving) {
                self.urgent_heartbeat_due.notify_one();
            }
        }
    }

    fn log_notice(
        &self,
        target: &str,
        notice: TargetNotice,
        change: NoticeChange,
    ) {
        let (event, suffix) = match change {
            NoticeChange::Malformed => {
                (LogEvent::NoticeMalformed, String::new())
            }
            NoticeChange::Lower | NoticeChange::Higher => {
                let limit = notice.limit_per_s;
                (LogEvent::TargetLimited, format!(" limit_per_s={limit:?}"))
            }
            NoticeChange::Leaving => (LogEvent::TargetLeaving, String::new()),
            NoticeChange::Waits(ms) => {
                (LogEvent::TargetWaits, format!(" wait_ms={ms}"))
            }
        };
        self.log(event, &format!("target={target}{suffix}"));
    }

    /// Handles the notices that the entry host at `from` reports.
    pub fn handle_peer_notices(
        &self,
        from: IpAddr,
        reports: Vec<NoticeEntry>,
    ) {
        let now = now_ms();
        for report in reports {
            let mut gateway = self.gateway.borrow_mut();
            let changes =
                gateway.targets.notices.merge_remote(now, from, &report);
            drop(gateway);
            let notice = TargetNotice {
                limit_per_s: report.limit_per_s,
                ..TargetNotice::default()
            };
            let start = format!("{:016x} from=entry host", report.start);
            for change in changes {
                self.log_notice(&start, notice, change);
            }
        }
    }
}
