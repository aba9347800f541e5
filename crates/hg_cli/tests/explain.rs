//! `heathergrade explain` on lines that were recorded on a busy day.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

const LOG: &str = include_str!("data/grown-day.log");
/// Its upstream was lost with it.
const LOST: &str = "719aa49380a842aa";
/// A gang that failed as often as it may.
const FAILED: &str = "d015e66ffd9a38b4";

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

fn told(job: &str, log: &str) -> eyre::Result<String> {
    let output = explain(job, log)?;
    assert!(output.status.success());
    Ok(String::from_utf8(output.stdout)?)
}

#[test]
fn explain_lost_run_names_the_silent_upstream() -> eyre::Result<()> {
    let story = told(LOST, LOG)?;
    assert!(story.contains("workflow.accepted"), "{story}");
    assert!(story.contains("run.lost"), "{story}");
    assert!(story.contains("order.failed"), "what its upstream left unanswered is shown: {story}");
    assert!(!story.contains(FAILED), "nothing of other jobs is shown");
    let verdict = story.lines().last().unwrap_or_default();
    assert!(verdict.starts_with("State: completed. Longest time without progress"), "{verdict}");
    Ok(())
}

#[test]
fn explain_failed_job_names_where_its_runs_failed() -> eyre::Result<()> {
    let story = told(FAILED, LOG)?;
    let verdict = story.lines().last().unwrap_or_default();
    assert!(verdict.starts_with("Failed: its runs failed on i-"), "{verdict}");
    Ok(())
}

#[test]
fn explain_puts_lines_of_many_processes_in_order() -> eyre::Result<()> {
    let mut shuffled: Vec<&str> = LOG.lines().collect();
    shuffled.reverse();
    // A line twice, one that is cut off, and one that is no log line.
    shuffled.push(shuffled[0]);
    shuffled.push(&shuffled[1][..40]);
    shuffled.push("Segmentation fault");
    assert_eq!(told(LOST, &shuffled.join("\n"))?, told(LOST, LOG)?);
    Ok(())
}

#[test]
fn explain_unknown_job_is_bad_input() -> eyre::Result<()> {
    assert_eq!(explain("0000000000000000", LOG)?.status.code(), Some(2));
    Ok(())
}

#[test]
fn explain_rejected_job_gives_the_reason() -> eyre::Result<()> {
    let line = r#"{"msg":"workflow: rejected","level":"INFO","ts":"2026-05-21T14:43:06.1Z","host":"c1",
        "reason":"the pool cannot hold all members of step 0 at once","job":"j-1","event":"workflow.rejected"}"#;
    let story = told("j-1", &line.replace('\n', " "))?;
    assert!(story.ends_with("Rejected: the pool cannot hold all members of step 0 at once.\n"));
    Ok(())
}
