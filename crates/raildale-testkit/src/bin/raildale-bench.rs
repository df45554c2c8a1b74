//! The load and experiment tool.

use std::{
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use raildale::cli::daemon::{self, DaemonArgs};
use raildale_testkit::{
    bench::{
        burst::{self, BurstConfig, BurstReport},
        capacity::{self, CapacityConfig},
        faults::Fault,
        rolling::{self, RollingConfig},
        settings_race::{self, RaceConfig},
    },
    caller::Tally,
    load::{self, LoadResult, Pattern},
};
use serde::Serialize;

/// Runs experiments on real processes of raildale on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Spread a version to many hosts while requests flow
    #[bpaf(command)]
    Burst(#[bpaf(external(burst_args))] BurstArgs),
    /// Measure what processes cost, over hosts and over requests
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_args))] CapacityArgs),
    /// Replace every process in turn while requests flow
    #[bpaf(command)]
    Rolling {
        /// Entry hosts
        #[bpaf(argument("N"), fallback(4), display_fallback)]
        entries: usize,
        /// Hosts with a model engine
        #[bpaf(argument("N"), fallback(6), display_fallback)]
        hosts: usize,
    },
    /// Change the settings by two racing operators
    #[bpaf(command)]
    Settings {
        /// Entry hosts
        #[bpaf(argument("N"), fallback(7), display_fallback)]
        entries: usize,
        /// Hosts with a model engine
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        hosts: usize,
        /// Rounds of a second
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        rounds: usize,
        /// Lose the platform's answer to one update in five
        lose_answers: bool,
        /// The platform is restored from an older copy midway
        restores: bool,
    },
    /// Play a load pattern on the decisions, in virtual time
    #[bpaf(command)]
    Load(#[bpaf(external(load_args))] LoadArgs),
    /// Set two results of load patterns side by side
    #[bpaf(command)]
    Compare {
        /// Where the page goes
        #[bpaf(argument("HTML"))]
        page: PathBuf,
        /// A result, as load writes it with --json
        #[bpaf(positional("A"))]
        first: PathBuf,
        /// Another
        #[bpaf(positional("B"))]
        second: PathBuf,
    },
    #[bpaf(command("node-entry"), hide)]
    NodeEntry(#[bpaf(external(node_args))] DaemonArgs),
    #[bpaf(command("node-agent"), hide)]
    NodeAgent(#[bpaf(external(node_args))] DaemonArgs),
}

#[derive(Clone, Debug, Bpaf)]
struct BurstArgs {
    /// Hosts with a model engine
    #[bpaf(argument("N"), fallback(12), display_fallback)]
    hosts: usize,
    /// Size of the version
    #[bpaf(argument("MIB"), fallback(16), display_fallback)]
    model_mib: u64,
    /// time or origin-bytes
    #[bpaf(argument("WHAT"), fallback("origin-bytes".to_string()))]
    favour: String,
    /// How chunks are found: swarm or origin
    #[bpaf(argument("SCHEME"), fallback("swarm".to_string()))]
    scheme: String,
    /// Entry hosts
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    entries: usize,
    /// Seed of weights and faults
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// A host's link; one that suits this machine if absent
    #[bpaf(argument("KIB_PER_S"))]
    link_kib: Option<u64>,
    /// Lines added to [link] of each agent's settings file
    #[bpaf(argument("TOML"), fallback(String::new()))]
    link_extra: String,
    /// What goes wrong: all, or of kills,owner,stalls,corrupt,replace,outage
    #[bpaf(
        argument::<String>("LIST"),
        parse(|list| Fault::parse_list(&list)),
        fallback(vec![])
    )]
    faults: Vec<Fault>,
    /// Keep the processes' logs
    keep_logs: bool,
    /// Print one JSON object, and no progress
    json: bool,
}

#[derive(Clone, Debug, Bpaf)]
struct CapacityArgs {
    /// Entry hosts
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    entries: usize,
    /// Hosts with a model engine; may be given several times
    #[bpaf(argument("N"))]
    hosts: Vec<usize>,
    /// Requests a second at the first size; may be given several times
    #[bpaf(argument("N"))]
    load: Vec<u64>,
    /// How long each is measured
    #[bpaf(argument("S"), fallback(6), display_fallback)]
    seconds: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct LoadArgs {
    /// Seeds to play, from 1 on
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Write every group of the last seed as comma-separated values
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// Write the last seed's result, to compare
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Write a page with a plot for each seed
    #[bpaf(argument("FILE"))]
    page: Option<PathBuf>,
    /// The pattern
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

fn node_args() -> impl bpaf::Parser<DaemonArgs> {
    let settings = bpaf::long("settings").argument("FILE");
    bpaf::construct!(DaemonArgs { settings, check(bpaf::pure(false)) })
}

fn main() -> ExitCode {
    match args().run() {
        Args::NodeEntry(args) => daemon::entry(&args),
        Args::NodeAgent(args) => daemon::agent(&args),
        Args::Burst(args) => run_burst(args),
        Args::Capacity(args) => run_capacity(args),
        Args::Rolling { entries, hosts } => run_rolling(entries, hosts),
        Args::Load(args) => ended(run_load(&args)),
        Args::Compare { page, first, second } => {
            ended(compare(&page, [&first, &second]))
        }
        Args::Settings { entries, hosts, rounds, lose_answers, restores } => {
            run_settings(RaceConfig {
                program: this_program(),
                entries,
                hosts,
                rounds,
                lose_answers,
                restores,
            })
        }
    }
}

fn run_burst(args: BurstArgs) -> ExitCode {
    let config = BurstConfig {
        program: this_program(),
        hosts: args.hosts,
        model_bytes: args.model_mib << 20,
        favour: args.favour,
        scheme: args.scheme,
        seed: args.seed,
        entries: args.entries,
        data_centres: 3,
        link_bytes_per_s: args.link_kib.map(|kib| kib << 10),
        link_extra: args.link_extra,
        faults: args.faults,
        show: !args.json,
        keep_logs: args.keep_logs,
    };
    run(burst::run(&config), |report| {
        if !args.json {
            summary(report);
        }
        print_json(report);
        burst_holds(report)
    })
}

fn run_capacity(args: CapacityArgs) -> ExitCode {
    let config = CapacityConfig {
        program: this_program(),
        entries: args.entries,
        hosts: args.hosts,
        loads: args.load,
        seconds: args.seconds,
    };
    run(capacity::run(&config), |points| {
        points.iter().for_each(print_json);
        true
    })
}

fn run_rolling(entries: usize, hosts: usize) -> ExitCode {
    let config = RollingConfig { program: this_program(), entries, hosts };
    run(rolling::run(&config), |report| {
        print_json(report);
        report.stuck == 0 && tally_holds(&report.tally)
    })
}

fn run_settings(config: RaceConfig) -> ExitCode {
    run(settings_race::run(&config), |report| {
        print_json(report);
        report.reverted == 0
            && report.lost_updates == 0
            && report.doubled_writes == 0
    })
}

fn run_load(args: &LoadArgs) -> anyhow::Result<()> {
    let pattern = Pattern::read(&args.file)?;
    let seeds = 1..=args.seeds.max(1);
    let results: Vec<LoadResult> =
        seeds.map(|seed| load::simulate(&pattern, seed)).collect();
    for result in &results {
        println!("{result}");
    }
    let Some(last) = results.last() else { return Ok(()) };
    if let Some(path) = &args.csv {
        std::fs::write(path, last.csv())?;
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string(last)?)?;
    }
    if let Some(path) = &args.page {
        std::fs::write(path, load::page::page(&results))?;
    }
    Ok(())
}

fn compare(page: &Path, files: [&PathBuf; 2]) -> anyhow::Result<()> {
    let mut results: Vec<LoadResult> = Vec::new();
    for file in files {
        results.push(serde_json::from_slice(&std::fs::read(file)?)?);
    }
    std::fs::write(page, load::page::page(&results))?;
    Ok(())
}

fn ended(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Runs an experiment; what must always hold decides the exit code, figures
/// do not.
fn run<T>(
    experiment: impl Future<Output = anyhow::Result<T>>,
    holds: impl FnOnce(&T) -> bool,
) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.into()),
    };
    match runtime.block_on(experiment) {
        Ok(report) if holds(&report) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

fn this_program() -> PathBuf {
    std::env::current_exe().expect("this program has a path")
}

fn print_json(report: &impl Serialize) {
    let json = serde_json::to_string(report);
    println!("{}", json.expect("a report is plain data"));
}

fn summary(report: &BurstReport) {
    eprintln!(
        "{}/{} hosts serve the new version after {:.1} s: {:.2} times the \
         floor.\nThe origin gave {:.3} copies; each further data centre took \
         {:.3}.\n{} requests meanwhile: {} whole, {} refused as not run, {} \
         unknown, {} doubled, {} cut, {} crossed.",
        report.hosts_ready,
        report.hosts,
        report.time_to_n_ms / 1000.0,
        report.time_ratio,
        report.origin_copies,
        report.crossing_copies,
        report.tally.requests_sent,
        report.tally.requests_whole,
        report.tally.requests_not_run,
        report.tally.requests_unknown,
        report.tally.requests_doubled,
        report.tally.requests_cut,
        report.tally.requests_crossed,
    );
}

fn burst_holds(report: &BurstReport) -> bool {
    report.hosts_ready == report.hosts
        && report.partial_served == 0
        && tally_holds(&report.tally)
}

fn tally_holds(tally: &Tally) -> bool {
    tally.requests_doubled == 0
        && tally.requests_cut == 0
        && tally.requests_crossed == 0
        && tally.requests_not_run_lies == 0
}

fn fail(error: &anyhow::Error) -> ExitCode {
    eprintln!("{error:#}");
    ExitCode::from(2)
}
