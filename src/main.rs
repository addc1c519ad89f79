//! The command line of gaugesill.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use gaugesill::fleet_capacity::grant_capacities;
use gaugesill::settings::{OperatorSettings, Settings, SettingsError};
use thiserror::Error;
use tracing_subscriber::filter::LevelFilter;

/// A cluster scheduler that starts gangs all or nothing.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The platform's settings file (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (TOML); every key has a default
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Only check the settings
    #[arg(long)]
    check: bool,
}

/// Why the program ends.
#[derive(Debug, Error)]
enum StartError {
    #[error("LOG_LEVEL: not a level: {0}")]
    LogLevel(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] std::io::Error),
}

fn log_level() -> Result<LevelFilter, StartError> {
    match std::env::var("LOG_LEVEL") {
        Err(_) => Ok(LevelFilter::INFO),
        Ok(text) if text.is_empty() => Ok(LevelFilter::INFO),
        Ok(text) => text.parse().map_err(|_| StartError::LogLevel(text)),
    }
}

fn run() -> Result<(), StartError> {
    let args = Args::parse();
    tracing_subscriber::fmt()
        .with_max_level(log_level()?)
        .with_writer(std::io::stderr)
        .with_target(false)
        .without_time()
        .with_ansi(false)
        .init();
    let settings = Settings::load(&args.config)?;
    let operator = match &args.operator {
        Some(file) => OperatorSettings::load(file)?,
        None => OperatorSettings::default(),
    };
    if args.check {
        println!("settings are fine");
        for capacity in grant_capacities(&settings.cluster) {
            println!("{capacity}");
        }
        return Ok(());
    }
    gaugesill::serve::serve(settings, operator)?;
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("gaugesill: {e}");
            ExitCode::FAILURE
        }
    }
}
