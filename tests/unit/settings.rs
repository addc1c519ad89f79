//! The validation of settings files.

use gaugesill::settings::{OperatorSettings, Settings};
use std::path::Path;

const VALID_SETTINGS: &str = r#"{"member":"w0","zone":"z","front":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081",
      "known":[],"endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"new":{"x":1},
      "cluster":{"workers":{"report_s":3,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,
      "cancel_s":66.0},"state":{"rps":100,"write_rps":25.0,"value_kb":16.0,"txn_ops":20},
      "cloud":{"rps":5.0,"list_lag_s":3.0},"limits":{"cpu_share":0.08,"ram_mb":200,"fd_limit":4000}}}"#;

/// Invalid settings of duties are rejected with the name of the field.
#[test]
fn invalid_settings_of_duties_are_rejected() {
    let platform: Settings = serde_json::from_str(VALID_SETTINGS).expect("settings");
    let check = |text: &str| {
        let text = format!("[duties]\n{text}");
        let operator =
            toml::from_str::<OperatorSettings>(&text).map_err(|error| error.to_string())?;
        let checked = operator.check_against(&platform);
        checked.map_err(|error| error.to_string())
    };
    assert_eq!(check(""), Ok(()));
    let deployed = include_str!("../../deploy/duties.toml");
    let deployed: OperatorSettings = toml::from_str(deployed).expect("settings");
    assert!(deployed.check_against(&platform).is_ok());
    assert_eq!(check("holders = { rent = \"w0\" }"), Ok(()));
    for (text, expected) in [
        ("lif_share = 0.2", "lif_share"),
        ("fence = \"none\"", "none"),
        ("holders = { sweep = \"w0\" }", "sweep"),
        (
            "holders = { rent = \"w9\" }",
            "duties.holders: rent: w9 is not a controller",
        ),
        ("life_share = 0", "duties.life_share"),
        ("life_share = 0.6", "duties.life_share"),
        (
            "life_share = 0.05",
            "duties.life_share: a lease of 1.80 s is shorter than a stall",
        ),
        ("life_share = nan", "duties.life_share"),
        ("cleaning_per_s = 0", "duties.cleaning_per_s"),
        ("cleaning_per_s = 11", "duties.cleaning_per_s"),
    ] {
        let error = check(text).expect_err(text);
        assert!(error.contains(expected), "{text}: {error}");
    }
    let mut short: Settings = platform.clone();
    short.cluster.workers.lease_s = 60.0;
    let duties = "[duties]\nlife_share = 0.5";
    let operator: OperatorSettings = toml::from_str(duties).expect("settings");
    short.cluster.workers.cancel_s = 59.0;
    let error = operator
        .check_against(&short)
        .expect_err("longer than cancel_s");
    assert!(error.to_string().contains("cancel_s"), "{error}");
    let mut small: Settings = platform;
    small.cluster.state.txn_ops = 2;
    let operator: OperatorSettings = toml::from_str("[duties]").expect("settings");
    let error = operator.check_against(&small).expect_err("too small");
    assert!(error.to_string().contains("txn_ops"), "{error}");
}

#[test]
fn invalid_settings_are_rejected() {
    let check = |text: &str| {
        serde_json::from_str::<Settings>(text)
            .map_err(|error| error.to_string())
            .and_then(|settings| settings.check().map_err(|error| error.to_string()))
    };
    assert_eq!(check(VALID_SETTINGS), Ok(()));
    for (original, replacement, field) in [
        ("\"lease_s\":36.0", "\"lease_s\":-1", "lease_s"),
        ("\"cancel_s\":66.0", "\"cancel_s\":20.0", "cancel_s"),
        ("\"txn_ops\":20", "\"txn_ops\":1", "txn_ops"),
        ("10.0.0.1:8080", "nowhere", "invalid socket address"),
        ("\"fd_limit\":4000", "\"fd_limit\":3", "fd_limit"),
    ] {
        let error = check(&VALID_SETTINGS.replace(original, replacement)).expect_err(replacement);
        assert!(error.contains(field), "{error}");
    }
    let error = Settings::load(Path::new("/nowhere.json")).expect_err("no such file");
    assert!(error.to_string().contains("/nowhere.json"));
    assert!(toml::from_str::<OperatorSettings>("idle_boots = 0.5").is_ok());
    let dir = std::env::temp_dir().join(format!("gaugesill-op-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("operator.toml");
    for (text, expected) in [
        ("idle_bots = 0.5", "unknown field `idle_bots`"),
        ("idle_boots = -1", "idle_boots: must be a number above 0"),
        (
            "[duties]\nfence = \"none\"",
            "line 2 (`fence = \"none\"`): unknown variant `none`",
        ),
        (
            "[duties]\nlife_share = \"x\"",
            "line 2 (`life_share = \"x\"`)",
        ),
    ] {
        std::fs::write(&file, text).expect("written");
        let error = OperatorSettings::load(&file).expect_err(text).to_string();
        assert!(
            error.contains(expected) && error.lines().count() == 1,
            "{error}"
        );
    }
    let _ = std::fs::remove_dir_all(&dir);
}
