//! All mistakes in a settings file are reported at once.

use std::path::Path;

use hg_settings::{
    ControlSettings, EntrySettings, SettingsError, SettingsFault, parse, reference_table,
};

const VALID_ENTRY: &str = r#"
name = "e1"
data_centre = "north-1"
http = "127.0.0.1:7080"
controls = ["127.0.0.1:7100"]
keys = "/etc/heathergrade"
"#;

fn faults(text: &str) -> Vec<SettingsFault> {
    match parse::<EntrySettings>(Path::new("e.toml"), text) {
        Err(SettingsError::Faulty { faults }) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

#[test]
fn parse_accepts_valid_entry_settings() {
    let settings: EntrySettings =
        parse(Path::new("e.toml"), VALID_ENTRY).expect("the settings are valid");
    assert_eq!(settings.limits.requests, 4_096, "omitted keys have their defaults");
}

#[test]
fn parse_reports_all_faults() {
    let text = "name = \"a b\"\nhttp = 5\ncolour = 1\n[limits]\nrequests = 0\nwaits = 1\n";
    let faults = faults(text);
    let seen: Vec<(usize, &str)> = faults.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert!(seen.contains(&(1, "name")), "{seen:?}");
    assert!(seen.contains(&(2, "http")), "{seen:?}");
    assert!(seen.contains(&(3, "colour")), "{seen:?}");
    assert!(seen.contains(&(5, "limits.requests")), "{seen:?}");
    assert!(seen.contains(&(6, "limits.waits")), "{seen:?}");
    for key in ["data_centre", "controls", "keys"] {
        assert!(seen.iter().any(|(_, k)| *k == key), "{key} is missing from {seen:?}");
    }
    assert_eq!(faults.len(), 8);
}

#[test]
fn parse_rejects_number_out_of_range() {
    for value in ["-1", "18446744073709551616", "1.5", "\"7\"", "0"] {
        let text = format!("{VALID_ENTRY}\n[limits]\nrequests = {value}\n");
        let faults = faults(&text);
        assert_eq!(faults.len(), 1, "{value}: {faults:?}");
    }
}

#[test]
fn parse_reports_line_of_malformed_toml() {
    let faults = faults("name = \"e1\"\nhttp = = 3\n");
    assert_eq!((faults.len(), faults[0].line), (1, 2));
}

#[test]
fn control_lease_must_be_below_election() {
    let text = r#"
host = "c1"
data_centre = "north-1"
listen = "127.0.0.1:7100"
http = "127.0.0.1:7101"
peers = ["127.0.0.1:7100"]
data = "/var/lib/heathergrade"
keys = "/etc/heathergrade"
[agreement]
election_ms = 500
lease_ms = 500
"#;
    let file = Path::new("c.toml");
    let settings: ControlSettings = parse(file, text).expect("each key by itself is valid");
    let error = settings.check(file).expect_err("the lease is too long");
    assert!(error.to_string().contains("agreement.lease_ms"), "{error}");
}

/// The page is generated from the descriptions of the keys: set `UPDATE_DOCS` to regenerate it.
#[test]
fn reference_matches_page() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let text = format!(
        "# Settings\n\nEach program reads one TOML file; `--check-settings` names all mistakes at once.\nThis page is \
         made from the tables of keys in `hg_settings`.\nOn the users' platform the values of `[server]` \
         follow from the host: [PLATFORM.md](PLATFORM.md), Limits on clients.\n\n{}\n{}",
        reference_table::<ControlSettings>(),
        reference_table::<EntrySettings>()
    );
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&page, &text).expect("the page can be written");
    }
    let written = std::fs::read_to_string(&page).expect("the page can be read");
    assert_eq!(written, text, "run this test with UPDATE_DOCS=1");
}
