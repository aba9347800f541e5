//! Durable storage of a replica's log.

use std::io;

use derive_more::{Display, Error};

use crate::wal::{self, Damage, Record};
use crate::{Entry, HardState, ReplicaId, Snapshot, Write};

/// A single durable file, as [`Storage`] needs it.
pub trait Disk {
    /// Reads the whole file; `None` if there is none.
    ///
    /// # Errors
    ///
    /// The I/O error.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Appends bytes to the file; they are durable only after [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// The I/O error; the file must not be used afterwards.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    ///
    /// The I/O error; the file must not be used afterwards.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file off after `length` bytes, durably. Needs no room on the disk.
    ///
    /// # Errors
    ///
    /// The I/O error; the file must not be used afterwards.
    fn truncate(&mut self, length: usize) -> io::Result<()>;

    /// Replaces the whole file atomically and durably.
    ///
    /// # Errors
    ///
    /// The I/O error; the file then has either the old or the new content.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// The state of a replica as restored from its disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// The replica that the disk belongs to.
    pub id: ReplicaId,
    /// The election state.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An error in reading or writing the log.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// The disk reported an error.
    #[display("disk step {step}: {source}")]
    Disk {
        /// The operation that failed.
        step: &'static str,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of the log file is corrupted. The host must rejoin as a new incarnation.
    #[display("the log is damaged: {source}")]
    Damaged {
        /// The place and kind of the damage.
        source: Damage,
    },
}

impl StorageError {
    /// Whether the content is corrupted, as opposed to an I/O error.
    pub const fn is_damaged(&self) -> bool {
        matches!(self, Self::Damaged { .. })
    }
}

fn disk_error(step: &'static str) -> impl FnOnce(io::Error) -> StorageError {
    move |source| StorageError::Disk { step, source }
}

/// A replica's log on a [`Disk`], with a copy of its content in memory.
#[derive(Debug)]
pub struct Storage<D> {
    disk: D,
    state: Restored,
    unsynced: bool,
}

impl<D: Disk> Storage<D> {
    /// Initialises a disk with a replica's id and a first snapshot.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails.
    pub fn create(disk: D, id: ReplicaId, snapshot: Snapshot) -> Result<Self, StorageError> {
        let hard = HardState { term: snapshot.term, vote: None };
        let state = Restored { id, hard, snapshot, entries: Vec::new() };
        let mut storage = Self { disk, state, unsynced: false };
        storage.rewrite()?;
        Ok(storage)
    }

    /// Reads the log from a disk; `None` if the disk is empty.
    ///
    /// Cuts off a torn tail.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails or its content is corrupted.
    pub fn open(mut disk: D) -> Result<Option<Self>, StorageError> {
        let Some(bytes) = disk.read().map_err(disk_error("read"))? else { return Ok(None) };
        let decoded = wal::decode(&bytes).map_err(|source| StorageError::Damaged { source })?;
        let torn = decoded.complete_bytes < bytes.len();
        let Some(state) = replay(decoded.records)? else { return Ok(None) };
        if torn {
            // What a full disk has torn must not need room to be repaired.
            disk.truncate(decoded.complete_bytes).map_err(disk_error("truncate"))?;
        }
        Ok(Some(Self { disk, state, unsynced: false }))
    }

    /// The state that the disk holds.
    pub fn state(&self) -> Restored {
        self.state.clone()
    }

    /// Performs the writes and makes them durable.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails. The process must then end without sending any message.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let mut buf = Vec::new();
        let mut rewrite = false;
        for write in writes {
            rewrite |= matches!(write, Write::Snapshot(_));
            encode_write(write, &mut buf);
            self.apply_to_state(write);
        }
        if rewrite {
            return self.rewrite();
        }
        if !buf.is_empty() {
            self.disk.append(&buf).map_err(disk_error("append"))?;
            self.unsynced = true;
        }
        if self.unsynced {
            self.disk.sync().map_err(disk_error("sync"))?;
            self.unsynced = false;
        }
        Ok(())
    }

    fn apply_to_state(&mut self, write: &Write) {
        match write {
            Write::Hard(hard) => self.state.hard = hard.clone(),
            Write::Append(entries) => {
                for entry in entries {
                    insert_entry(&mut self.state.entries, entry.clone());
                }
            }
            Write::Snapshot(snapshot) => {
                replace_snapshot(&mut self.state, snapshot.clone());
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
        self.unsynced = false;
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

fn insert_entry(entries: &mut Vec<Entry>, entry: Entry) {
    let cut = entries.partition_point(|e| e.index < entry.index);
    entries.truncate(cut);
    entries.push(entry);
}

fn replace_snapshot(state: &mut Restored, snapshot: Snapshot) {
    let contains_entry =
        state.entries.iter().any(|e| e.index == snapshot.index && e.term == snapshot.term);
    if contains_entry {
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
            Record::Snapshot(snapshot) => replace_snapshot(&mut state, snapshot),
            Record::Entry(entry) => insert_entry(&mut state.entries, entry),
        }
    }
    Ok(Some(state))
}
