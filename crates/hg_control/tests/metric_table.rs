//! The table of metrics matches its page and the names that the code records.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use hg_control::{METRICS, metrics_page};

/// The page is generated from the table: set `UPDATE_DOCS` to write it again.
#[test]
fn metrics_match_page() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let text = metrics_page();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&page, &text).expect("the page can be written");
    }
    let written = fs::read_to_string(&page).expect("the page exists");
    assert_eq!(written, text, "run this test with UPDATE_DOCS=1");
}

fn sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            sources(&path, files);
        } else if path.extension().is_some_and(|ext| ext == "rs") {
            files.push(path);
        }
    }
}

/// The table holds every name that the code records, and no other.
#[test]
fn metrics_match_code() {
    let mut files = Vec::new();
    // The server of the pages records its own.
    for folder in ["src", "../hg_http/src"] {
        sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut files);
    }
    let mut recorded = BTreeSet::new();
    for file in files.iter().filter(|file| !file.ends_with("metric.rs")) {
        let text = fs::read_to_string(file).expect("the file can be read");
        for part in text.split("metrics::").skip(1) {
            let Some((_, rest)) = part.split_once('"') else { continue };
            let name = rest.split('"').next().unwrap_or_default();
            if name.starts_with("hg_") || name.starts_with("heathergrade_") {
                recorded.insert(name.to_owned());
            }
        }
    }
    let table: BTreeSet<String> = METRICS.iter().map(|metric| metric.name.to_owned()).collect();
    assert_eq!(recorded, table);
}
