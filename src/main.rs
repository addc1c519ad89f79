//! The command line of gaugesill.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use gaugesill::settings::{OperatorSettings, Settings};
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

fn log_level() -> Result<LevelFilter, String> {
    match std::env::var("LOG_LEVEL") {
        Err(_) => Ok(LevelFilter::INFO),
        Ok(text) if text.is_empty() => Ok(LevelFilter::INFO),
        Ok(text) => text
            .parse()
            .map_err(|_| format!("LOG_LEVEL: not a level: {text}")),
    }
}

fn run() -> Result<(), String> {
    let args = Args::parse();
    tracing_subscriber::fmt()
        .with_max_level(log_level()?)
        .with_writer(std::io::stderr)
        .with_target(false)
        .without_time()
        .with_ansi(false)
        .init();
    let settings = Settings::load(&args.config).map_err(|e| e.to_string())?;
    let operator = match &args.operator {
        Some(file) => OperatorSettings::load(file).map_err(|e| e.to_string())?,
        None => OperatorSettings::default(),
    };
    if args.check {
        println!("settings are fine");
        return Ok(());
    }
    gaugesill::serve::serve(settings, operator).map_err(|e| format!("the event loop failed: {e}"))
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
