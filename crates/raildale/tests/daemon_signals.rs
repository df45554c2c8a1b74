//! Signals to the daemons: none ends one that is still starting, and SIGHUP
//! ends none.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use raildale_core::LogEvent;

/// How long a daemon may take for what a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);

const NODE: &str = "[node]\nname = \"n\"\ndata_centre = \"here\"\n\
    region = \"here\"\nlisten = \"127.0.0.1:0\"\ncluster_key = \"k\"\n\
    entries = []\nthreads = 1\n\
    [origin]\naddress = \"127.0.0.1:1\"\n";
const ENTRY: &str = "[http]\nlisten = \"127.0.0.1:0\"\n\
    [platform]\naddress = \"127.0.0.1:1\"\n";
const AGENT: &str = "[target]\naddress = \"127.0.0.1:1\"\npool = \"p\"\n\
    capacity = 1\n[link]\nbytes_per_s = 1000000\nchunk_bytes = 1000\n";

/// A daemon that is reading its settings.
struct Daemon {
    child: Child,
    settings: File,
    part: &'static str,
    log: PathBuf,
}

impl Daemon {
    /// Starts one, up to where it waits for its settings.
    fn begin(test: &str, program: &str, part: &'static str) -> Daemon {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        if folder.exists() {
            fs::remove_dir_all(&folder).expect("it was a test's");
        }
        fs::create_dir_all(&folder).expect("a folder");
        let settings = folder.join("settings.toml");
        let made = Command::new("mkfifo").arg(&settings).status();
        assert!(made.is_ok_and(|status| status.success()), "a FIFO");
        let log = folder.join("log");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).expect("a file"))
            .spawn()
            .expect("the program starts");
        // Opens once there is a reader.
        let settings = File::options().write(true).open(&settings);
        let settings = settings.expect("a reader");
        Daemon { child, settings, part, log }
    }

    fn tell(&mut self) {
        let text = format!("{NODE}{}", self.part);
        self.settings.write_all(text.as_bytes()).expect("it reads");
        self.settings = File::open("/dev/null").expect("it is there");
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("it was started here");
    }

    fn has_logged(&self, event: LogEvent) -> bool {
        let text = fs::read_to_string(&self.log).expect("it is there");
        text.contains(event.text())
    }

    fn until_logged(&mut self, event: LogEvent) {
        let start = Instant::now();
        while !self.has_logged(event) {
            let ended = self.child.try_wait().expect("a child");
            assert_eq!(ended, None, "ended before {event:?}");
            assert!(start.elapsed() < PATIENCE, "no {event:?}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for its end; its exit code, if it ended by itself.
    fn ended(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            assert!(start.elapsed() < PATIENCE, "it goes on");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn hang_up_during_start(test: &str, program: &str, part: &'static str) {
    let mut daemon = Daemon::begin(test, program, part);
    daemon.signal(Signal::SIGHUP);
    daemon.tell();
    daemon.until_logged(LogEvent::Started);
    daemon.until_logged(LogEvent::Reloaded);
    daemon.signal(Signal::SIGTERM);
    assert_eq!(daemon.ended(), Some(0));
    assert!(daemon.has_logged(LogEvent::Stopped));
}

fn terminate_during_start(test: &str, program: &str, part: &'static str) {
    let mut daemon = Daemon::begin(test, program, part);
    daemon.signal(Signal::SIGTERM);
    daemon.tell();
    assert_eq!(daemon.ended(), Some(0));
    assert!(daemon.has_logged(LogEvent::Stopped));
}

#[test]
fn sighup_during_its_start_does_not_end_an_entry_host() {
    let program = env!("CARGO_BIN_EXE_raildale-entry");
    hang_up_during_start("entry_hup", program, ENTRY);
}

#[test]
fn sighup_during_its_start_does_not_end_an_agent() {
    let program = env!("CARGO_BIN_EXE_raildale-agent");
    hang_up_during_start("agent_hup", program, AGENT);
}

#[test]
fn sigterm_during_its_start_ends_an_entry_host_in_order() {
    let program = env!("CARGO_BIN_EXE_raildale-entry");
    terminate_during_start("entry_term", program, ENTRY);
}

#[test]
fn sigterm_during_its_start_ends_an_agent_in_order() {
    let program = env!("CARGO_BIN_EXE_raildale-agent");
    terminate_during_start("agent_term", program, AGENT);
}
