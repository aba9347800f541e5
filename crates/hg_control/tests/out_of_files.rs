//! Guards against a control host that ends because connections have taken all files that it may open, when its log is due to
//! be replaced by a snapshot.

use std::fs::File;
use std::io;

use hg_control::FileDisk;
use hg_replica::Disk as _;
use rustix::process::{Resource, getrlimit, setrlimit};

/// Number of files that the test process may open.
const FILES_MAX: u64 = 64;

/// Takes all files that the process may still open.
fn take_all_files() -> io::Result<Vec<File>> {
    let mut taken = Vec::new();
    loop {
        match File::open("/dev/null") {
            Ok(f) => taken.push(f),
            Err(error) if error.raw_os_error() == Some(rustix::io::Errno::MFILE.raw_os_error()) => {
                return Ok(taken);
            }
            Err(error) => return Err(error),
        }
    }
}

#[test]
fn log_is_replaced_while_the_process_is_out_of_files() -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = Some(FILES_MAX);
    setrlimit(Resource::Nofile, limit)?;
    let mut disk = FileDisk::new(folder.path())?;
    disk.replace(b"founded")?;
    disk.append(b", first")?;
    disk.sync()?;
    let mut taken = take_all_files()?;
    for number in 0..3 {
        disk.replace(format!("snapshot {number}").as_bytes())?;
        disk.append(b", entry")?;
        disk.sync()?;
        // Connections take whatever becomes free.
        taken.extend(take_all_files()?);
    }
    drop(taken);
    assert_eq!(disk.read()?.as_deref(), Some(&b"snapshot 2, entry"[..]));
    Ok(())
}
