//! Settings files.

use gaugesill::settings::{OperatorSettings, Settings};
use std::path::Path;

#[test]
fn invalid_settings_are_refused() {
    let good = r#"{"member":"w0","zone":"z","front":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081",
      "known":[],"endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"new":{"x":1},
      "cluster":{"workers":{"report_s":3,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,
      "cancel_s":66.0},"state":{"rps":100,"write_rps":25.0,"value_kb":16.0,"txn_ops":20},
      "cloud":{"rps":5.0,"list_lag_s":3.0},"limits":{"cpu_share":0.08,"ram_mb":200,"fd_limit":4000}}}"#;
    let check = |text: &str| {
        serde_json::from_str::<Settings>(text)
            .map_err(|e| e.to_string())
            .and_then(|s| s.check().map_err(|e| e.to_string()))
    };
    assert_eq!(check(good), Ok(()));
    for (from, to, field) in [
        ("\"lease_s\":36.0", "\"lease_s\":-1", "lease_s"),
        ("\"cancel_s\":66.0", "\"cancel_s\":20.0", "cancel_s"),
        ("\"txn_ops\":20", "\"txn_ops\":1", "txn_ops"),
        ("10.0.0.1:8080", "nowhere", "invalid socket address"),
        ("\"fd_limit\":4000", "\"fd_limit\":3", "fd_limit"),
    ] {
        let e = check(&good.replace(from, to)).expect_err(to);
        assert!(e.contains(field), "{e}");
    }
    let e = Settings::load(Path::new("/nowhere.json")).expect_err("no such file");
    assert!(e.to_string().contains("/nowhere.json"));
    assert!(toml::from_str::<OperatorSettings>("idle_boots = 0.5").is_ok());
    let dir = std::env::temp_dir().join(format!("gaugesill-op-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("operator.toml");
    for (text, said) in [
        ("idle_bots = 0.5", "unknown field `idle_bots`"),
        ("idle_boots = -1", "idle_boots: must be a number above 0"),
    ] {
        std::fs::write(&file, text).expect("written");
        let e = OperatorSettings::load(&file).expect_err(text).to_string();
        assert!(e.contains(said) && e.lines().count() == 1, "{e}");
    }
    let _ = std::fs::remove_dir_all(&dir);
}
