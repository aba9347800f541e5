//! An in-memory disk that survives restarts of the control process under test.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use hg_replica::Disk;

/// The content of a disk; clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    bytes: Arc<Mutex<Option<Vec<u8>>>>,
}

impl MemoryDisk {
    fn with<T>(&self, f: impl FnOnce(&mut Option<Vec<u8>>) -> T) -> T {
        f(&mut self.bytes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Disk for MemoryDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.with(|bytes| bytes.clone()))
    }

    fn append(&mut self, more: &[u8]) -> io::Result<()> {
        self.with(|bytes| bytes.get_or_insert_default().extend_from_slice(more));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, length: usize) -> io::Result<()> {
        self.with(|bytes| bytes.get_or_insert_default().truncate(length));
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.with(|old| *old = Some(bytes.to_vec()));
        Ok(())
    }
}
