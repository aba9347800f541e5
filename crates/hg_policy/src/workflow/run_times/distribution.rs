//! The distribution of the ratio of run time to estimate, on a fixed logarithmic scale.

use hg_ledger::RatioCounts;

/// Buckets for each doubling of the ratio: each is 9 % wide, less than run times of equal tasks vary.
const PER_OCTAVE: f64 = 8.0;
/// The bucket whose centre is the ratio 1.
const BUCKET_OF_ONE: f64 = 32.0;
/// The scale covers ratios from 1/16 to 117; others count in its first or last bucket.
const BUCKETS: u8 = 88;
/// Runs assumed beside the counted ones when the density at a ratio is estimated, so that it is never zero.
const SMOOTHING_RUNS: f64 = 0.1;
/// Half the width of the window in which the density at a ratio is estimated, as a factor.
const DENSITY_WINDOW: f64 = 1.2;

/// The bucket of a ratio of run time to estimate.
pub(super) fn bucket_of(ratio: f64) -> u8 {
    let position = (ratio.max(f64::MIN_POSITIVE).log2() * PER_OCTAVE + BUCKET_OF_ONE).round();
    // The cast saturates, and the value is within the range of the type.
    position.clamp(0.0, f64::from(BUCKETS - 1)) as u8
}

/// The lower edge of a bucket; that of the next one is the upper edge.
fn lower_edge(bucket: f64) -> f64 {
    ((bucket - 0.5 - BUCKET_OF_ONE) / PER_OCTAVE).exp2()
}

/// One bucket with runs in it.
#[derive(Debug, Clone, Copy)]
struct Bin {
    lower: f64,
    upper: f64,
    /// The share of runs in earlier buckets, and the share in these and this one.
    before: f64,
    upto: f64,
}

/// A distribution of ratios, prepared for queries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Distribution {
    bins: Vec<Bin>,
    runs: f64,
}

impl Distribution {
    /// Prepares learned counts.
    pub(crate) fn new(counts: &RatioCounts) -> Self {
        let runs: f64 = counts.runs_by_bucket().map(|(_, runs)| runs).sum();
        let mut counted = 0.0;
        let bins = counts.runs_by_bucket().map(|(bucket, in_bucket)| {
            let (before, bucket) = (counted / runs, f64::from(bucket));
            counted += in_bucket;
            let (lower, upper) = (lower_edge(bucket), lower_edge(bucket + 1.0));
            Bin { lower, upper, before, upto: counted / runs }
        });
        Self { bins: bins.collect(), runs }
    }

    /// The number of runs that it stands for, after decay.
    pub(crate) const fn runs(&self) -> f64 {
        self.runs
    }

    /// The ratio that a share `p` of the runs does not exceed; 1 if there are no runs.
    pub(crate) fn quantile(&self, p: f64) -> f64 {
        let at = self.bins.partition_point(|bin| bin.upto < p);
        let Some(bin) = self.bins.get(at).or(self.bins.last()) else { return 1.0 };
        let within = ((p - bin.before) / (bin.upto - bin.before)).clamp(0.0, 1.0);
        bin.lower * (bin.upper / bin.lower).powf(within)
    }

    /// The share of the runs whose ratio is at most `ratio`.
    pub(crate) fn share_upto(&self, ratio: f64) -> f64 {
        let at = self.bins.partition_point(|bin| bin.upper <= ratio);
        let Some(bin) = self.bins.get(at) else { return 1.0 };
        if ratio <= bin.lower {
            return bin.before;
        }
        let within = (ratio / bin.lower).ln() / (bin.upper / bin.lower).ln();
        bin.before + (bin.upto - bin.before) * within
    }

    /// The share of the runs between two ratios.
    pub(crate) fn share_between(&self, from: f64, to: f64) -> f64 {
        (self.share_upto(to) - self.share_upto(from)).max(0.0)
    }

    /// The share of the runs whose ratio is close to `ratio`; never quite zero.
    pub(crate) fn share_near(&self, ratio: f64) -> f64 {
        let near = self.share_between(ratio / DENSITY_WINDOW, ratio * DENSITY_WINDOW);
        (near * self.runs + SMOOTHING_RUNS) / (self.runs + SMOOTHING_RUNS)
    }

    /// The width of the window of [`Self::share_near`], as the logarithm of a factor.
    pub(crate) fn near_width() -> f64 {
        2.0 * DENSITY_WINDOW.ln()
    }

    /// The ratio that a share `p` does not exceed of those runs whose ratio exceeds `elapsed`. Beyond the longest
    /// known run, what is left is assumed to be proportional to what has elapsed.
    pub(crate) fn quantile_beyond(&self, p: f64, elapsed: f64) -> f64 {
        let passed = self.share_upto(elapsed);
        if passed >= 1.0 {
            return elapsed * (1.0 + p);
        }
        self.quantile(passed + p * (1.0 - passed)).max(elapsed)
    }
}
