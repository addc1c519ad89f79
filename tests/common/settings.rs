//! Settings of controllers and submissions of users.

use ciborium::{cbor, Value};
use gaugesill::settings::Settings;

use super::controller_processes::CONTROLLERS;

/// The platform's limits and intervals that differ between tests.
#[derive(Clone, Debug)]
pub(crate) struct PlatformLimits {
    pub heartbeat_interval_ms: u64,
    pub store_rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub cpu_share: f64,
    pub fd_limit: usize,
}

impl Default for PlatformLimits {
    fn default() -> PlatformLimits {
        PlatformLimits {
            heartbeat_interval_ms: 3000,
            store_rps: 200.0,
            write_rps: 50.0,
            cloud_rps: 10.0,
            cpu_share: 0.1,
            fd_limit: 1000,
        }
    }
}

impl PlatformLimits {
    /// The limits of a deployment with thousands of machines.
    pub(crate) fn large() -> PlatformLimits {
        PlatformLimits {
            heartbeat_interval_ms: 8000,
            store_rps: 100.0,
            write_rps: 25.0,
            cloud_rps: 5.0,
            cpu_share: 0.08,
            fd_limit: 4000,
        }
    }
}

/// Settings of a controller with the default limits.
pub(crate) fn settings(member: usize, teams: &str) -> Settings {
    settings_with(member, teams, "", &PlatformLimits::default())
}

/// `announced`: announced future limits of the store, JSON that is appended to the current limits.
pub(crate) fn settings_with(
    member: usize,
    teams: &str,
    announced: &str,
    limits: &PlatformLimits,
) -> Settings {
    let others = (0..CONTROLLERS).filter(|other| *other != member);
    let known = others.map(|other| {
        let host = other + 1;
        format!(r#"{{"member":"c{other}","zone":"a","address":"10.0.0.{host}:81"}}"#)
    });
    let known: Vec<String> = known.collect();
    let PlatformLimits {
        store_rps,
        write_rps,
        cloud_rps,
        cpu_share,
        fd_limit,
        ..
    } = limits;
    let report_s = limits.heartbeat_interval_ms as f64 / 1000.0;
    let text = format!(
        r#"{{"member":"c{member}","zone":"a","front":"10.0.0.{host}:80","mesh_addr":"10.0.0.{host}:81",
        "known":[{}],"endpoints":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},"news_field":1,
        "cluster":{{"zones":["a","b"],"teams":[{teams}],
        "workers":{{"report_s":{report_s},"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":60.0}},
        "state":{{"rps":{store_rps},"write_rps":{write_rps},"value_kb":16.0,"txn_ops":20{announced}}},
        "cloud":{{"rps":{cloud_rps},"list_lag_s":1.0}},
        "limits":{{"cpu_share":{cpu_share},"ram_mb":200.0,"fd_limit":{fd_limit}}},"clock_off_ms":100.0}}}}"#,
        known.join(","),
        host = member + 1
    );
    let settings: Settings = serde_json::from_str(&text).expect("settings");
    settings.check().expect("valid settings");
    settings
}

/// A submission in the wire format. `shape`: `sweep` for an array, `group` for a gang.
pub(crate) fn submission(id: &str, shape: &str, tasks: u32, cpus: f64, priority: &str) -> Value {
    cbor!({
        "nameId" => id, "jobclass" => "c", "owner" => "t", "shape" => shape,
        "urgency" => priority, "pieces" => tasks, "cores" => cpus, "gpus" => 0.0,
        "memGb" => 1.0, "bundle" => "img", "imageGb" => 1.0, "flavors" => null,
        "hall" => null, "samePlace" => false, "scatter" => false, "loaner" => false,
        "expectedS" => 10.0, "snapshotEveryS" => 2.0, "snapshotS" => 1.0, "dueS" => null
    })
    .expect("a value")
}
