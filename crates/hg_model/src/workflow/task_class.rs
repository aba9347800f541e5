//! Classes of tasks that are assumed to behave alike.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::StepSpec;
use crate::{ImageName, QueueName};

/// A class of tasks that are assumed to behave alike: those of one image, or, without an image,
/// those of one queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskClass {
    /// The tasks of an image.
    #[display("image {_0}")]
    Image(ImageName),
    /// The tasks of a queue whose steps name no image.
    #[display("queue {_0}")]
    Queue(QueueName),
}

impl TaskClass {
    /// The class of a step's tasks in a queue.
    pub fn of(step: &StepSpec, queue: &QueueName) -> Self {
        step.image.clone().map_or_else(|| Self::Queue(queue.clone()), Self::Image)
    }
}
