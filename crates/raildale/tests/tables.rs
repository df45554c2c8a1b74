//! The tables in `docs/` equal the enums in the program.

use raildale_core::{Code, LogEvent};

fn read(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page is readable")
}

fn rows(page: &str) -> Vec<&str> {
    page.lines().filter(|line| line.starts_with("| ")).skip(2).collect()
}

#[test]
fn codes_page_equals_the_enum() {
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | {code:?} | {} | {} | {} |",
                code.number(),
                code.http_status(),
                code.ran().as_str(),
                code.text()
            )
        })
        .collect();
    assert_eq!(rows(&read("CODES.md")), expected);
}

#[test]
fn events_page_equals_the_enum() {
    let expected: Vec<String> = LogEvent::ALL
        .iter()
        .map(|event| {
            format!(
                "| {} | {event:?} | {:?} | {} |",
                event.number(),
                event.level(),
                event.text()
            )
        })
        .collect();
    assert_eq!(rows(&read("EVENTS.md")), expected);
}
