//! The list of known failures that CI passes over.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use yare::parameterized;

/// The output of `cargo test -- --list`.
const TESTS: &str = "\
limits::a_limit_holds: test
a_limit_holds: test
a_limit_holds_again: test
stream::twice: test
twins: test
twins: test

5 tests, 0 benchmarks
";

fn known_red(list: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("list");
    std::fs::write(&path, list).expect("the list can be written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let mut child = Command::new("bash")
        .arg(script)
        .arg(&path)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("bash runs");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(TESTS.as_bytes()).expect("the script reads");
    drop(input);
    child.wait_with_output().expect("the script ends")
}

/// CI passed over every test whose name contained a listed one, and over all
/// tests if the list had an empty line.
#[parameterized(
    nothing = { "", "" },
    an_empty_line = { "\n", "" },
    a_name_within_others = { "a_limit_holds: seed 1\n", "a_limit_holds\n" },
    a_name_with_its_module = { "stream::twice: seed: 2", "stream::twice\n" },
    two_with_a_gap = {
        "stream::twice: x\n\n  \na_limit_holds_again: y\n",
        "stream::twice\na_limit_holds_again\n"
    },
)]
fn exactly_the_listed_tests_are_named(list: &str, names: &str) {
    let output = known_red(list);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(String::from_utf8_lossy(&output.stdout), names);
}

/// An entry that names no test, or more than one, is a mistake in the list.
#[parameterized(
    no_such_test = { "limit_holds: seed 1\n" },
    part_of_a_name = { "stream: seed 1\n" },
    two_tests = { "twins: seed 1\n" },
    no_name = { ": seed 1\n" },
    no_text = { "a_limit_holds\n" },
    a_wrong_line_after_a_right_one = { "a_limit_holds: x\nnone: y\n" },
)]
fn an_entry_without_exactly_one_test_fails(list: &str) {
    let output = known_red(list);
    assert!(!output.status.success(), "{output:?}");
}
