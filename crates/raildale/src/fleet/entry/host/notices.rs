//! What targets say of themselves in their answers.

use std::net::IpAddr;

use raildale_core::{
    LogEvent,
    fleet_message::ToldNotice,
    gateway::{NoticeChange, TargetNotice},
};

use super::{super::attempt::Attempt, EntryHost};
use crate::fleet::{
    edge::{Dialect, Store},
    steady_clock::now_ms,
};

impl<P: Dialect + Store + 'static> EntryHost<P> {
    /// Takes in, and writes if it is news, what the answer to an attempt says
    /// of its target. The other entry hosts hear now, and not with the next
    /// heartbeat, that one takes less or leaves.
    pub fn note_notice(&self, attempt: &Attempt<P>, notice: TargetNotice) {
        let Some(start) = attempt.start else { return };
        let mut gateway = self.gateway.borrow_mut();
        let notices = &mut gateway.targets.notices;
        let news = notices.note(now_ms(), start, attempt.sent_ms, notice);
        drop(gateway);
        for one in news {
            self.log_notice(&attempt.target, notice, one);
            if matches!(one, NoticeChange::Lower | NoticeChange::Leaving) {
                self.news_due.notify_one();
            }
        }
    }

    fn log_notice(
        &self,
        target: &str,
        notice: TargetNotice,
        news: NoticeChange,
    ) {
        let (event, word) = match news {
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
        self.log(event, &format!("target={target}{word}"));
    }

    /// Takes in what the entry host at `from` tells.
    pub fn take_told_notices(&self, from: IpAddr, told: Vec<ToldNotice>) {
        let now = now_ms();
        for one in told {
            let mut gateway = self.gateway.borrow_mut();
            let news = gateway.targets.notices.merge_remote(now, from, &one);
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
