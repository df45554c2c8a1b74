//! `raildale`: the command-line tool for operators.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use raildale_core::Code;
use serde_json::Value;

use crate::{
    error::{Error, ErrorKind},
    http_client::HttpClient,
    request_path::RequestPath,
    status::Status,
};

/// Time-out of a call to an entry host. A write takes several attempts if the
/// platform does not answer.
const TIMEOUT: Duration = Duration::from_secs(40);

/// The polling interval of `versions watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The number of characters of a progress bar.
const BAR_CELLS: usize = 30;

/// The path of the settings.
const SETTINGS_PATH: &str = "/admin/v1/settings";

/// Drives a raildale fleet through one of its entry hosts
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct OperatorArgs {
    /// Address of an entry host
    #[bpaf(long, env("RAILDALE_ENTRY"), argument("IP:PORT"))]
    entry: SocketAddr,
    /// The operator's key
    #[bpaf(long, env("RAILDALE_KEY"), argument("KEY"))]
    key: String,
    /// Print JSON
    json: bool,
    #[bpaf(external(command))]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// The settings tree
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Versions on their way
    #[bpaf(command)]
    Versions(#[bpaf(external(versions_command))] VersionsCommand),
    /// The hosts
    #[bpaf(command)]
    Hosts,
    /// Which revision is in force where
    #[bpaf(command)]
    Status,
    /// Tell an agent, or this entry host, to leave
    #[bpaf(command)]
    Drain {
        /// Name of the process
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
enum SettingsCommand {
    /// Replace the settings
    #[bpaf(command)]
    Apply {
        /// Show the difference only
        dry_run: bool,
        /// The revision that this change is based on
        #[bpaf(argument("REVISION"))]
        expected: Option<u64>,
        /// Why
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        reason: String,
        /// TOML file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the settings
    #[bpaf(command)]
    Get,
    /// Print the rules in force and where each comes from
    #[bpaf(command)]
    Effective {
        /// ORGANISATION/MODEL
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Print who changed what, and why
    #[bpaf(command)]
    History,
}

#[derive(Clone, Debug, Bpaf)]
enum VersionsCommand {
    /// Print how far each version is
    #[bpaf(command)]
    List,
    /// Show progress until every version on its way is whole
    #[bpaf(command)]
    Watch,
}

/// Runs the command and returns its exit code: 0 for success and 1 for an
/// error, which is printed with its code's number first.
pub fn run(args: &OperatorArgs) -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(execute(args)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn execute(args: &OperatorArgs) -> Result<String, Error> {
    let client = Client::new(args);
    match &args.command {
        Command::Settings(command) => settings(args, &client, command).await,
        Command::Versions(VersionsCommand::List) => {
            let status = client.status().await?;
            Ok(versions_table(&status))
        }
        Command::Versions(VersionsCommand::Watch) => watch(&client).await,
        Command::Hosts => {
            let status = client.status().await?;
            Ok(print(args, &status, hosts_table(&status)))
        }
        Command::Status => {
            let status = client.status().await?;
            Ok(print(args, &status, status_table(&status)))
        }
        Command::Drain { name } => {
            let path = RequestPath::new("/admin/v1/drain").with_segment(name);
            let value = client.call(Method::POST, &path, "").await?;
            Ok(value["text"].as_str().unwrap_or("").to_string())
        }
    }
}

async fn settings(
    args: &OperatorArgs,
    client: &Client,
    command: &SettingsCommand,
) -> Result<String, Error> {
    match command {
        SettingsCommand::Apply { dry_run, expected, reason, file } => {
            let text = std::fs::read_to_string(file)?;
            let mut path = RequestPath::new(SETTINGS_PATH)
                .with_query("dry_run", dry_run)
                .with_query("reason", reason);
            if let Some(revision) = expected {
                path = path.with_query("expected", revision);
            }
            let value = client.call(Method::PUT, &path, &text).await?;
            let difference = value["difference"].as_str().unwrap_or("");
            let revision = &value["revision"];
            Ok(print(args, &value, format!("{difference}revision {revision}")))
        }
        SettingsCommand::Get => {
            let path = RequestPath::new(SETTINGS_PATH);
            let value = client.call(Method::GET, &path, "").await?;
            let text = value["text"].as_str().unwrap_or("").to_string();
            Ok(print(args, &value, text))
        }
        SettingsCommand::Effective { model } => {
            let path = RequestPath::new("/admin/v1/effective")
                .with_query("model", model);
            let value = client.call(Method::GET, &path, "").await?;
            let text = rows(&value["rules"], &["rule", "value", "from"]);
            Ok(print(args, &value, text))
        }
        SettingsCommand::History => {
            let path = RequestPath::new("/admin/v1/history");
            let value = client.call(Method::GET, &path, "").await?;
            let columns = ["time_ms", "author", "reason", "operation"];
            let text = rows(&value["history"], &columns);
            Ok(print(args, &value, text))
        }
    }
}

async fn watch(client: &Client) -> Result<String, Error> {
    loop {
        let status = client.status().await?;
        println!("{}", versions_table(&status).trim_end());
        let is_whole = status
            .hosts
            .iter()
            .flat_map(|host| &host.progress)
            .all(|row| row.total > 0 && row.verified == row.total);
        if is_whole {
            return Ok("every version is whole".into());
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

struct Client {
    http: HttpClient,
    entry: SocketAddr,
    key: String,
}

impl Client {
    fn new(args: &OperatorArgs) -> Client {
        Client {
            http: HttpClient::new(None),
            entry: args.entry,
            key: args.key.clone(),
        }
    }

    async fn status(&self) -> Result<Status, Error> {
        let path = RequestPath::new("/admin/v1/status");
        let value = self.call(Method::GET, &path, "").await?;
        serde_json::from_value(value)
            .map_err(|error| Error::new(ErrorKind::Frame, error.to_string()))
    }

    async fn call(
        &self,
        method: Method,
        path: &RequestPath,
        body: &str,
    ) -> Result<Value, Error> {
        let no_answer = || {
            let detail = format!("{} does not answer", self.entry);
            Error::new(ErrorKind::Refused(Code::Unknown), detail)
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| {
                Error::new(ErrorKind::Config, error.to_string())
            })?;
        let exchange = async {
            let response =
                self.http.open(request).await.map_err(|_| no_answer())?;
            let is_success = response.status().is_success();
            let body = response.into_body().collect().await;
            let bytes = body.map_err(|_| no_answer())?.to_bytes();
            Ok((is_success, bytes))
        };
        let (is_success, bytes) = tokio::time::timeout(TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(no_answer()))?;
        let value: Value =
            serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        if is_success { Ok(value) } else { Err(refusal(&value)) }
    }
}

fn refusal(value: &Value) -> Error {
    let code = value["code"]
        .as_u64()
        .and_then(|number| Code::from_number(number as u32))
        .unwrap_or(Code::Unknown);
    let mut detail = code.text().to_string();
    for name in ["detail", "other_author", "other_difference"] {
        let text = value[name].as_str().unwrap_or("");
        if !text.is_empty() {
            detail.push_str(&format!("\n{name}: {text}"));
        }
    }
    Error::new(ErrorKind::Refused(code), detail)
}

fn print<T: serde::Serialize>(
    args: &OperatorArgs,
    value: &T,
    table: String,
) -> String {
    match args.json {
        true => serde_json::to_string_pretty(value).unwrap_or(table),
        false => table,
    }
}

fn rows(list: &Value, columns: &[&str]) -> String {
    let mut out = String::new();
    for row in list.as_array().into_iter().flatten() {
        let cells: Vec<String> = columns
            .iter()
            .map(|column| match &row[*column] {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            })
            .collect();
        out.push_str(&cells.join("\t"));
        out.push('\n');
    }
    out
}

fn hosts_table(status: &Status) -> String {
    let mut out =
        String::from("HOST\tDATA CENTRE\tPOOL\tLOAD\tSTATE\tSERVES\n");
    for host in &status.hosts {
        let state = if host.leaving { "leaving" } else { "live" };
        let served: Vec<String> = host
            .served
            .iter()
            .map(|(model, manifest)| format!("{model}@{:.12}", manifest))
            .collect();
        out.push_str(&format!(
            "{}\t{}\t{}\t{}/{}\t{state}\t{}\n",
            host.name,
            host.data_centre,
            host.pool,
            host.load,
            host.capacity,
            served.join(" ")
        ));
    }
    out
}

fn status_table(status: &Status) -> String {
    let all = status
        .entries
        .values()
        .chain(status.hosts.iter().map(|host| &host.revision));
    let behind = all.filter(|revision| **revision < status.revision).count();
    let mut out = format!(
        "{}: revision {} in force, {} processes behind\n",
        status.entry, status.revision, behind
    );
    for (name, revision) in &status.entries {
        out.push_str(&format!("{name}\t{revision}\n"));
    }
    for host in &status.hosts {
        out.push_str(&format!("{}\t{}\n", host.name, host.revision));
    }
    out
}

fn versions_table(status: &Status) -> String {
    let mut out = String::new();
    for host in &status.hosts {
        for row in &host.progress {
            let total = row.total.max(1) as usize;
            let full = BAR_CELLS * row.verified as usize / total;
            let bar = format!(
                "{}{}",
                "#".repeat(full),
                ".".repeat(BAR_CELLS - full.min(BAR_CELLS))
            );
            out.push_str(&format!(
                "{}\t{:.12}\t[{bar}]\t{}/{}\n",
                host.name, row.manifest, row.verified, row.total
            ));
        }
    }
    out
}
