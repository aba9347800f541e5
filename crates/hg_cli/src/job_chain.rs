//! The latency objective of a job by its actual work: a multiple of the longest chain of steps, where each step counts
//! with its longest completed run, and a constant.

use std::collections::BTreeMap;

use crate::log_line::LogLine;

/// How the steps of a job depend on each other, and its queue's terms.
#[derive(Debug)]
pub(crate) struct JobChain {
    /// For each step the numbers of the earlier steps that it follows.
    after: Vec<Vec<usize>>,
    stretch: f64,
    base_s: f64,
}

impl JobChain {
    /// Reads them from the line about a job's acceptance; `None` if it lacks them or they are malformed.
    pub(crate) fn of(line: &LogLine) -> Option<Self> {
        let steps = line.text("after")?.split(';').enumerate().map(|(number, step)| {
            let earlier = step.split(',').filter(|text| !text.is_empty());
            let earlier = earlier.map(|text| text.parse().ok().filter(|after| *after < number));
            earlier.collect::<Option<Vec<usize>>>()
        });
        let seconds = |name| Some(line.number(name)? as f64 / 1_000.0);
        let (stretch, base_s) = (seconds("stretch_milli")?, seconds("objective_base_ms")?);
        Some(Self { after: steps.collect::<Option<_>>()?, stretch, base_s })
    }

    /// The objective in seconds, given completed runs with the task's number within the job (occurrence, step, index)
    /// and the run time in seconds; `None` if a step has no completed run.
    pub(crate) fn objective_s<'a>(
        &self,
        runs: impl Iterator<Item = (&'a str, f64)>,
    ) -> Option<f64> {
        let mut longest: BTreeMap<usize, f64> = BTreeMap::new();
        for (task, took) in runs {
            let Some(step) = task.split('.').nth(1).and_then(|step| step.parse().ok()) else {
                continue;
            };
            let known = longest.entry(step).or_default();
            *known = known.max(took);
        }
        let mut ends: Vec<f64> = Vec::with_capacity(self.after.len());
        for (step, after) in self.after.iter().enumerate() {
            let begin = after.iter().map(|earlier| ends[*earlier]).fold(0.0, f64::max);
            ends.push(begin + longest.get(&step)?);
        }
        let chain_s = ends.into_iter().fold(0.0, f64::max);
        Some(chain_s * self.stretch + self.base_s)
    }
}
