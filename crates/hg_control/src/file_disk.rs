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
///
/// What replaces it is opened in advance, so that connections can't take the last files that the process may open.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    file: PathBuf,
    writer: Option<File>,
    /// The file that becomes the log when it is replaced, and the folder; `None` until the first write.
    reserve: Option<(File, File)>,
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
        Ok(Self { folder: folder.to_owned(), file, writer: None, reserve: None })
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
        if self.reserve.is_none() {
            // Without it, the next replacement opens what it needs.
            self.reserve = self.open_reserve().ok();
        }
        self.writer.as_mut().ok_or_else(|| io::Error::other("the file was just opened"))
    }

    /// The path of the file that becomes the log when it is replaced.
    fn next(&self) -> PathBuf {
        self.folder.join("log.next")
    }

    fn open_reserve(&self) -> io::Result<(File, File)> {
        let next = OpenOptions::new().append(true).create(true).open(self.next())?;
        Ok((next, File::open(&self.folder)?))
    }

    /// Tries again while the process has too many files open, since some may be closed.
    fn open_reserve_when_possible(&self) -> io::Result<(File, File)> {
        for _ in 0..FILE_TRIES_MAX {
            match self.open_reserve() {
                Err(error) if is_out_of_files(&error) => std::thread::sleep(FILE_RETRY_DELAY),
                result => return result,
            }
        }
        self.open_reserve()
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

    fn truncate(&mut self, length: usize) -> io::Result<()> {
        let f = OpenOptions::new().write(true).open(&self.file)?;
        f.set_len(u64::try_from(length).map_err(io::Error::other)?)?;
        f.sync_all()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (mut f, folder) = match self.reserve.take() {
            Some(reserve) => reserve,
            None => self.open_reserve_when_possible()?,
        };
        // An earlier process may have left content.
        f.set_len(0)?;
        f.write_all(bytes)?;
        f.sync_all()?;
        fs::rename(self.next(), &self.file)?;
        folder.sync_all()?;
        // The earlier log is closed here, and leaves its place for the next reserve.
        self.writer = Some(f);
        self.reserve = self.open_reserve().ok();
        Ok(())
    }
}

fn is_out_of_files(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(rustix::io::Errno::from_raw_os_error);
    matches!(errno, Some(rustix::io::Errno::MFILE | rustix::io::Errno::NFILE))
}
