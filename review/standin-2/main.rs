//! Stand-ins for the platform, the workers and the clients, and the cases of
//! the review that use them.
//!
//! `standin-2 CASE FOLDER` plays a case and writes `record.txt` into a folder;
//! it exits with 1 if a rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::{path::Path, process::ExitCode};

use crate::{record::Record, worker::Form};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["worker", address, id, log, form] = words[..] {
        let address = address.parse().expect("an address");
        let form = match form {
            "unframed" => Form::Unframed,
            _ => Form::Framed,
        };
        worker::run(address, id, log, form);
        return ExitCode::SUCCESS;
    }
    let [case, folder] = words[..] else { return ExitCode::from(2) };
    let record = Record::new(&Path::new(folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.show(&format!("case {case}, trouble: {has_trouble}"));
    let verdict = match case {
        "silent" => cases::silent::play(&record, has_trouble),
        "reborn" => cases::reborn::play(&record, has_trouble),
        "foreign" => cases::foreign::play(&record, has_trouble),
        "keys" => cases::keys::play(&record, has_trouble),
        _ => None,
    };
    match verdict {
        Some(true) => {
            record.show("the rule was broken");
            ExitCode::from(1)
        }
        Some(false) => {
            record.show("the rule held");
            ExitCode::SUCCESS
        }
        None => {
            record.show("the case could not run");
            ExitCode::from(2)
        }
    }
}
