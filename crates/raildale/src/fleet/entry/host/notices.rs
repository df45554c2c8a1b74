//! What targets say of themselves in their answers.

use std::net::IpAddr;

use raildale_core::{
    LogEvent,
    fleet_message::ToldNotice,
    gateway::{Admission, NoticeNews, TargetNotice},
};

use super::EntryHost;
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Takes in, and writes if it is news, what the answer to an attempt that
    /// was sent at `sent_ms` says of its target. The other entry hosts hear
    /// now, and not with the next heartbeat, that one takes less or leaves.
    pub fn note_notice(
        &self,
        request: &Admission,
        sent_ms: u64,
        notice: TargetNotice,
    ) {
        let Some(start) = request.sent_to else { return };
        let mut gateway = self.gateway.borrow_mut();
        let notices = &mut gateway.targets.notices;
        let news = notices.note(now_ms(), start, sent_ms, notice);
        drop(gateway);
        let target = request.tried.last().map_or("", |target| target);
        for one in news {
            self.log_notice(target, notice, one);
            if matches!(one, NoticeNews::Lower | NoticeNews::Leaving) {
                self.news_due.notify_one();
            }
        }
    }

    fn log_notice(
        &self,
        target: &str,
        notice: TargetNotice,
        news: NoticeNews,
    ) {
        let (event, word) = match news {
            NoticeNews::Malformed => {
                (LogEvent::NoticeMalformed, String::new())
            }
            NoticeNews::Lower | NoticeNews::Higher => {
                let limit = notice.limit_per_s;
                (LogEvent::TargetLimited, format!(" limit_per_s={limit:?}"))
            }
            NoticeNews::Leaving => (LogEvent::TargetLeaving, String::new()),
            NoticeNews::Waits(ms) => {
                (LogEvent::TargetWaits, format!(" wait_ms={ms}"))
            }
        };
        self.log(event, &format!("target={target}{word}"));
    }

    /// Takes in what the entry host at `from` tells.
    pub fn take_told_notices(&self, from: IpAddr, told: Vec<ToldNotice>) {
        let now = now_ms();
        for one in told {
            let mut gateway = self.gateway.borrow_mut();
            let news = gateway.targets.notices.take_told(now, from, &one);
            drop(gateway);
            let notice = TargetNotice {
                limit_per_s: one.limit_per_s,
                ..TargetNotice::default()
            };
            let start = format!("{:016x} from=entry host", one.start);
            for one in news {
                self.log_notice(&start, notice, one);
            }
        }
    }
}
