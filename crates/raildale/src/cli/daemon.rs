//! The command line of a daemon.

use std::{future::Future, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use serde::de::DeserializeOwned;

use crate::{
    agent_daemon,
    config::{self, AgentFile, EntryFile, NodeConfig},
    entry_daemon,
    error::Error,
    logs,
    signals::Signals,
};

/// The arguments of a daemon.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct DaemonArgs {
    /// The settings file, TOML
    #[bpaf(long, argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings file and exit
    pub check: bool,
}

/// The exit code for an invalid settings file.
const EXIT_CONFIG: u8 = 2;

/// Runs `raildale-entry`.
pub fn entry(args: &DaemonArgs) -> ExitCode {
    start(args, |file: &EntryFile| file.node.clone(), entry_daemon::run)
}

/// Runs `raildale-agent`.
pub fn agent(args: &DaemonArgs) -> ExitCode {
    start(args, |file: &AgentFile| file.node.clone(), agent_daemon::run)
}

fn start<T, F>(
    args: &DaemonArgs,
    node: impl Fn(&T) -> NodeConfig,
    run: impl FnOnce(T, Signals) -> F,
) -> ExitCode
where
    T: DeserializeOwned,
    F: Future<Output = Result<(), Error>>,
{
    // The handlers are installed first, so that no signal ends the process
    // during its start.
    let signals = match install_signal_handlers() {
        Ok(signals) => signals,
        Err(error) => return fail(&error, 1),
    };
    let file = match config::read::<T>(&args.settings) {
        Ok(file) => file,
        Err(error) => return fail(&error, EXIT_CONFIG),
    };
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let node = node(&file);
    let _log = match logs::start(&node.log) {
        Ok(handle) => handle,
        Err(error) => return fail(&error, EXIT_CONFIG),
    };
    let runtime = match runtime(node.threads) {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.into(), 1),
    };
    match runtime.block_on(run(file, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, 1),
    }
}

/// Installs the signal handlers in a temporary runtime, since the number of
/// threads of the main one is in the settings file, which is not read yet.
/// Handlers are process-wide, and signals that arrive before the main runtime
/// runs are kept.
fn install_signal_handlers() -> Result<Signals, Error> {
    let runtime = runtime(1)?;
    runtime.block_on(async { Signals::new() })
}

fn runtime(threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = match threads {
        0 | 1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    builder.worker_threads(threads.max(1)).enable_all().build()
}

fn fail(error: &Error, exit: u8) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(exit)
}
