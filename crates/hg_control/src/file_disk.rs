//! Storage of the replicated log in one file.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hg_replica::Disk;

/// How often, and after which pause, a file is created again while the process has too many files open.
const FILE_TRIES_MAX: usize = 40;
const FILE_RETRY_DELAY: Duration = Duration::from_millis(25);

/// One file in the data folder. Records are appended to it; a snapshot replaces it as a whole.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    file: PathBuf,
    writer: Option<File>,
}

impl FileDisk {
    /// Uses the log file in a data folder, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// The I/O error if the folder cannot be created.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let file = folder.join("log");
        Ok(Self { folder: folder.to_owned(), file, writer: None })
    }

    /// Renames a damaged log to `log.damaged`, so that it can be examined. Returns its new path.
    ///
    /// # Errors
    ///
    /// The I/O error of the rename or the sync of the folder.
    pub fn set_aside(&mut self) -> io::Result<PathBuf> {
        self.writer = None;
        let damaged = self.folder.join("log.damaged");
        fs::rename(&self.file, &damaged)?;
        File::open(&self.folder)?.sync_all()?;
        Ok(damaged)
    }

    fn writer(&mut self) -> io::Result<&mut File> {
        if self.writer.is_none() {
            self.writer = Some(OpenOptions::new().append(true).open(&self.file)?);
        }
        self.writer.as_mut().ok_or_else(|| io::Error::other("the file was just opened"))
    }
}

impl Disk for FileDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        match fs::read(&self.file) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer()?.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let started = Instant::now();
        self.writer()?.sync_data()?;
        metrics::histogram!("hg_control_sync_seconds").record(started.elapsed());
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let next = self.folder.join("log.next");
        let mut f = create_when_possible(&next)?;
        f.write_all(bytes)?;
        f.sync_all()?;
        fs::rename(&next, &self.file)?;
        File::open(&self.folder)?.sync_all()?;
        self.writer = None;
        Ok(())
    }
}

/// Creates a file; while the process has too many files open, it waits for some to be closed.
fn create_when_possible(file: &Path) -> io::Result<File> {
    for _ in 0..FILE_TRIES_MAX {
        match File::create(file) {
            Err(error) if is_out_of_files(&error) => std::thread::sleep(FILE_RETRY_DELAY),
            result => return result,
        }
    }
    File::create(file)
}

fn is_out_of_files(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(rustix::io::Errno::from_raw_os_error);
    matches!(errno, Some(rustix::io::Errno::MFILE | rustix::io::Errno::NFILE))
}
