//! Signals to the daemons: a signal during start does not kill the process,
//! and SIGHUP never ends it.

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

/// Time-out of each wait for a daemon.
const TIMEOUT: Duration = Duration::from_secs(20);

const NODE: &str = "[node]\nname = \"n\"\ndata_centre = \"here\"\n\
    region = \"here\"\nlisten = \"127.0.0.1:0\"\ncluster_key = \"k\"\n\
    entries = []\nthreads = 1\n\
    [origin]\naddress = \"127.0.0.1:1\"\n";
const ENTRY: &str = "[http]\nlisten = \"127.0.0.1:0\"\n\
    [platform]\naddress = \"127.0.0.1:1\"\n";
const AGENT: &str = "[target]\naddress = \"127.0.0.1:1\"\npool = \"p\"\n\
    capacity = 1\n[link]\nbytes_per_s = 1000000\nchunk_bytes = 1000\n";

/// A daemon that waits for its settings, which it reads from a FIFO.
struct Daemon {
    child: Child,
    settings: File,
    section: &'static str,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon and returns once it has opened its settings file.
    fn start_reading(
        test: &str,
        program: &str,
        section: &'static str,
    ) -> Daemon {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        if folder.exists() {
            fs::remove_dir_all(&folder)
                .expect("the folder of an earlier run is removable");
        }
        fs::create_dir_all(&folder).expect("the folder can be created");
        let settings = folder.join("settings.toml");
        let made = Command::new("mkfifo").arg(&settings).status();
        assert!(made.is_ok_and(|status| status.success()), "mkfifo failed");
        let log = folder.join("log");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).expect("the log can be created"))
            .spawn()
            .expect("the program starts");
        // Blocks until the daemon opens the FIFO for reading.
        let settings = File::options().write(true).open(&settings);
        let settings = settings.expect("the FIFO opens");
        Daemon { child, settings, section, log }
    }

    /// Writes the settings and closes the FIFO.
    fn write_settings(&mut self) {
        let text = format!("{NODE}{}", self.section);
        self.settings
            .write_all(text.as_bytes())
            .expect("the daemon reads its settings");
        self.settings = File::open("/dev/null").expect("/dev/null opens");
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the daemon is a child process");
    }

    fn has_logged(&self, event: LogEvent) -> bool {
        let text = fs::read_to_string(&self.log).expect("the log is readable");
        text.contains(event.text())
    }

    fn wait_until_logged(&mut self, event: LogEvent) {
        let start = Instant::now();
        while !self.has_logged(event) {
            let status = self.child.try_wait().expect("the daemon is a child");
            assert_eq!(status, None, "daemon exited before {event:?}");
            assert!(
                start.elapsed() < TIMEOUT,
                "{event:?} was not logged in time"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for the daemon to exit. Returns its exit code, or `None` if a
    /// signal killed it.
    fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) =
                self.child.try_wait().expect("the daemon is a child")
            {
                return status.code();
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "the daemon did not exit in time"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The daemon may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn hang_up_during_start(test: &str, program: &str, section: &'static str) {
    let mut daemon = Daemon::start_reading(test, program, section);
    daemon.signal(Signal::SIGHUP);
    daemon.write_settings();
    daemon.wait_until_logged(LogEvent::Started);
    daemon.wait_until_logged(LogEvent::Reloaded);
    daemon.signal(Signal::SIGTERM);
    assert_eq!(daemon.wait_for_exit(), Some(0));
    assert!(daemon.has_logged(LogEvent::Stopped));
}

fn terminate_during_start(test: &str, program: &str, section: &'static str) {
    let mut daemon = Daemon::start_reading(test, program, section);
    daemon.signal(Signal::SIGTERM);
    daemon.write_settings();
    assert_eq!(daemon.wait_for_exit(), Some(0));
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
