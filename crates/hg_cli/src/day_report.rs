//! A report over all jobs in the logs of a period: how many ended in time, and where the time of the others went.
//!
//! The time of a late job is followed backwards from its end along the tasks that ended last: a run, what the task
//! waited for before it, an earlier run that was thrown away, and so on up to the job's acceptance.

use std::collections::BTreeMap;
use std::fmt;

use derive_more::Display;

use crate::job_chain::JobChain;
use crate::log_line::LogLine;

/// A job ended too late to be of value beyond this multiple of its latency objective.
const LATE_FACTOR: f64 = 3.0;
/// Length of a window in the plot over time, in seconds.
const WINDOW_S: f64 = 2.0;
/// Width of a full bar in the plot.
const BAR_WIDTH: f64 = 50.0;
/// How many accounts with the smallest share in time are listed.
const ACCOUNTS_MAX: usize = 8;

/// What a job's time went to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
enum Cause {
    /// Runs that completed, up to the estimate of their caller.
    #[display("runs, as long as estimated")]
    Run,
    /// What these runs took beyond the estimate.
    #[display("runs, beyond the estimate")]
    LongRun,
    /// No capacity was free, and nothing was stopped for the job.
    #[display("waiting for capacity")]
    Capacity,
    /// Other work was being stopped for the job.
    #[display("waiting for stops")]
    Stops,
    /// Runs that were preempted.
    #[display("runs thrown away: preempted")]
    Preempted,
    /// Runs that were stopped for another reason.
    #[display("runs thrown away: stopped")]
    Stopped,
    /// Runs that failed, or whose gang lost a member.
    #[display("runs thrown away: failed or broken")]
    Failed,
    /// Runs that were lost with their upstream, or never started there.
    #[display("runs thrown away: lost")]
    Lost,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
enum Verdict {
    #[display("in time")]
    InTime,
    #[display("late")]
    Late,
    #[display("too late")]
    TooLate,
    #[display("failed")]
    Failed,
    #[display("cancelled")]
    Cancelled,
    #[display("open")]
    Open,
}

#[derive(Debug)]
struct Run {
    placed_at: f64,
    ended: Option<RunEnd>,
    preempted: bool,
}

#[derive(Debug)]
struct RunEnd {
    at: f64,
    /// The kind of end as logged; `Lost` for a run that was lost.
    kind: String,
}

#[derive(Debug, Default)]
struct Job {
    accepted_at: f64,
    priority: u64,
    account: String,
    /// The latency objective by the caller's estimates.
    objective_s: f64,
    chain_s: f64,
    /// What the objective by the actual work derives from; `None` in logs of earlier versions.
    chain: Option<JobChain>,
    ended: Option<(f64, String)>,
    /// The runs of each task, in the order in which they were placed.
    tasks: BTreeMap<String, Vec<Run>>,
    /// When stops were first decided for a step, by the part of the step's id after the job's.
    stops_for: BTreeMap<String, Vec<f64>>,
}

/// The report.
#[derive(Debug, Default)]
pub(crate) struct DayReport {
    jobs: BTreeMap<String, Job>,
    rejected: BTreeMap<String, usize>,
    unanswered: BTreeMap<String, usize>,
    leader_changes: usize,
}

impl DayReport {
    /// Sums up log lines in any order.
    pub(crate) fn new(lines: &[LogLine]) -> Self {
        let mut in_order: Vec<&LogLine> = lines.iter().collect();
        in_order.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut report = Self::default();
        for line in in_order {
            report.add(line);
        }
        report
    }

    fn add(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "workflow.accepted" => self.add_accepted(line),
            "workflow.ended" => {
                if let Some(job) = line.text("job").and_then(|id| self.jobs.get_mut(id)) {
                    let state = line.text("state").unwrap_or_default().to_owned();
                    job.ended.get_or_insert((line.at, state));
                }
            }
            "workflow.rejected" => count(&mut self.rejected, line.text("reason")),
            "caller.unanswered" => count(&mut self.unanswered, line.text("cause")),
            "lead.begin" => self.leader_changes += 1,
            "run.placed" => {
                if let Some(runs) = self.runs_of(line) {
                    runs.push(Run { placed_at: line.at, ended: None, preempted: false });
                }
            }
            "run.ended" => self.end_run(line, line.text("kind").unwrap_or_default()),
            "run.lost" => self.end_run(line, "Lost"),
            "run.stop" => self.add_stop(line),
            _ => {}
        }
    }

    fn add_accepted(&mut self, line: &LogLine) {
        let Some(id) = line.text("job") else { return };
        let seconds = |name| line.number(name).unwrap_or(0) as f64 / 1_000.0;
        self.jobs.entry(id.to_owned()).or_insert_with(|| Job {
            accepted_at: line.at,
            priority: line.number("priority").unwrap_or(0),
            account: line.text("account").unwrap_or("none").to_owned(),
            objective_s: seconds("objective_ms"),
            chain_s: seconds("chain_ms"),
            chain: JobChain::of(line),
            ..Job::default()
        });
    }

    /// The runs of the task that a line is about.
    fn runs_of(&mut self, line: &LogLine) -> Option<&mut Vec<Run>> {
        let (job, task) = line.text("task")?.split_once('.')?;
        Some(self.jobs.get_mut(job)?.tasks.entry(task.to_owned()).or_default())
    }

    fn end_run(&mut self, line: &LogLine, kind: &str) {
        let run = self.runs_of(line).and_then(|runs| runs.last_mut());
        if let Some(run) = run.filter(|run| run.ended.is_none()) {
            run.ended = Some(RunEnd { at: line.at, kind: kind.to_owned() });
        }
    }

    fn add_stop(&mut self, line: &LogLine) {
        let is_preempted = line.text("reason") == Some("room for an urgent step");
        if let Some(run) = self.runs_of(line).and_then(|runs| runs.last_mut()) {
            run.preempted |= is_preempted;
        }
        let Some((job, step)) = line.text("for_step").and_then(|step| step.split_once('.')) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(job) {
            job.stops_for.entry(step.to_owned()).or_default().push(line.at);
        }
    }

    fn priorities(&self) -> Vec<u64> {
        let mut priorities: Vec<u64> = self.jobs.values().map(|job| job.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities
    }
}

fn count(counts: &mut BTreeMap<String, usize>, key: Option<&str>) {
    *counts.entry(key.unwrap_or("not logged").to_owned()).or_default() += 1;
}

impl Job {
    fn verdict(&self) -> Verdict {
        let Some((ended_at, state)) = &self.ended else { return Verdict::Open };
        match state.as_str() {
            "failed" => return Verdict::Failed,
            "cancelled" => return Verdict::Cancelled,
            _ => {}
        }
        let took = ended_at - self.accepted_at;
        let objective_s = self.actual_objective_s().unwrap_or(self.objective_s);
        if took <= objective_s {
            Verdict::InTime
        } else if took <= objective_s * LATE_FACTOR {
            Verdict::Late
        } else {
            Verdict::TooLate
        }
    }

    /// The latency objective by the longest chain of actual run times, as callers see it; `None` if not all of the
    /// chain is in the logs.
    fn actual_objective_s(&self) -> Option<f64> {
        let completed =
            self.tasks.iter().flat_map(|(task, runs)| runs.iter().map(move |r| (task, r)));
        self.chain.as_ref()?.objective_s(completed.filter_map(|(task, run)| {
            let end = run.ended.as_ref().filter(|end| end.kind == "Done")?;
            Some((task.as_str(), end.at - run.placed_at))
        }))
    }

    /// The seconds between acceptance and end, by cause.
    fn time_by_cause(&self) -> BTreeMap<Cause, f64> {
        let mut causes = BTreeMap::new();
        let Some((mut until, _)) = self.ended else { return causes };
        let mut add = |cause, seconds: f64| *causes.entry(cause).or_insert(0.0) += seconds.max(0.0);
        while let Some((task, run, end)) = self.last_run_before(until) {
            let took = (end.at - run.placed_at).max(0.0);
            // Between the end of a run and what follows it, only the log was written.
            add(Cause::Run, until - end.at);
            match end.kind.as_str() {
                "Done" => {
                    add(Cause::Run, took.min(self.chain_s));
                    add(Cause::LongRun, took - self.chain_s);
                }
                _ if run.preempted => add(Cause::Preempted, took),
                "Stopped" => add(Cause::Stopped, took),
                "Lost" | "Lapsed" => add(Cause::Lost, took),
                _ => add(Cause::Failed, took),
            }
            let waited_since = self.waited_since(run.placed_at);
            let step: &str = task.rsplit_once('.').map_or(task, |(step, _)| step);
            let stops = self.stops_for.get(step).into_iter().flatten();
            let stops_since = stops
                .filter(|at| (waited_since..=run.placed_at).contains(*at))
                .copied()
                .min_by(f64::total_cmp)
                .unwrap_or(run.placed_at);
            add(Cause::Capacity, stops_since - waited_since);
            add(Cause::Stops, run.placed_at - stops_since);
            until = waited_since;
        }
        causes
    }

    /// The run that ended last until `until`, with its task.
    fn last_run_before(&self, until: f64) -> Option<(&String, &Run, &RunEnd)> {
        let runs = self.tasks.iter().flat_map(|(task, runs)| runs.iter().map(move |r| (task, r)));
        let ended = runs.filter_map(|(task, run)| Some((task, run, run.ended.as_ref()?)));
        let before = ended.filter(|(_, run, end)| end.at <= until && run.placed_at < until);
        before.max_by(|a, b| a.2.at.total_cmp(&b.2.at))
    }

    /// When a run that was placed at `placed_at` began to wait: at the end of the run before it, or at the job's
    /// acceptance.
    fn waited_since(&self, placed_at: f64) -> f64 {
        self.last_run_before(placed_at).map_or(self.accepted_at, |(_, _, end)| end.at)
    }
}

impl fmt::Display for DayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} jobs accepted, {} beginnings of leadership",
            self.jobs.len(),
            self.leader_changes
        )?;
        for (reason, count) in &self.rejected {
            writeln!(f, "rejected {count:>6}: {reason}")?;
        }
        for (cause, count) in &self.unanswered {
            writeln!(f, "unanswered {count:>4}: {cause}")?;
        }
        for priority in self.priorities() {
            self.write_priority(f, priority)?;
        }
        self.write_accounts(f)?;
        self.write_plot(f)
    }
}

impl DayReport {
    fn write_priority(&self, f: &mut fmt::Formatter<'_>, priority: u64) -> fmt::Result {
        let jobs: Vec<&Job> = self.jobs.values().filter(|job| job.priority == priority).collect();
        let mut verdicts: BTreeMap<Verdict, usize> = BTreeMap::new();
        for job in &jobs {
            *verdicts.entry(job.verdict()).or_default() += 1;
        }
        let parts: Vec<String> =
            verdicts.iter().map(|(verdict, count)| format!("{count} {verdict}")).collect();
        writeln!(f, "\npriority {priority}: {} jobs: {}", jobs.len(), parts.join(", "))?;
        let late =
            jobs.iter().filter(|job| matches!(job.verdict(), Verdict::Late | Verdict::TooLate));
        let mut total = 0.0;
        let mut by_cause: BTreeMap<Cause, (f64, usize)> = BTreeMap::new();
        for job in late {
            let causes = job.time_by_cause();
            // The largest cause beside the work itself.
            let main = causes.iter().filter(|(cause, _)| **cause != Cause::Run);
            let main = main.max_by(|a, b| a.1.total_cmp(b.1)).map(|(cause, _)| *cause);
            for (cause, seconds) in causes {
                total += seconds;
                let (sum, mains) = by_cause.entry(cause).or_default();
                *sum += seconds;
                *mains += usize::from(main == Some(cause));
            }
        }
        let mut rows: Vec<_> = by_cause.into_iter().collect();
        rows.sort_by(|a, b| b.1.0.total_cmp(&a.1.0));
        for (cause, (seconds, mains)) in rows {
            let percent = 100.0 * seconds / total;
            writeln!(
                f,
                "  {seconds:>9.1} s {percent:>5.1} %  main cause of {mains:>4} late jobs: {cause}"
            )?;
        }
        Ok(())
    }

    /// The accounts with the smallest share of jobs in time.
    fn write_accounts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut accounts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.verdict() != Verdict::Cancelled) {
            let (in_time, all) = accounts.entry(&job.account).or_default();
            *in_time += usize::from(job.verdict() == Verdict::InTime);
            *all += 1;
        }
        let mut rows: Vec<_> = accounts.into_iter().collect();
        rows.sort_by(|a, b| share(a.1).total_cmp(&share(b.1)));
        writeln!(f, "\naccounts with the smallest share in time:")?;
        for (account, (in_time, all)) in rows.into_iter().take(ACCOUNTS_MAX) {
            writeln!(f, "  {:>3.0} % of {all:>5}  {account}", 100.0 * share((in_time, all)))?;
        }
        Ok(())
    }

    /// The share in time of the jobs accepted in each window.
    fn write_plot(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(begin) = self.jobs.values().map(|job| job.accepted_at).min_by(f64::total_cmp)
        else {
            return Ok(());
        };
        let mut windows: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.verdict() != Verdict::Cancelled) {
            let window = ((job.accepted_at - begin) / WINDOW_S) as u64;
            let (in_time, all) = windows.entry(window).or_default();
            *in_time += usize::from(job.verdict() == Verdict::InTime);
            *all += 1;
        }
        writeln!(f, "\nshare in time of the jobs accepted in each window of {WINDOW_S} s:")?;
        for (window, counts) in windows {
            let bar = "#".repeat((share(counts) * BAR_WIDTH).round() as usize);
            writeln!(f, "  {:>6.1} s {bar:<50} {:>4}", window as f64 * WINDOW_S, counts.1)?;
        }
        Ok(())
    }
}

fn share((part, all): (usize, usize)) -> f64 {
    part as f64 / all.max(1) as f64
}
