//! Load generator: submits jobs to entries and measures each from submission to its complete answer.
//!
//! With `--rate` (jobs per second) jobs have a fixed schedule, and latency counts from the scheduled time, so
//! that a slow answer does not hide the delay of the jobs after it. Without it the load is closed-loop: each
//! caller submits its next job as soon as it has a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use clap::{Arg, Command, value_parser};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Highest latency that the histogram distinguishes; higher ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

type Http = Client<HttpConnector, Full<Bytes>>;

/// Parameters and shared state of one load run.
#[derive(Debug)]
struct LoadRun {
    http: Http,
    entries: Vec<SocketAddr>,
    account: String,
    /// Prefix of job ids, which differs between runs.
    id_prefix: String,
    next_number: AtomicU64,
    started: Instant,
    ends: Instant,
    /// Jobs per second of all callers together; zero for a closed loop.
    rate: u64,
}

/// Results of one caller, or of all together.
#[derive(Debug)]
struct CallResults {
    /// Latency of answered jobs, in microseconds.
    latency_us: Histogram<u64>,
    answered: u64,
    /// Jobs refused with status 429.
    refused: u64,
    /// Jobs with any other response, or none.
    other: u64,
}

fn main() -> eyre::Result<()> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("heathergrade-load")
        .about("Submits jobs to entries and measures their latency")
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("account").long("account").required(true))
        .arg(number("callers", "8"))
        .arg(number("seconds", "10"))
        .arg(number("rate", "0"))
        .get_matches();
    let get = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let started = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let run = Arc::new(LoadRun {
            http: Client::builder(TokioExecutor::new()).build_http(),
            entries: matches.get_many("entry").into_iter().flatten().copied().collect(),
            account: matches.get_one::<String>("account").cloned().unwrap_or_default(),
            id_prefix: format!("load-{:x}", unix.as_millis()),
            next_number: AtomicU64::new(0),
            started,
            ends: started + Duration::from_secs(get("seconds")),
            rate: get("rate"),
        });
        let mut callers = JoinSet::new();
        for index in 0..get("callers") {
            callers.spawn(run_caller(Arc::clone(&run), usize::try_from(index)?));
        }
        let mut total = CallResults::new()?;
        while let Some(results) = callers.join_next().await {
            total.add(&results??)?;
        }
        total.print(run.started.elapsed());
        Ok(())
    })
}

/// Submits jobs one at a time until the run ends; under `--rate`, each not before its scheduled time.
async fn run_caller(run: Arc<LoadRun>, caller: usize) -> eyre::Result<CallResults> {
    let mut results = CallResults::new()?;
    loop {
        let number = run.next_number.fetch_add(1, Ordering::Relaxed);
        let mut scheduled_at = Instant::now();
        if let Some(micros) = (number * 1_000_000).checked_div(run.rate) {
            scheduled_at = run.started + Duration::from_micros(micros);
            sleep_until(scheduled_at).await;
        }
        if scheduled_at >= run.ends {
            return Ok(results);
        }
        let entry = run.entries[caller % run.entries.len()];
        let status = submit(&run, entry, number).await;
        let latency_us = u64::try_from(scheduled_at.elapsed().as_micros())?;
        match status {
            Ok(StatusCode::OK) => {
                results.answered += 1;
                results.latency_us.saturating_record(latency_us);
            }
            Ok(StatusCode::TOO_MANY_REQUESTS) => results.refused += 1,
            _ => results.other += 1,
        }
    }
}

/// Submits one job and reads the whole response; returns its status.
async fn submit(run: &LoadRun, entry: SocketAddr, number: u64) -> eyre::Result<StatusCode> {
    let body = json!({
        "id": format!("{}-{number}", run.id_prefix),
        "account": run.account,
        "kind": "quick-quote",
        "shape": { "tasks": 1, "per_task": { "processors": 1, "memory_mib": 64 } },
        "idempotent": true,
        "deadline_ms": 60_000,
        "body": "a quote",
        "wait_ms": 30_000,
    });
    let req = Request::post(format!("http://{entry}/v1/jobs"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = run.http.request(req).await?;
    let status = response.status();
    response.into_body().collect().await?;
    Ok(status)
}

impl CallResults {
    fn new() -> eyre::Result<Self> {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
        Ok(Self { latency_us, answered: 0, refused: 0, other: 0 })
    }

    fn add(&mut self, other: &Self) -> eyre::Result<()> {
        self.latency_us.add(&other.latency_us)?;
        self.answered += other.answered;
        self.refused += other.refused;
        self.other += other.other;
        Ok(())
    }

    fn print(&self, elapsed: Duration) {
        const US_PER_MS: f64 = 1_000.0;
        let quantile_ms = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / US_PER_MS;
        println!(
            "{} answered, {:.0} per second, {} refused, {} other; p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            self.answered,
            self.answered as f64 / elapsed.as_secs_f64(),
            self.refused,
            self.other,
            quantile_ms(0.5),
            quantile_ms(0.99),
            quantile_ms(1.0),
        );
    }
}
