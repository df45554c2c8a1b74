//! Stand-ins of the platform, of workers and of clients, and the cases that
//! are played with them on the project's own programs.
//!
//! `standin CASE RECORD FOLDER` plays a case, writes what happened to RECORD
//! and keeps its files in FOLDER. It exits with 1 if the rule was broken, with
//! 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.
//!
//! `standin worker ...` is a worker, as a case starts it.

mod callers;
mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod sha256;
mod store;
mod weights;
mod worker;

use std::{path::Path, process::ExitCode};

use cases::Verdict;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("worker") => run_worker(&arguments[1..]),
        Some(case) if arguments.len() == 3 => {
            let [_, record, folder] = &arguments[..] else {
                return ExitCode::from(2);
            };
            play(case, Path::new(record), Path::new(folder))
        }
        _ => {
            eprintln!("usage: standin CASE RECORD FOLDER");
            ExitCode::from(2)
        }
    }
}

fn run_worker(arguments: &[String]) -> ExitCode {
    let Some(options) = worker::Options::parse(arguments) else {
        return ExitCode::from(2);
    };
    match worker::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("worker: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, record: &Path, folder: &Path) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let played = match case {
        "twice" => cases::twice::play(&record, folder, has_trouble),
        "drain" => cases::drain::play(&record, folder, has_trouble),
        "recover" => cases::recover::play(&record, folder, has_trouble),
        "mixed" => cases::mixed::play(&record, folder, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (text, code) = match played {
        Ok(Verdict::Broken(why)) => (format!("BROKEN: {why}"), 1),
        Ok(Verdict::Held(why)) => (format!("held: {why}"), 0),
        Ok(Verdict::NotRun(why)) => (format!("could not run: {why}"), 2),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
