//! A disk in memory that can lose its tail, its bytes or itself.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use hg_replica::Disk;

/// What is on a disk.
#[derive(Debug, Default, Clone)]
pub struct Content {
    /// What lasts.
    pub synced: Option<Vec<u8>>,
    /// What was appended after the last sync.
    pub unsynced: Vec<u8>,
}

/// A shared handle on a disk, so that the world can damage it while a replica is down.
#[derive(Debug, Default, Clone)]
pub struct FakeDisk(pub Rc<RefCell<Content>>);

impl FakeDisk {
    /// Loses power: of what was not synced, the first `kept` bytes last.
    pub fn crash(&self, kept: usize) {
        let mut content = self.0.borrow_mut();
        let unsynced = std::mem::take(&mut content.unsynced);
        if let Some(synced) = &mut content.synced {
            synced.extend(unsynced.iter().take(kept));
        }
    }

    /// Loses everything.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Content::default();
    }

    /// Flips a bit. Returns whether there was one.
    pub fn flip(&self, at: usize) -> bool {
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
        self.0.borrow_mut().unsynced.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        let unsynced = std::mem::take(&mut content.unsynced);
        content.synced.get_or_insert_default().extend(unsynced);
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        *self.0.borrow_mut() = Content { synced: Some(bytes.to_vec()), unsynced: Vec::new() };
        Ok(())
    }
}
