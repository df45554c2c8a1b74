//! The kernel's state of a TCP connection (`TCP_INFO`, tcp(7)).

use std::{io, os::fd::AsFd, time::Duration};

use nix::{getsockopt_impl, libc, sockopt_impl, sys::socket::getsockopt};

use super::send_watch::{SAMPLE_INTERVAL, SendSample};

/// The first fields of the kernel's `struct tcp_info`, which has had them all
/// since Linux 4.6. The kernel writes as many bytes as are asked for.
#[repr(C)]
#[derive(Clone, Copy, Debug)]
pub struct TcpInfo {
    _state: [u8; 3],
    /// The number of probes that are not answered.
    probes: u8,
    /// How often the timer has expired since the last progress.
    backoff: u8,
    _options: [u8; 3],
    _timers: [u32; 4],
    /// The number of segments that are not acknowledged.
    unacked: u32,
    _losses: [u32; 4],
    /// The time since bytes were sent, in milliseconds.
    last_data_sent_ms: u32,
    _last_ack_sent_ms: u32,
    _last_data_recv_ms: u32,
    /// The time since an acknowledgement arrived, in milliseconds.
    last_ack_recv_ms: u32,
    _estimates: [u32; 11],
    _totals: [u64; 4],
    _segments: [u32; 2],
    /// The number of bytes that wait to be sent.
    notsent_bytes: u32,
    _min_rtt_us: u32,
}

sockopt_impl!(
    /// The option that returns a [`TcpInfo`].
    TcpInfoOption,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo
);

impl TcpInfo {
    /// Returns the state of a connection.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn of(socket: &impl AsFd) -> io::Result<TcpInfo> {
        getsockopt(socket, TcpInfoOption).map_err(io::Error::from)
    }

    /// Returns the state of the bytes that the connection has to send.
    pub fn send_sample(&self) -> SendSample {
        SendSample {
            is_outstanding: self.unacked > 0 || self.notsent_bytes > 0,
            has_backed_off: self.backoff > 0,
            is_unanswered: self.is_unanswered(),
        }
    }

    /// An acknowledgement younger than a sample is one of its own, whenever
    /// the last bytes were sent.
    fn is_unanswered(&self) -> bool {
        let ack_age = Duration::from_millis(self.last_ack_recv_ms.into());
        let is_data_unanswered =
            self.unacked > 0 && self.last_data_sent_ms < self.last_ack_recv_ms;
        ack_age >= SAMPLE_INTERVAL && (self.probes > 0 || is_data_unanswered)
    }
}
