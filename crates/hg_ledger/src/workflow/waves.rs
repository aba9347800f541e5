//! The record of maintenance waves.

use std::collections::BTreeMap;

use hg_model::{HostName, Time, WaveNumber, WaveSpec, WaveState};
use serde::{Deserialize, Serialize};

/// Most waves that are remembered; the oldest completed ones go first.
const WAVES_MAX: usize = 1_000;

/// How far one host's upkeep is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UpkeepStage {
    /// Nothing was ordered.
    Waiting,
    /// It may have been ordered, so the host may be down.
    Ordered,
    /// It has begun.
    Begun,
    /// The host is back from it.
    Done,
    /// The host is not there any more.
    Gone,
}

impl UpkeepStage {
    /// Whether the host may be down for its upkeep.
    pub const fn may_be_down(self) -> bool {
        matches!(self, Self::Ordered | Self::Begun)
    }
}

/// One wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// What was asked for.
    pub spec: WaveSpec,
    /// Since when.
    pub started_at: Time,
    /// How far each host is.
    pub hosts: BTreeMap<HostName, UpkeepStage>,
}

impl Wave {
    fn new(spec: WaveSpec, started_at: Time) -> Self {
        let hosts = spec.hosts.iter().map(|host| (host.clone(), UpkeepStage::Waiting)).collect();
        Self { spec, started_at, hosts }
    }

    /// What operators are shown.
    pub fn state(&self) -> WaveState {
        let is_over = |stage: &UpkeepStage| matches!(stage, UpkeepStage::Done | UpkeepStage::Gone);
        if self.hosts.values().all(is_over) { WaveState::Completed } else { WaveState::Running }
    }

    /// How many hosts may be down for it.
    pub fn down(&self) -> usize {
        self.hosts.values().filter(|stage| stage.may_be_down()).count()
    }
}

/// All waves, by number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waves {
    waves: BTreeMap<WaveNumber, Wave>,
}

/// Queries.
impl Waves {
    /// A wave.
    pub fn get(&self, number: WaveNumber) -> Option<&Wave> {
        self.waves.get(&number)
    }

    /// The waves that are not completed.
    pub fn running(&self) -> impl Iterator<Item = &Wave> {
        self.waves.values().filter(|wave| wave.state() == WaveState::Running)
    }
}

/// Commands.
impl Waves {
    /// Takes a wave in, unless one of that number is known. Returns whether it is new.
    pub(crate) fn start(&mut self, spec: WaveSpec, at: Time) -> bool {
        if self.waves.contains_key(&spec.number) {
            return false;
        }
        self.waves.insert(spec.number, Wave::new(spec, at));
        if self.waves.len() > WAVES_MAX {
            let is_completed = |(number, wave): (&WaveNumber, &Wave)| {
                (wave.state() == WaveState::Completed).then_some(*number)
            };
            if let Some(oldest) = self.waves.iter().find_map(is_completed) {
                self.waves.remove(&oldest);
            }
        }
        true
    }

    /// Notes how far a host's upkeep is. A stage never goes back, except from ordered to waiting when the
    /// order turned out not to be carried out.
    pub(crate) fn note(&mut self, number: WaveNumber, host: &HostName, stage: UpkeepStage) {
        let stages = self.waves.get_mut(&number).map(|wave| &mut wave.hosts);
        let Some(known) = stages.and_then(|hosts| hosts.get_mut(host)) else { return };
        let is_undone = *known == UpkeepStage::Ordered && stage == UpkeepStage::Waiting;
        if stage > *known || is_undone {
            *known = stage;
        }
    }
}
