//! The log file on a real disk.

use std::fs::{self, OpenOptions};
use std::io::Write as _;

use hg_control::FileDisk;
use hg_model::HostName;
use hg_replica::{HardState, ReplicaId, Snapshot, Storage, Write};

/// Guards against a torn log that is repaired by a copy, for which a full disk has no room.
#[test]
fn open_torn_log_cuts_it_off_in_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = || FileDisk::new(folder.path()).expect("the folder exists");
    let id = ReplicaId { host: HostName::new("c1").expect("a valid name"), incarnation: 1 };
    let mut storage = Storage::create(disk(), id, Snapshot::default()).expect("a log");
    storage.write(&[Write::Hard(HardState::default())]).expect("room");
    let before = storage.state();
    drop(storage);
    let file = folder.path().join("log");
    let complete = fs::read(&file).expect("a log");
    // The beginning of a record.
    let torn = &complete[..10];
    let mut f = OpenOptions::new().append(true).open(&file).expect("a log");
    f.write_all(torn).expect("room");
    fs::remove_file(folder.path().join("log.next")).expect("a reserve");

    let storage = Storage::open(disk()).expect("it can be repaired").expect("a log");
    assert_eq!(storage.state(), before);
    assert_eq!(fs::read(&file).expect("a log"), complete);
    assert!(!folder.path().join("log.next").exists(), "nothing was copied");
}
