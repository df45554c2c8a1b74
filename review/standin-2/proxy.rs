//! A TCP proxy that may hold bytes back or let connections fall silent.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// One proxied connection.
struct Link {
    /// Whether bytes are dropped from now on, in both directions.
    is_silent: AtomicBool,
    is_open: AtomicBool,
    /// The first line of the last request.
    request: Mutex<String>,
}

impl Link {
    fn record_request(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let line = text.lines().next().unwrap_or("");
        if line.ends_with(" HTTP/1.1") {
            *self.request.lock().unwrap() = line.to_string();
        }
    }
}

/// A proxy. Clones share their state.
#[derive(Clone)]
pub struct Proxy {
    to: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
    /// Whether the path is cut: bytes, ends and new connections wait.
    cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Proxy {
    /// Starts a proxy at `address` for what listens at `to`.
    pub fn start(address: SocketAddr, to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(address).expect("a free port");
        let proxy =
            Proxy { to, links: Arc::default(), cut: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.connect(stream));
            }
        });
        proxy
    }

    fn connect(&self, near: TcpStream) {
        self.wait_while_cut();
        let timeout = Duration::from_secs(1);
        let Ok(far) = TcpStream::connect_timeout(&self.to, timeout) else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let link = Arc::new(Link {
            is_silent: AtomicBool::new(false),
            is_open: AtomicBool::new(true),
            request: Mutex::default(),
        });
        self.links.lock().unwrap().push(link.clone());
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone())
        else {
            return;
        };
        let back = (self.clone(), link.clone());
        thread::spawn(move || back.0.pump(&back.1, far_copy, near_copy));
        self.pump(&link, near, far);
    }

    fn pump(&self, link: &Link, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 << 10];
        loop {
            let read = from.read(&mut buffer);
            if link.is_silent.load(Ordering::Relaxed) {
                match read {
                    Ok(length) if length > 0 => continue,
                    // The other end is never told.
                    _ => loop {
                        thread::sleep(Duration::from_secs(1));
                    },
                }
            }
            self.wait_while_cut();
            if let Ok(length) = read {
                link.record_request(&buffer[..length]);
            }
            match read {
                Ok(length) if length > 0 => {
                    if to.write_all(&buffer[..length]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        break;
                    }
                }
                Ok(_) => {
                    let _ = to.shutdown(Shutdown::Write);
                    break;
                }
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    break;
                }
            }
        }
        link.is_open.store(false, Ordering::Relaxed);
    }

    /// Holds all bytes, ends and new connections back, or lets them pass.
    pub fn set_cut(&self, is_cut: bool) {
        let (cut, changed) = &*self.cut;
        *cut.lock().unwrap() = is_cut;
        changed.notify_all();
    }

    fn wait_while_cut(&self) {
        let (cut, changed) = &*self.cut;
        let mut cut = cut.lock().unwrap();
        while *cut {
            cut = changed.wait(cut).unwrap();
        }
    }

    /// Lets the open connections fall silent whose last request contains one
    /// of `texts`. Returns how many of how many.
    pub fn silence(&self, texts: &[&str]) -> (usize, usize) {
        let links = self.links.lock().unwrap();
        let open = links.iter().filter(|l| l.is_open.load(Ordering::Relaxed));
        let (mut silent, mut all) = (0, 0);
        for link in open {
            all += 1;
            let request = link.request.lock().unwrap();
            if texts.iter().any(|text| request.contains(text)) {
                link.is_silent.store(true, Ordering::Relaxed);
                silent += 1;
            }
        }
        (silent, all)
    }
}
