//! Runs `heathergrade explain` on log lines recorded under heavy load.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

const LOG: &str = include_str!("data/grown-day.log");
/// A job with a run that was lost because its upstream was lost.
const LOST_RUN_JOB: &str = "719aa49380a842aa";
/// A job with a gang that failed as often as is allowed.
const FAILED_JOB: &str = "d015e66ffd9a38b4";

fn explain(job: &str, log: &str) -> eyre::Result<Output> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_heathergrade"))
        .args(["explain", job])
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
