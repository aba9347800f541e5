//! What the leader tells about the shares of the client accounts: log lines and gauges.

use std::collections::BTreeSet;

use hg_policy::AccountShare;
use slog::{Logger, info};

/// How the jobs without an account appear in log lines and labels; no account can have this name.
const COMMON_ACCOUNT: &str = "(none)";

fn label(share: &AccountShare) -> String {
    share.account.as_ref().map_or_else(|| COMMON_ACCOUNT.to_owned(), ToString::to_string)
}

/// Writes one line for each account that is beyond its fair share.
pub(super) fn log_beyond(log: &Logger, beyond: &[AccountShare]) {
    for share in beyond {
        info!(log, "workflow: account beyond its share"; "event" => "account.share",
            "account" => label(share), "share" => format!("{:.2}", share.share),
            "waiting" => share.waiting);
    }
}

/// The gauges of the accounts. Those of accounts that are gone, or of a leadership that ended, are set to zero.
#[derive(Debug, Default)]
pub(crate) struct ShareGauges {
    labels: BTreeSet<String>,
}

impl ShareGauges {
    /// Sets the gauges of all accounts that have a share or waiting tasks.
    pub(crate) fn set(&mut self, shares: &[AccountShare]) {
        let present: BTreeSet<String> = shares.iter().map(label).collect();
        for gone in self.labels.difference(&present) {
            set(gone, 0.0, 0);
        }
        for share in shares {
            set(&label(share), share.share, share.waiting);
        }
        self.labels = present;
    }
}

fn set(account: &str, share: f64, waiting: u32) {
    let label = || account.to_owned();
    metrics::gauge!("heathergrade_account_share", "account" => label()).set(share);
    metrics::gauge!("heathergrade_account_waiting", "account" => label()).set(f64::from(waiting));
}
