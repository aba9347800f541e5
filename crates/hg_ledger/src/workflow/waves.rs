//! The state of maintenance waves.

use std::collections::BTreeMap;

use hg_model::{HostName, Time, WaveNumber, WaveSpec, WaveState};
use serde::{Deserialize, Serialize};

/// Most waves that are kept; beyond it, the completed wave with the lowest number is evicted.
const WAVES_MAX: usize = 1_000;

/// The stage of one host's upkeep, in the order in which stages follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum UpkeepStage {
    /// The upkeep was not ordered.
    Waiting,
    /// The upkeep may have been ordered, so the host may be down.
    Ordered,
    /// The upkeep has begun.
    Begun,
    /// The upkeep is over and the host is back.
    Done,
    /// The host does not exist any more.
    Gone,
}

impl UpkeepStage {
    /// Whether the host may be down for its upkeep.
    pub const fn may_be_down(self) -> bool {
        matches!(self, Self::Ordered | Self::Begun)
    }
}

/// One maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// What the operators asked for.
    pub spec: WaveSpec,
    /// When it was started.
    pub started_at: Time,
    /// The stage of each host.
    pub hosts: BTreeMap<HostName, UpkeepStage>,
}

impl Wave {
    fn new(spec: WaveSpec, started_at: Time) -> Self {
        let hosts = spec.hosts.iter().map(|host| (host.clone(), UpkeepStage::Waiting)).collect();
        Self { spec, started_at, hosts }
    }

    /// Its state as operators see it: completed once each host is done or gone.
    pub fn state(&self) -> WaveState {
        let is_over = |stage: &UpkeepStage| matches!(stage, UpkeepStage::Done | UpkeepStage::Gone);
        if self.hosts.values().all(is_over) { WaveState::Completed } else { WaveState::Running }
    }

    /// How many hosts may be down for it now.
    pub fn unavailable_count(&self) -> usize {
        self.hosts.values().filter(|stage| stage.may_be_down()).count()
    }
}

/// All known maintenance waves, by number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waves {
    waves: BTreeMap<WaveNumber, Wave>,
}

/// Queries.
impl Waves {
    /// A wave; `None` if the number is unknown.
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
    /// Adds a wave, unless one of that number is known. Returns whether it was added.
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

    /// Records the stage of a host's upkeep, and returns whether it has changed. A stage never goes back, except from ordered
    /// to waiting: earlier versions logged that for an order that was refused.
    pub(crate) fn record_stage(
        &mut self,
        number: WaveNumber,
        host: &HostName,
        stage: UpkeepStage,
    ) -> bool {
        let stages = self.waves.get_mut(&number).map(|wave| &mut wave.hosts);
        let Some(known) = stages.and_then(|hosts| hosts.get_mut(host)) else { return false };
        let is_order_reverted = *known == UpkeepStage::Ordered && stage == UpkeepStage::Waiting;
        let is_changed = stage > *known || is_order_reverted;
        if is_changed {
            *known = stage;
        }
        is_changed
    }
}
