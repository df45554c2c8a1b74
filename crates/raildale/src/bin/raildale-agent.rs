//! The agent's daemon.

fn main() -> std::process::ExitCode {
    raildale::cli::daemon::agent(&raildale::cli::daemon::daemon_args().run())
}
