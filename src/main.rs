//! The command line of gaugesill.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use gaugesill::duties::{read_report, QueryError};
use gaugesill::fleet_capacity::limit_capacities;
use gaugesill::settings::{OperatorSettings, Settings, SettingsError};
use thiserror::Error;
use tracing_subscriber::filter::LevelFilter;

/// A cluster scheduler that starts gangs all or nothing.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The platform's settings file (JSON)
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (TOML); every key has a default
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Only check the settings
    #[arg(long)]
    check: bool,
}

/// Queries to a running service.
#[derive(Subcommand)]
enum Command {
    /// Show who holds each duty, and the orders that are open
    Duties {
        /// The platform's settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Print the report as JSON
        #[arg(long)]
        json: bool,
    },
}

/// Errors that end the program with a failure status.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("LOG_LEVEL: not a level: {0}")]
    LogLevel(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] std::io::Error),
    #[error("duties: {0}")]
    Query(#[from] QueryError),
    #[error("duties: the report can't be written: {0}")]
    Report(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaugesill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), ProgramError> {
    if let Some(Command::Duties { config, json }) = &args.command {
        return show_duties(config, *json);
    }
    init_logging()?;
    let (settings, operator) = load_settings(&args)?;
    if args.check {
        print_check(&settings);
        return Ok(());
    }
    gaugesill::serve::serve(settings, operator)?;
    Ok(())
}

/// Prints the holder of each duty and the open orders.
fn show_duties(config: &Path, as_json: bool) -> Result<(), ProgramError> {
    let report = read_report(&Settings::load(config)?)?;
    if as_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Sets up logging to standard error, from which the platform collects the log.
fn init_logging() -> Result<(), ProgramError> {
    tracing_subscriber::fmt()
        .with_max_level(log_level()?)
        .with_writer(std::io::stderr)
        .with_target(false)
        .without_time()
        .with_ansi(false)
        .init();
    Ok(())
}

/// Reads the log level from the variable `LOG_LEVEL`; `info` if it is unset or empty.
fn log_level() -> Result<LevelFilter, ProgramError> {
    match std::env::var("LOG_LEVEL") {
        Err(_) => Ok(LevelFilter::INFO),
        Ok(level) if level.is_empty() => Ok(LevelFilter::INFO),
        Ok(level) => level.parse().map_err(|_| ProgramError::LogLevel(level)),
    }
}

/// Loads both settings files and checks them against each other.
fn load_settings(args: &Args) -> Result<(Settings, OperatorSettings), ProgramError> {
    // The argument parser requires the option unless there is a subcommand.
    let config = args.config.as_deref().unwrap_or(Path::new(""));
    let settings = Settings::load(config)?;
    let operator = match &args.operator {
        Some(file) => OperatorSettings::load(file)?,
        None => OperatorSettings::default(),
    };
    operator.check_against(&settings)?;
    Ok((settings, operator))
}

/// Prints the result of `--check`: the settings are valid, and for how many machines each resource
/// limit suffices.
fn print_check(settings: &Settings) {
    println!("settings are fine");
    for capacity in limit_capacities(&settings.cluster) {
        println!("{capacity}");
    }
}
