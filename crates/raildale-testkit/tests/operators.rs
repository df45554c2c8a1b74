//! Exit codes of the operators' command against a running fleet, and the check
//! of a daemon's settings file.

use std::{io::Write, net::SocketAddr, path::Path, process::ExitCode};

use raildale::{
    cli::operator::{self, operator_args},
    config::{self, AgentFile},
};
use raildale_testkit::fleet::{BOOTSTRAP_KEY, Fleet, FleetConfig};

const SETTINGS: &str =
    "[organisations.club.models.commentary]\npool = \"x\"\n";

fn run(entry: SocketAddr, command: &[&str]) -> ExitCode {
    let entry = entry.to_string();
    let mut all = vec!["--entry", &entry, "--key", BOOTSTRAP_KEY];
    all.extend(command);
    let args =
        operator_args().run_inner(all.as_slice()).expect("valid arguments");
    operator::run(&args)
}

/// Writes a file and returns its path.
fn write_file(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    let mut file = std::fs::File::create(&path).expect("it is writable");
    file.write_all(text.as_bytes()).expect("it is writable");
    path.display().to_string()
}

fn is_exit_code(code: ExitCode, expected: ExitCode) -> bool {
    format!("{code:?}") == format!("{expected:?}")
}

#[test]
fn commands_end_with_their_exit_code() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let fleet = runtime
        .block_on(Fleet::start(FleetConfig::new(
            env!("CARGO_BIN_EXE_raildale-bench"),
            1,
            1,
        )))
        .expect("the fleet starts");
    let entry = fleet.http_addresses()[0];
    let valid = write_file(fleet.folder(), "tree.toml", SETTINGS);
    let invalid = write_file(fleet.folder(), "bad.toml", "[organisation.x]\n");
    // The entry host may still be starting, so the first change is retried
    // until it is accepted.
    let is_accepted = (0..200).any(|_| {
        std::thread::yield_now();
        is_exit_code(
            run(entry, &["settings", "apply", &valid]),
            ExitCode::SUCCESS,
        )
    });
    assert!(is_accepted);
    let accepted: &[&[&str]] = &[
        &["settings", "apply", "--dry-run", &valid],
        &["settings", "get"],
        &["settings", "history"],
        &["settings", "effective", "club/commentary"],
        &["hosts"],
        &["--json", "status"],
        &["versions", "list"],
    ];
    for command in accepted {
        assert!(
            is_exit_code(run(entry, command), ExitCode::SUCCESS),
            "{command:?}"
        );
    }
    let refused: &[&[&str]] = &[
        &["settings", "apply", &invalid],
        &["settings", "apply", "--expected", "0", &valid],
        &["settings", "effective", "club/nothing"],
        &["drain", "nobody"],
    ];
    for command in refused {
        assert!(
            is_exit_code(run(entry, command), ExitCode::FAILURE),
            "{command:?}"
        );
    }
}

#[test]
fn an_invalid_settings_file_is_refused_with_line_and_suggestion() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = "[node]\nname = \"a\"\ndata_center = \"x\"\n";
    let path = write_file(folder.path(), "agent.toml", text);
    let error = config::read::<AgentFile>(Path::new(&path)).unwrap_err();
    let message = error.to_string();
    assert!(message.starts_with("7000: "), "{message}");
    assert!(message.contains("line 3"), "{message}");
    assert!(message.contains("did you mean `data_centre`?"), "{message}");
}
