//! An in-memory disk that can lose unsynced data, be corrupted or be wiped.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use hg_replica::Disk;

/// The content of a disk.
#[derive(Debug, Default, Clone)]
pub struct Content {
    /// The durable file; `None` if there is none.
    pub synced: Option<Vec<u8>>,
    /// The bytes appended since the last sync.
    pub unsynced: Vec<u8>,
    /// Whether it has no room for more bytes.
    pub is_full: bool,
}

/// A shared handle to a disk, with which the world can damage it while its replica is down.
#[derive(Debug, Default, Clone)]
pub struct FakeDisk(pub Rc<RefCell<Content>>);

impl FakeDisk {
    /// Simulates a power loss: only the first `kept` of the unsynced bytes become durable.
    pub fn crash(&self, kept: usize) {
        let mut content = self.0.borrow_mut();
        let unsynced = std::mem::take(&mut content.unsynced);
        if let Some(synced) = &mut content.synced {
            synced.extend(unsynced.iter().take(kept));
        }
    }

    /// Makes the disk refuse all further bytes, or take them again.
    pub fn set_full(&self, is_full: bool) {
        self.0.borrow_mut().is_full = is_full;
    }

    /// Erases the disk.
    pub fn wipe(&self) {
        let mut content = self.0.borrow_mut();
        let is_full = content.is_full;
        *content = Content { is_full, ..Content::default() };
    }

    /// Flips a bit of the byte at `at`, modulo the file's length; returns whether there was a byte
    /// to change.
    pub fn flip_bit(&self, at: usize) -> bool {
        let mut content = self.0.borrow_mut();
        match &mut content.synced {
            Some(bytes) if !bytes.is_empty() => {
                let at = at % bytes.len();
                bytes[at] ^= 0x10;
                true
            }
            _ => false,
        }
    }
}

impl Disk for FakeDisk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().synced.clone())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        if content.is_full {
            // The last free bytes are written.
            content.unsynced.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        content.unsynced.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        let unsynced = std::mem::take(&mut content.unsynced);
        content.synced.get_or_insert_default().extend(unsynced);
        Ok(())
    }

    fn truncate(&mut self, length: usize) -> io::Result<()> {
        self.0.borrow_mut().synced.get_or_insert_default().truncate(length);
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        if content.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        (content.synced, content.unsynced) = (Some(bytes.to_vec()), Vec::new());
        Ok(())
    }
}
