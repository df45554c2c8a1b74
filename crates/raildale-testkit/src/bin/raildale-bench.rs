//! The benchmark and load simulation tool.

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
    control::{self, ControlPattern, Sizes},
    load::{self, LoadResult, Pattern},
};
use serde::Serialize;

/// Runs benchmarks on real raildale processes, and load simulations
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Roll out a version to many hosts under load
    #[bpaf(command)]
    Burst(#[bpaf(external(burst_args))] BurstArgs),
    /// Measure resource usage over the number of hosts and the request rate
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_args))] CapacityArgs),
    /// Replace every process in turn under load
    #[bpaf(command)]
    Rolling {
        /// Number of entry hosts
        #[bpaf(argument("N"), fallback(4), display_fallback)]
        entries: usize,
        /// Number of hosts with a model engine
        #[bpaf(argument("N"), fallback(6), display_fallback)]
        hosts: usize,
    },
    /// Change the settings concurrently as two operators
    #[bpaf(command)]
    Settings {
        /// Number of entry hosts
        #[bpaf(argument("N"), fallback(7), display_fallback)]
        entries: usize,
        /// Number of hosts with a model engine
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        hosts: usize,
        /// Number of rounds of a second
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        rounds: usize,
        /// Lose the platform's answer to one update in five
        lose_answers: bool,
        /// Restore the platform from an older copy midway
        restores: bool,
    },
    /// Simulate a load pattern in virtual time
    #[bpaf(command)]
    Load(#[bpaf(external(load_args))] LoadArgs),
    /// Simulate the messages between the hosts of a fleet in virtual time
    #[bpaf(command)]
    Fleet(#[bpaf(external(fleet_args))] FleetArgs),
    /// Write a page that compares two results of load patterns
    #[bpaf(command)]
    Compare {
        /// File to write the page to
        #[bpaf(argument("HTML"))]
        page: PathBuf,
        /// First result, as written by load --json
        #[bpaf(positional("A"))]
        first: PathBuf,
        /// Second result
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
    /// Number of hosts with a model engine
    #[bpaf(argument("N"), fallback(12), display_fallback)]
    hosts: usize,
    /// Size of the version in MiB
    #[bpaf(argument("MIB"), fallback(16), display_fallback)]
    model_mib: u64,
    /// What to optimise: time or origin-bytes
    #[bpaf(argument("WHAT"), fallback("origin-bytes".to_string()))]
    favour: String,
    /// Distribution scheme: swarm or origin
    #[bpaf(argument("SCHEME"), fallback("swarm".to_string()))]
    scheme: String,
    /// Number of entry hosts
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    entries: usize,
    /// Seed of weights and faults
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Rate of a host's link; by default one that this machine can carry
    #[bpaf(argument("KIB_PER_S"))]
    link_kib: Option<u64>,
    /// Lines added to [link] of each agent's settings file
    #[bpaf(argument("TOML"), fallback(String::new()))]
    link_extra: String,
    /// Faults: all, or some of kills,owner,stalls,corrupt,replace,outage
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
    /// Number of entry hosts
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    entries: usize,
    /// Number of hosts with a model engine; may be given several times
    #[bpaf(argument("N"))]
    hosts: Vec<usize>,
    /// Requests per second at the first size; may be given several times
    #[bpaf(argument("N"))]
    load: Vec<u64>,
    /// Duration of each measurement in seconds
    #[bpaf(argument("S"), fallback(6), display_fallback)]
    seconds: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct LoadArgs {
    /// Number of seeds to simulate, from 1 on
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Write every group of the last seed as comma-separated values
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// Write the last seed's result as JSON, for compare
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Write a page with a plot for each seed
    #[bpaf(argument("FILE"))]
    page: Option<PathBuf>,
    /// Load pattern
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

#[derive(Clone, Debug, Bpaf)]
struct FleetArgs {
    /// Numbers of entry hosts to simulate, separated by commas; by default
    /// that of the pattern
    #[bpaf(
        long("entry-hosts"),
        argument::<String>("N,N"),
        parse(|list| parse_counts(&list)),
        fallback(vec![])
    )]
    entry_hosts: Vec<usize>,
    /// Numbers of targets, one for each number of entry hosts; by default in
    /// proportion to them
    #[bpaf(
        argument::<String>("N,N"),
        parse(|list| parse_counts(&list)),
        fallback(vec![])
    )]
    targets: Vec<usize>,
    /// Seed of the simulation
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Write all figures as comma-separated values
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// Write a page with a plot
    #[bpaf(argument("FILE"))]
    page: Option<PathBuf>,
    /// Pattern of the fleet
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Parses numbers separated by commas.
fn parse_counts(list: &str) -> Result<Vec<usize>, std::num::ParseIntError> {
    list.split(',').map(|number| number.trim().parse()).collect()
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
        Args::Load(args) => exit_code(run_load(&args)),
        Args::Fleet(args) => exit_code(run_fleet(&args)),
        Args::Compare { page, first, second } => {
            exit_code(compare(&page, [&first, &second]))
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
            print_summary(report);
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

fn run_fleet(args: &FleetArgs) -> anyhow::Result<()> {
    let pattern = ControlPattern::read(&args.file)?;
    let mut results = Vec::new();
    for (entry_hosts, targets) in fleet_sizes(args, &pattern)? {
        let resized = pattern.with_size(entry_hosts, targets)?;
        results.push(control::simulate(&resized, args.seed));
    }
    let sizes = Sizes { results };
    print!("{sizes}");
    if let Some(path) = &args.csv {
        std::fs::write(path, sizes.csv())?;
    }
    if let Some(path) = &args.page {
        std::fs::write(path, control::page::page(&sizes))?;
    }
    Ok(())
}

/// Returns the numbers of entry hosts and targets to simulate.
fn fleet_sizes(
    args: &FleetArgs,
    pattern: &ControlPattern,
) -> anyhow::Result<Vec<(usize, usize)>> {
    let entry_hosts = match &args.entry_hosts[..] {
        [] => vec![pattern.entry_hosts],
        given => given.to_vec(),
    };
    if args.targets.is_empty() {
        let targets =
            |hosts: usize| hosts * pattern.targets / pattern.entry_hosts;
        return Ok(entry_hosts.iter().map(|n| (*n, targets(*n))).collect());
    }
    anyhow::ensure!(
        args.targets.len() == entry_hosts.len(),
        "1414 as many numbers of targets as of entry hosts are required"
    );
    Ok(entry_hosts.into_iter().zip(args.targets.clone()).collect())
}

fn compare(page: &Path, files: [&PathBuf; 2]) -> anyhow::Result<()> {
    let mut results: Vec<LoadResult> = Vec::new();
    for file in files {
        results.push(serde_json::from_slice(&std::fs::read(file)?)?);
    }
    std::fs::write(page, load::page::page(&results))?;
    Ok(())
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

/// Runs a benchmark. The exit code depends on `holds`, which checks what must
/// always be true, and not on the measured figures.
fn run<T>(
    benchmark: impl Future<Output = anyhow::Result<T>>,
    holds: impl FnOnce(&T) -> bool,
) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.into()),
    };
    match runtime.block_on(benchmark) {
        Ok(report) if holds(&report) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

fn this_program() -> PathBuf {
    std::env::current_exe().expect("the path of this executable is known")
}

fn print_json(report: &impl Serialize) {
    let json = serde_json::to_string(report);
    println!("{}", json.expect("a report can be serialized"));
}

/// Prints a summary to standard error.
fn print_summary(report: &BurstReport) {
    eprintln!(
        "{}/{} hosts serve the new version after {:.1} s: {:.2} times the \
         floor.\nThe origin sent {:.3} copies; each further data centre got \
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

/// Returns whether every host serves the new version and no rule was broken.
fn burst_holds(report: &BurstReport) -> bool {
    report.hosts_ready == report.hosts
        && report.partial_served == 0
        && tally_holds(&report.tally)
}

/// Returns whether no request got a wrong outcome.
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
