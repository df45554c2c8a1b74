//! The entry host's daemon.

fn main() -> std::process::ExitCode {
    raildale::cli::daemon::entry(&raildale::cli::daemon::daemon_args().run())
}
