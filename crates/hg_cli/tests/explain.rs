//! Runs `heathergrade explain` on log lines recorded under heavy load.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

const LOG: &str = include_str!("data/grown-day.log");
/// A job with a run that was lost because its upstream was lost.
const LOST_RUN_JOB: &str = "719aa49380a842aa";
/// A job with a gang that failed as often as is allowed.
const FAILED_JOB: &str = "d015e66ffd9a38b4";

fn explain(argument: &str, log: &str) -> eyre::Result<Output> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_heathergrade"))
        .args(["explain", argument])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    child.stdin.take().expect("it is piped").write_all(log.as_bytes())?;
    Ok(child.wait_with_output()?)
}

/// The output of a successful `explain`.
fn explain_output(job: &str, log: &str) -> eyre::Result<String> {
    let output = explain(job, log)?;
    assert!(output.status.success());
    Ok(String::from_utf8(output.stdout)?)
}

#[test]
fn explain_lost_run_shows_unanswered_orders_to_its_upstream() -> eyre::Result<()> {
    let history = explain_output(LOST_RUN_JOB, LOG)?;
    assert!(history.contains("workflow.accepted"), "{history}");
    assert!(history.contains("run.lost"), "{history}");
    assert!(
        history.contains("order.failed"),
        "orders that its upstream did not answer are shown: {history}"
    );
    assert!(!history.contains(FAILED_JOB), "nothing of other jobs is shown");
    let summary = history.lines().last().unwrap_or_default();
    assert!(summary.starts_with("State: completed. Longest time without progress"), "{summary}");
    Ok(())
}

#[test]
fn explain_failed_job_names_upstreams_of_failed_runs() -> eyre::Result<()> {
    let history = explain_output(FAILED_JOB, LOG)?;
    let summary = history.lines().last().unwrap_or_default();
    assert!(summary.starts_with("Failed: its runs failed on i-"), "{summary}");
    Ok(())
}

#[test]
fn explain_sorts_lines_and_ignores_duplicates_and_malformed_lines() -> eyre::Result<()> {
    let mut shuffled: Vec<&str> = LOG.lines().collect();
    shuffled.reverse();
    // A duplicate, a truncated line and one that is no log line.
    shuffled.push(shuffled[0]);
    shuffled.push(&shuffled[1][..40]);
    shuffled.push("Segmentation fault");
    assert_eq!(
        explain_output(LOST_RUN_JOB, &shuffled.join("\n"))?,
        explain_output(LOST_RUN_JOB, LOG)?
    );
    Ok(())
}

#[test]
fn explain_unknown_job_is_bad_input() -> eyre::Result<()> {
    assert_eq!(explain("0000000000000000", LOG)?.status.code(), Some(2));
    Ok(())
}

#[test]
fn explain_rejected_job_shows_the_reason() -> eyre::Result<()> {
    let line = r#"{"msg":"workflow: rejected","level":"INFO","ts":"2026-05-21T14:43:06.1Z","host":"c1",
        "reason":"the pool cannot hold all members of step 0 at once","job":"j-1","event":"workflow.rejected"}"#;
    let history = explain_output("j-1", &line.replace('\n', " "))?;
    assert!(history.ends_with("Rejected: the pool cannot hold all members of step 0 at once.\n"));
    Ok(())
}

/// A log line of a control host at second `at` of the hour, with fields as JSON.
fn line(at: f64, event: &str, fields: &str) -> String {
    format!(
        r#"{{"msg":"m","level":"INFO","ts":"2026-05-21T14:00:{at:06.3}Z","host":"c1",{fields},"event":"{event}"}}"#
    )
}

fn accepted(at: f64, job: &str) -> String {
    let fields = format!(
        r#""job":"{job}","priority":0,"account":"lindqvist","chain_ms":2000,"objective_ms":4000"#
    );
    line(at, "workflow.accepted", &fields)
}

fn of_task(at: f64, event: &str, task: &str, more: &str) -> String {
    line(at, event, &format!(r#""task":"{task}","run":1,"upstream":"u1"{more}"#))
}

/// One job in time, and one late: it waited 1 s for capacity and 0.5 s for stops, was preempted after 1 s, waited 0.25 s
/// and ran 2.5 s.
#[test]
fn explain_day_divides_the_time_of_late_jobs_by_cause() -> eyre::Result<()> {
    let log = [
        accepted(1.0, "a"),
        of_task(1.0, "run.placed", "a.0.0.0", ""),
        of_task(3.0, "run.ended", "a.0.0.0", r#","kind":"Done""#),
        line(3.0, "workflow.ended", r#""job":"a","state":"completed""#),
        accepted(10.0, "b"),
        of_task(
            11.0,
            "run.stop",
            "x.0.0.0",
            r#","reason":"room for an urgent step","for_step":"b.0.0""#,
        ),
        of_task(11.5, "run.placed", "b.0.0.0", ""),
        of_task(12.2, "run.stop", "b.0.0.0", r#","reason":"room for an urgent step""#),
        of_task(12.5, "run.ended", "b.0.0.0", r#","kind":"Stopped""#),
        of_task(12.75, "run.placed", "b.0.0.0", ""),
        of_task(15.25, "run.ended", "b.0.0.0", r#","kind":"Done""#),
        line(15.25, "workflow.ended", r#""job":"b","state":"completed""#),
        line(16.0, "workflow.rejected", r#""job":"c","reason":"fits nowhere""#),
    ];
    let report = explain_output("--day", &log.join("\n"))?;
    let expected = [
        "2 jobs accepted, 0 beginnings of leadership",
        "rejected      1: fits nowhere",
        "priority 0: 2 jobs: 1 in time, 1 late",
        "        2.0 s  38.1 %  main cause of    0 late jobs: runs, as long as estimated",
        "        1.2 s  23.8 %  main cause of    1 late jobs: waiting for capacity",
        "        1.0 s  19.0 %  main cause of    0 late jobs: runs thrown away: preempted",
        "        0.5 s   9.5 %  main cause of    0 late jobs: waiting for stops",
        "        0.5 s   9.5 %  main cause of    0 late jobs: runs, beyond the estimate",
        "   50 % of     2  lindqvist",
    ];
    for text in expected {
        assert!(report.contains(text), "{text:?} is missing in:\n{report}");
    }
    Ok(())
}

/// A job that ran 3 s and 4 s by estimates of 1 s each; its queue allows 1.5 times the work and 0.25 s.
fn job_with_long_runs(job: &str, ended_at: f64, more: &str) -> Vec<String> {
    let fields = format!(
        r#""job":"{job}","priority":0,"account":"lindqvist","chain_ms":2000,"objective_ms":3250{more}"#
    );
    let task = |step: u32| format!("{job}.0.{step}.0");
    vec![
        line(1.0, "workflow.accepted", &fields),
        of_task(1.0, "run.placed", &task(0), ""),
        of_task(4.0, "run.ended", &task(0), r#","kind":"Done""#),
        of_task(ended_at - 4.0, "run.placed", &task(1), ""),
        of_task(ended_at, "run.ended", &task(1), r#","kind":"Done""#),
        line(ended_at, "workflow.ended", &format!(r#""job":"{job}","state":"completed""#)),
    ]
}

/// Guards against an objective by the estimates, by which jobs are late that are in time for their callers.
#[test]
fn explain_day_judges_jobs_by_their_actual_chain_of_work() -> eyre::Result<()> {
    // The objective is 10.75 s, and 6.25 s if the steps do not depend on each other.
    let terms = r#","stretch_milli":1500,"objective_base_ms":250"#;
    let (chained, parallel) =
        (format!(r#"{terms},"after":";0""#), format!(r#"{terms},"after":";""#));
    let jobs =
        [("a", 11.7, &*chained), ("b", 11.8, &chained), ("c", 8.0, &parallel), ("d", 8.0, "")];
    let log: Vec<String> =
        jobs.into_iter().flat_map(|(job, end, more)| job_with_long_runs(job, end, more)).collect();
    let report = explain_output("--day", &log.join("\n"))?;
    assert!(report.contains("priority 0: 4 jobs: 1 in time, 3 late"), "{report}");
    let estimates_only: Vec<String> =
        ["a", "b"].into_iter().flat_map(|job| job_with_long_runs(job, 11.7, "")).collect();
    let report = explain_output("--day", &estimates_only.join("\n"))?;
    assert!(report.contains("priority 0: 2 jobs: 2 too late"), "{report}");
    Ok(())
}

#[test]
fn explain_names_the_upstreams_that_a_task_crashed() -> eyre::Result<()> {
    let log = [
        accepted(1.0, "a"),
        of_task(1.0, "run.placed", "a.0.0.0", ""),
        line(3.0, "upstream.crashed", r#""upstream":"u0","runs":"a.0.0.0:1@300ms""#),
        of_task(9.0, "task.given_up", "a.0.0.0", r#","upstreams":"u0 u1""#),
        line(9.0, "workflow.ended", r#""job":"a","state":"failed""#),
    ];
    let output = explain_output("a", &log.join("\n"))?;
    assert!(output.ends_with("Failed: a.0.0.0 crashed u0 u1.\n"), "{output}");
    Ok(())
}

#[test]
fn explain_day_of_empty_logs_says_that_nothing_was_accepted() -> eyre::Result<()> {
    assert!(explain_output("--day", "")?.starts_with("0 jobs accepted"));
    Ok(())
}

#[test]
fn explain_without_a_job_is_bad_input() -> eyre::Result<()> {
    let output = Command::new(env!("CARGO_BIN_EXE_heathergrade")).arg("explain").output()?;
    assert_eq!(output.status.code(), Some(2));
    Ok(())
}

/// Guards against a late job whose wait cannot be traced to the share of its account, and against the shares of
/// other accounts in its history.
#[test]
fn explain_shows_the_share_of_the_account_of_the_job() -> eyre::Result<()> {
    let line = |ts: u32, event: &str, fields: &str| {
        let ts = format!("2026-05-21T14:43:{ts:02}.0Z");
        format!(
            r#"{{"msg":"m","level":"INFO","ts":"{ts}","host":"c1","event":"{event}",{fields}}}"#
        )
    };
    let log = [
        line(6, "workflow.accepted", r#""job":"j-1","account":"large""#),
        line(7, "account.share", r#""account":"large","share":"3.25","waiting":80"#),
        line(8, "account.share", r#""account":"other","share":"9.50","waiting":2"#),
        line(9, "run.placed", r#""task":"j-1.0.0.0","run":1,"upstream":"u1""#),
        line(10, "workflow.ended", r#""job":"j-1","state":"completed""#),
    ];
    let history = explain_output("j-1", &log.join("\n"))?;
    assert!(history.contains("share=3.25") && !history.contains("share=9.50"), "{history}");
    assert!(history.contains("up to 3.25 times its fair share"), "{history}");
    Ok(())
}

/// Guards against a start on another upstream than best fit's that nothing explains.
#[test]
fn explain_names_contention_that_was_avoided() -> eyre::Result<()> {
    let line = |second: u32, event: &str, more: &str| {
        format!(r#"{{"ts":"2026-05-21T14:43:{second:02}.0Z","host":"c","event":"{event}",{more}}}"#)
    };
    let log = [
        line(1, "workflow.accepted", r#""job":"j7""#),
        line(
            2,
            "contention.avoided",
            r#""task":"j7.0.0.0","upstream":"u2","instead_of":"u1","aggressor":"image a","victim":"image b","factor":"1.82""#,
        ),
        line(2, "run.placed", r#""task":"j7.0.0.0","upstream":"u2","run":1"#),
        line(3, "workflow.ended", r#""job":"j7","state":"completed""#),
    ];
    let history = explain_output("j7", &log.join("\n"))?;
    let summary = history.lines().last().unwrap_or_default();
    assert!(summary.contains("1 starts, last from u1: image a slows image b by 1.82"), "{summary}");
    Ok(())
}
