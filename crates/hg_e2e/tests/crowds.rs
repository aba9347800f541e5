//! Crowds of clients that do not behave, at the addresses of the product's own processes. Real processes with lowered
//! limits: none may end or outgrow its memory, and ordinary requests are answered beside the crowd and after it.
//!
//! The tests run one at a time: each watches the memory of a process.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ensure, eyre};
use hg_e2e::{
    Api, Crowd, Deployment, Findings, Misbehaviour, PeakSampler, ProcessProbe, Target, crowds_at,
    job, wait_until,
};
use hyper::Method;
use rustix::process::Signal;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// Files that each process may have open.
const DESCRIPTORS: u64 = 400;
/// What a process may use without requests (the target's figure), and what requests may use beside that: 64 MB each.
const MEMORY_BYTES: usize = 64_000_000;
const REQUEST_BYTES: usize = 64_000_000;
/// Limits of an entry on what it holds of jobs that it has accepted.
const ENTRY_LIMITS: &str = "[limits]\nheld_bytes = 8388608\nrequests = 64\n";
/// The longest body of a job by the default limits, without the fields around it.
const BODY_BYTES: usize = 4 << 20;
/// Length of a body to a host whose pages take none.
const PAGE_BODY_BYTES: usize = 262_144;
/// Members of a crowd, and of one whose members send bodies of jobs.
const CROWD: usize = 440;
const JOB_CROWD: usize = 48;
/// Descriptors that a process may have open more than before the crowd once the crowd is gone: connections with
/// upstreams and log files.
const DESCRIPTORS_SLACK: usize = 16;
/// How long an ordinary request is repeated.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// The tests of this file take turns.
static TURN: Mutex<()> = Mutex::const_new(());

/// An address that is open to the outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Address {
    /// Where an entry serves callers, operators and upstreams.
    Entry,
    /// Where a control host serves its metrics and health.
    Control,
}

impl Address {
    const fn process(self) -> &'static str {
        match self {
            Self::Entry => "e0",
            Self::Control => "c0",
        }
    }

    fn target(self, deployment: &Deployment) -> Target {
        let headers = "Host: jobs.example\r\n".to_owned();
        let (address, path, read_path, bytes) = match self {
            Self::Entry => (deployment.entry_address(0), "/v1/jobs", "/v1/status", BODY_BYTES),
            Self::Control => {
                (deployment.control_address(0), "/metrics", "/metrics", PAGE_BODY_BYTES)
            }
        };
        // An empty object, which spaces make as long as the longest body.
        let body = ("{}".to_owned() + &" ".repeat(bytes - "{}".len())).into_bytes().into();
        Target { address, path: path.to_owned(), read_path: read_path.to_owned(), headers, body }
    }

    /// Makes the ordinary requests of those who use the address, each on a connection of its own.
    async fn ordinary_requests(self, deployment: &Deployment, id: &str) -> eyre::Result<()> {
        let Target { address, .. } = self.target(deployment);
        match self {
            Self::Entry => {
                let job = job(id, true, 0, 20_000).to_string();
                expect(address, Method::POST, "/v1/jobs", job).await?;
                expect(address, Method::GET, "/v1/status", String::new()).await?;
                deployment.wait_for_open_upstreams(1).await
            }
            Self::Control => {
                expect(address, Method::GET, "/readyz", String::new()).await?;
                expect(address, Method::GET, "/metrics", String::new()).await
            }
        }
    }
}

/// Repeats a request until it is answered with success.
async fn expect(address: SocketAddr, method: Method, path: &str, body: String) -> eyre::Result<()> {
    let mut last = String::from("none");
    let answered = timeout(
        ANSWER_LIMIT,
        wait_until(path, async || {
            let reply = Api::new(address).send(method.clone(), path, body.clone()).await;
            last = format!("{reply:?}");
            reply.is_ok_and(|reply| reply.status == 200)
        }),
    );
    answered.await.map_err(|_| eyre!("{method} {path} is not answered: {last}"))?
}

/// Plays a crowd at an address and checks the processes.
async fn withstand(address: Address, behaviour: Misbehaviour) -> eyre::Result<()> {
    let _turn = TURN.lock().await;
    let mut deployment = Deployment::start_with(1, ENTRY_LIMITS, Some(DESCRIPTORS)).await?;
    let probe = ProcessProbe::new(deployment.pid(address.process())?);
    address.ordinary_requests(&deployment, "before").await?;
    let before = probe.descriptors();
    let peaks = PeakSampler::start(probe);
    ensure!(probe.memory_bytes() < MEMORY_BYTES, "the idle process is over the target");

    let sends_jobs = address == Address::Entry && behaviour.sends_bodies();
    let count = if sends_jobs { JOB_CROWD } else { CROWD };
    let crowd = Crowd::start(&address.target(&deployment), behaviour, count);
    let mut findings = Findings::default();
    findings.check("crowd", crowd.wait_until_arrived().await);
    let answered = address.ordinary_requests(&deployment, "beside").await;
    findings.check("beside the crowd", answered);
    drop(crowd);
    let given_back = wait_until("descriptors are given back", async || {
        probe.descriptors() <= before + DESCRIPTORS_SLACK
    });
    findings.check("after the crowd", given_back.await);
    let answered = address.ordinary_requests(&deployment, "after").await;
    findings.check("after the crowd", answered);
    findings.check_max("memory", peaks.memory_bytes(), MEMORY_BYTES + REQUEST_BYTES);
    findings.check_alive(&deployment.exited()?);
    findings.finish()
}

/// A process that is told to end does so although a crowd keeps its connections busy.
#[tokio::test(flavor = "multi_thread")]
async fn entry_ends_beside_a_crowd() -> eyre::Result<()> {
    let _turn = TURN.lock().await;
    let mut deployment = Deployment::start(1).await?;
    let target = Address::Entry.target(&deployment);
    let crowd = Crowd::start(&target, Misbehaviour::PiecewiseBody, JOB_CROWD);
    crowd.wait_until_arrived().await?;
    deployment.signal("e0", Signal::TERM)?;
    deployment.wait_for_exit("e0").await?;
    Ok(())
}

crowds_at!(entry, super::Address::Entry);
crowds_at!(control, super::Address::Control);
