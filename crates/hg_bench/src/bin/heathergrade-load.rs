//! Sends jobs to entries and times each from submit to whole answer.
//!
//! With `--rate` jobs are sent on a fixed schedule and timed from their scheduled moment, so that a slow
//! answer does not hide the ones behind it. Without it, each caller sends its next job at once.

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

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

type Http = Client<HttpConnector, Full<Bytes>>;

/// What one run is.
#[derive(Debug)]
struct Run {
    http: Http,
    entries: Vec<SocketAddr>,
    account: String,
    prefix: String,
    next: AtomicU64,
    started: Instant,
    ends: Instant,
    /// Jobs a second; zero for as fast as the answers come.
    rate: u64,
}

/// What one caller saw.
#[derive(Debug)]
struct Seen {
    times_us: Histogram<u64>,
    answered: u64,
    refused: u64,
    other: u64,
}

fn main() -> eyre::Result<()> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("heathergrade-load")
        .about("Sends jobs to entries and times them")
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
        let run = Arc::new(Run {
            http: Client::builder(TokioExecutor::new()).build_http(),
            entries: matches.get_many("entry").into_iter().flatten().copied().collect(),
            account: matches.get_one::<String>("account").cloned().unwrap_or_default(),
            prefix: format!("load-{:x}", unix.as_millis()),
            next: AtomicU64::new(0),
            started,
            ends: started + Duration::from_secs(get("seconds")),
            rate: get("rate"),
        });
        let mut callers = JoinSet::new();
        for index in 0..get("callers") {
            callers.spawn(call(Arc::clone(&run), usize::try_from(index)?));
        }
        let mut all = Seen::new()?;
        while let Some(seen) = callers.join_next().await {
            all.add(&seen??)?;
        }
        all.print(run.started.elapsed());
        Ok(())
    })
}

async fn call(run: Arc<Run>, caller: usize) -> eyre::Result<Seen> {
    let mut seen = Seen::new()?;
    loop {
        let number = run.next.fetch_add(1, Ordering::Relaxed);
        let mut from = Instant::now();
        if let Some(micros) = (number * 1_000_000).checked_div(run.rate) {
            from = run.started + Duration::from_micros(micros);
            sleep_until(from).await;
        }
        if from >= run.ends {
            return Ok(seen);
        }
        let entry = run.entries[caller % run.entries.len()];
        let status = send(&run, entry, number).await;
        let took = u64::try_from(from.elapsed().as_micros())?;
        match status {
            Ok(StatusCode::OK) => {
                seen.answered += 1;
                seen.times_us.saturating_record(took);
            }
            Ok(StatusCode::TOO_MANY_REQUESTS) => seen.refused += 1,
            _ => seen.other += 1,
        }
    }
}

async fn send(run: &Run, entry: SocketAddr, number: u64) -> eyre::Result<StatusCode> {
    let body = json!({
        "id": format!("{}-{number}", run.prefix),
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

impl Seen {
    fn new() -> eyre::Result<Self> {
        let times_us = Histogram::new_with_bounds(1, LONGEST_US, 3)?;
        Ok(Self { times_us, answered: 0, refused: 0, other: 0 })
    }

    fn add(&mut self, more: &Self) -> eyre::Result<()> {
        self.times_us.add(&more.times_us)?;
        self.answered += more.answered;
        self.refused += more.refused;
        self.other += more.other;
        Ok(())
    }

    fn print(&self, elapsed: Duration) {
        const US_PER_MS: f64 = 1_000.0;
        let at = |quantile| self.times_us.value_at_quantile(quantile) as f64 / US_PER_MS;
        println!(
            "{} answered, {:.0} a second, {} refused, {} other; p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms",
            self.answered,
            self.answered as f64 / elapsed.as_secs_f64(),
            self.refused,
            self.other,
            at(0.5),
            at(0.99),
            at(1.0),
        );
    }
}
