//! The log on a disk.

use std::io;

use derive_more::{Display, Error};

use crate::wal::{self, Damage, Record};
use crate::{Entry, HardState, ReplicaId, Snapshot, Write};

/// One durable file; the only thing a replica needs from a disk.
pub trait Disk {
    /// Reads the whole file; `None` if there is none.
    ///
    /// # Errors
    ///
    /// What the disk reports.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Adds bytes at the end; they last only after [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// What the disk reports; the file must then not be used any more.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything appended last.
    ///
    /// # Errors
    ///
    /// What the disk reports; the file must then not be used any more.
    fn sync(&mut self) -> io::Result<()>;

    /// Replaces the whole file in one durable step.
    ///
    /// # Errors
    ///
    /// What the disk reports; the old or the new file is there.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// What a disk held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// Whose disk it is.
    pub id: ReplicaId,
    /// The election state.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// The log could not be read or written.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// The disk failed.
    #[display("disk step {step}: {source}")]
    Disk {
        /// What was being done.
        step: &'static str,
        /// What the disk reported.
        source: io::Error,
    },
    /// The content changed on the disk. The replica must come back as a new incarnation.
    #[display("the log is damaged: {source}")]
    Damaged {
        /// Where and how.
        source: Damage,
    },
}

impl StorageError {
    /// Whether the content is damaged, as opposed to a failing disk.
    pub const fn is_damaged(&self) -> bool {
        matches!(self, Self::Damaged { .. })
    }
}

fn disk_error(step: &'static str) -> impl FnOnce(io::Error) -> StorageError {
    move |source| StorageError::Disk { step, source }
}

/// Writes a replica's log to a disk and reads it back.
#[derive(Debug)]
pub struct Storage<D> {
    disk: D,
    state: Restored,
    dirty: bool,
}

impl<D: Disk> Storage<D> {
    /// Starts an empty disk under a new identity, with a first snapshot.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails.
    pub fn create(disk: D, id: ReplicaId, snapshot: Snapshot) -> Result<Self, StorageError> {
        let hard = HardState { term: snapshot.term, vote: None };
        let state = Restored { id, hard, snapshot, entries: Vec::new() };
        let mut storage = Self { disk, state, dirty: false };
        storage.rewrite()?;
        Ok(storage)
    }

    /// Reads a disk back; `None` if it is empty.
    ///
    /// A torn tail is cut off.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails or its content is damaged.
    pub fn open(mut disk: D) -> Result<Option<Self>, StorageError> {
        let Some(bytes) = disk.read().map_err(disk_error("read"))? else { return Ok(None) };
        let decoded = wal::decode(&bytes).map_err(|source| StorageError::Damaged { source })?;
        let torn = decoded.whole_bytes < bytes.len();
        let Some(state) = replay(decoded.records)? else { return Ok(None) };
        let mut storage = Self { disk, state, dirty: false };
        if torn {
            storage.rewrite()?;
        }
        Ok(Some(storage))
    }

    /// What the disk held when it was opened.
    pub fn restored(&self) -> Restored {
        self.state.clone()
    }

    /// Carries out writes and makes them last.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails. Nothing may be sent then, and the process must end.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let mut buf = Vec::new();
        let mut rewrite = false;
        for write in writes {
            rewrite |= matches!(write, Write::Snapshot(_));
            encode_write(write, &mut buf);
            self.keep(write);
        }
        if rewrite {
            return self.rewrite();
        }
        if !buf.is_empty() {
            self.disk.append(&buf).map_err(disk_error("append"))?;
            self.dirty = true;
        }
        if self.dirty {
            self.disk.sync().map_err(disk_error("sync"))?;
            self.dirty = false;
        }
        Ok(())
    }

    fn keep(&mut self, write: &Write) {
        match write {
            Write::Hard(hard) => self.state.hard = hard.clone(),
            Write::Append(entries) => {
                for entry in entries {
                    keep_entry(&mut self.state.entries, entry.clone());
                }
            }
            Write::Snapshot(snapshot) => {
                keep_snapshot(&mut self.state, snapshot.clone());
            }
        }
    }

    fn rewrite(&mut self) -> Result<(), StorageError> {
        let mut buf = Vec::new();
        wal::encode(&Record::Identity(self.state.id.clone()), &mut buf);
        wal::encode(&Record::Snapshot(self.state.snapshot.clone()), &mut buf);
        wal::encode(&Record::Hard(self.state.hard.clone()), &mut buf);
        for entry in &self.state.entries {
            wal::encode(&Record::Entry(entry.clone()), &mut buf);
        }
        self.dirty = false;
        self.disk.replace(&buf).map_err(disk_error("replace"))
    }
}

fn encode_write(write: &Write, buf: &mut Vec<u8>) {
    match write {
        Write::Hard(hard) => wal::encode(&Record::Hard(hard.clone()), buf),
        Write::Append(entries) => {
            for entry in entries {
                wal::encode(&Record::Entry(entry.clone()), buf);
            }
        }
        Write::Snapshot(_) => {}
    }
}

fn keep_entry(entries: &mut Vec<Entry>, entry: Entry) {
    let cut = entries.partition_point(|e| e.index < entry.index);
    entries.truncate(cut);
    entries.push(entry);
}

fn keep_snapshot(state: &mut Restored, snapshot: Snapshot) {
    let agrees = state.entries.iter().any(|e| e.index == snapshot.index && e.term == snapshot.term);
    if agrees {
        state.entries.retain(|e| e.index > snapshot.index);
    } else {
        state.entries.clear();
    }
    state.snapshot = snapshot;
}

fn replay(records: Vec<Record>) -> Result<Option<Restored>, StorageError> {
    let mut records = records.into_iter();
    let id = match records.next() {
        None => return Ok(None),
        Some(Record::Identity(id)) => id,
        Some(_) => {
            let source = Damage { at: 0, what: "identity" };
            return Err(StorageError::Damaged { source });
        }
    };
    let (hard, snapshot) = (HardState::default(), Snapshot::default());
    let mut state = Restored { id, hard, snapshot, entries: Vec::new() };
    for record in records {
        match record {
            Record::Identity(id) => state.id = id,
            Record::Hard(hard) => state.hard = hard,
            Record::Snapshot(snapshot) => keep_snapshot(&mut state, snapshot),
            Record::Entry(entry) => keep_entry(&mut state.entries, entry),
        }
    }
    Ok(Some(state))
}
