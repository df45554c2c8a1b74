//! A link before a worker, which can be cut for a while. Whatever either side
//! sent meanwhile, the end of a connection included, arrives once it heals, as
//! TCP sends it again.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The link; clones share its state.
#[derive(Clone, Default)]
pub struct Proxy {
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a link from `listen` to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Proxy> {
        let proxy = Proxy::default();
        let listener = TcpListener::bind(listen)?;
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || {
                    let _ = proxy.connect(stream, target);
                });
            }
        });
        Ok(proxy)
    }

    /// Cuts the link, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_until_healed(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn connect(&self, near: TcpStream, target: SocketAddr) -> io::Result<()> {
        self.wait_until_healed();
        let far = TcpStream::connect(target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_reader, far_reader) = (near.try_clone()?, far.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(near_reader, far));
        self.pump(far_reader, near);
        Ok(())
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let length = match from.read(&mut buffer) {
                Ok(length) => length,
                // A reset isn't passed on as an end: the other side hears
                // nothing more.
                Err(_) => loop {
                    thread::park();
                },
            };
            self.wait_until_healed();
            if length == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&buffer[..length]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
