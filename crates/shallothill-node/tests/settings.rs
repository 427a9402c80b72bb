//! The settings file and the options of the binary.

mod support;

use std::fs;
use std::process::Command;

use serde_json::{Value, json};
use support::cluster;

fn settings() -> Value {
    let any = cluster::any_local_port();
    json!({
        "node": "n1", "region": "north", "data_centre": "north-1",
        "caller_address": any, "peer_address": any, "announce_address": any,
        "process": {"admin_address": any}, "regions": ["north"],
        "keepers": [{"id": 1, "region": "north", "data_centre": "north-1",
            "control_address": "127.0.0.1:1"}],
    })
}

fn check(settings: &Value) -> (bool, String) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("node.yaml");
    fs::write(&file, settings.to_string()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_shallothill-node"))
        .arg("--settings")
        .arg(&file)
        .arg("--check-settings")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), text)
}

/// Guards against invalid settings that are detected only after the node has started.
#[test]
fn checks_settings() {
    assert_eq!(check(&settings()), (true, String::new()));
    let faults = [
        ("surprise", json!(1), "surprise"),
        (
            "region",
            json!("south"),
            "`region` south is not in `regions`",
        ),
        ("keepers", json!([]), "`keepers` is empty"),
        (
            "peer_address",
            json!("0.0.0.0:1"),
            "`peer_address` has no host",
        ),
        ("bounds", json!({"streams": "x"}), "streams"),
    ];
    for (field, value, message) in faults {
        let mut faulty = settings();
        faulty[field] = value;

        let (valid, text) = check(&faulty);

        assert!(!valid, "{field}");
        assert!(text.contains(message), "{field}: {text}");
    }
}
