//! Views of the control state for callers and operators.

use hg_ledger::{EndedJob, EndedSource, Job};
use hg_link::{AnswerSource, ClusterView, JobView, ReplicaView, Reply, UpstreamView};
use hg_model::JobId;
use hg_policy::{HealthState, UpstreamRecord};
use hg_replica::Disk;

use crate::Core;

impl<D: Disk> Core<D> {
    /// The reply with a job's state, or that there is no such job.
    pub(crate) fn job_reply(&self, id: &JobId) -> Reply {
        if let Some(job) = self.ledger.job(id) {
            return Reply::Job(Box::new(self.job_view(job)));
        }
        match self.ledger.ended_job(id) {
            Some(job) => Reply::Job(Box::new(self.ended_view(id, job))),
            None => Reply::NoJob,
        }
    }

    fn job_view(&self, job: &Job) -> JobView {
        JobView {
            id: job.spec.id.clone(),
            account: job.spec.account.clone(),
            kind: job.spec.kind.clone(),
            state: job.state.name().to_owned(),
            home: Some(job.home.clone()),
            attempts: job.attempts,
            waits: self.scheduler.wait_reason(&job.spec.id).map(ToString::to_string),
            answer: None,
            source: None,
        }
    }

    fn ended_view(&self, id: &JobId, job: &EndedJob) -> JobView {
        JobView {
            id: id.clone(),
            account: job.account.clone(),
            kind: job.kind.clone(),
            state: "finished".to_owned(),
            home: None,
            attempts: job.attempts,
            waits: None,
            answer: Some(job.answer.clone()),
            source: job.source.as_ref().map(|source| self.answer_source(source)),
        }
    }

    fn answer_source(&self, source: &EndedSource) -> AnswerSource {
        let record = self.scheduler.pool().upstream(&source.upstream);
        let address = record.and_then(|record| record.spec.as_ref()).map(|spec| spec.address);
        AnswerSource { address, lease: source.lease.clone() }
    }

    /// The reply that lists the decisions about a job and what it waits for now.
    pub(crate) fn why_reply(&self, id: &JobId) -> Reply {
        let Some(job) = self.ledger.job(id) else {
            let Some(ended) = self.ledger.ended_job(id) else { return Reply::NoJob };
            let mut lines: Vec<String> = ended.notes.iter().map(ToString::to_string).collect();
            lines.push(format!("now: finished, {}", ended.answer));
            return Reply::Why(lines);
        };
        let mut lines: Vec<String> = job.notes.iter().map(ToString::to_string).collect();
        if let Some(reason) = self.scheduler.wait_reason(id) {
            lines.push(format!("now: {reason}"));
        } else if job.state.is_queued() {
            lines.push("now: waits for its body, whose entry was lost".to_owned());
        } else {
            lines.push(format!("now: {}", job.state.name()));
        }
        Reply::Why(lines)
    }

    /// Views of all upstreams whose specification is known.
    pub(crate) fn upstream_views(&self) -> Vec<UpstreamView> {
        let records = self.scheduler.pool().upstreams();
        records.filter_map(|(_, record)| self.upstream_view(record)).collect()
    }

    fn upstream_view(&self, record: &UpstreamRecord) -> Option<UpstreamView> {
        let spec = record.spec.clone()?;
        let state = if !record.reachable {
            "lost"
        } else if record.leaving {
            "leaving"
        } else if record.drained {
            "drained"
        } else if record.quarantined {
            "aside"
        } else {
            "open"
        };
        Some(UpstreamView {
            spec,
            state: state.to_owned(),
            used_accelerators: record.used.resources.accelerators,
            guaranteed_accelerators: record.guaranteed.resources.accelerators,
            jobs: record.jobs.iter().cloned().collect(),
        })
    }

    /// The state of the control group, as the leader shows it.
    pub(crate) fn cluster_view(&self) -> ClusterView {
        let status = self.replica.status();
        let replicas = status.configuration.peers.iter().map(|(id, peer)| ReplicaView {
            host: id.host.clone(),
            incarnation: id.incarnation,
            address: peer.address,
            voter: peer.voter,
        });
        let (jobs, finished) = self.ledger.job_counts();
        let waiting = self.scheduler.waiting_count();
        ClusterView {
            leader: status.id.host.clone(),
            term: status.term,
            last: status.last.0,
            commit: status.commit.0,
            log_entries: status.log_entries as u64,
            replicas: replicas.collect(),
            lists: self.ledger.version(),
            entries: self.entries.names().cloned().collect(),
            upstreams: self.scheduler.pool().len() as u64,
            waiting: waiting as u64,
            running: jobs.saturating_sub(waiting) as u64,
            finished: finished as u64,
            shortages: self.scheduler.shortages().iter().map(ToString::to_string).collect(),
        }
    }

    /// The number of upstreams in quarantine at `now`, for the metrics.
    pub(crate) fn quarantined_count(&self, now: hg_model::Time) -> usize {
        let quarantined = self.scheduler.quarantined(now);
        quarantined.iter().filter(|(_, state)| *state != HealthState::Good).count()
    }
}
