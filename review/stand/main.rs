//! Stand-ins for the state service, the cloud, the workers and the users, with the cases of the
//! review. They follow the protocol's page. Standard library only.

mod campaign;
mod cases;
mod control;
mod store;
mod wire;
mod world;

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static SEED: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
static BEGAN: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<std::fs::File>> = OnceLock::new();

/// A random number from 0 to 1.
pub fn random() -> f64 {
    let mut x = SEED.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Writes a line to the record, with the time since the start in seconds.
pub fn log(line: String) {
    let at = BEGAN.get_or_init(Instant::now).elapsed().as_secs_f64();
    if let Some(record) = RECORD.get() {
        let _ = writeln!(record.lock().expect("lock"), "{at:8.3} {line}");
    }
}

/// Ends the case: it couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    log(format!("cannot run: {reason}"));
    eprintln!("cannot run: {reason}");
    std::process::exit(2);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    BEGAN.get_or_init(Instant::now);
    let name = args.get(1).map_or("", String::as_str);
    if let Some(path) = args.get(2) {
        let file = std::fs::File::create(path).expect("cannot write the record");
        let _ = RECORD.set(Mutex::new(file));
    }
    let seed = args.get(3).and_then(|s| s.parse::<u64>().ok());
    let own = || std::process::id().into();
    SEED.fetch_add(
        seed.unwrap_or_else(own).wrapping_mul(0x1234_5678_9abc_def1),
        Ordering::Relaxed,
    );
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match name {
        "campaign" => campaign::run(args.get(4).and_then(|s| s.parse().ok()).unwrap_or(110)),
        _ => cases::run(name, has_trouble),
    };
    std::process::exit(code);
}
