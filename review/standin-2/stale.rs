//! Case: the leader is cut off while its order about a machine is on its way to the platform.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::cut::{Cut, pass_bytes, pass_datagrams};
use crate::platform::{MachineOrder, Platform};
use crate::record::Record;
use crate::runs::Runs;
use crate::system::{CONTROLS, ENTRY_LINK_PORT, Options, PLATFORM, System, config, wait_until};
use crate::worker::{Machine, Worker};

/// How long the host is cut off.
const CUT_FOR: Duration = Duration::from_secs(7);
const WORKERS: u8 = 6;
/// The machine whose order is on its way when the cut begins.
const MACHINE: &str = "m-1";

/// The link port of a control host; the others are at the same port of their addresses, behind proxies.
const fn link_port(host: u8) -> u16 {
    ENTRY_LINK_PORT + 100 * host as u16
}

/// Runs the case. Returns what broke the rule.
pub fn run(has_trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let mut system = System::new(Options::default(), record).map_err(|e| e.to_string())?;
    let cut = Cut::new(record);
    let begins_cut = has_trouble.then_some(begins_cut as fn(&str) -> Option<Duration>);
    let (mut cloud, mut ports) = (BTreeMap::new(), BTreeMap::new());
    for host in CONTROLS {
        let at = system.link_address(PLATFORM, link_port(host));
        pass_bytes(at, system.platform_address(), host, &cut, begins_cut)
            .map_err(|e| e.to_string())?;
        cloud.insert(host, at);
        ports.insert(host, link_port(host));
        let others = CONTROLS.into_iter().filter(|other| *other != host);
        let seen_at = others.map(|other| (Some(other), link_port(other)));
        for (from, port) in seen_at.chain([(None, ENTRY_LINK_PORT)]) {
            let (at, to) =
                (system.link_address(host, port), system.link_address(host, link_port(host)));
            pass_datagrams(at, to, (from, host), &cut).map_err(|e| e.to_string())?;
        }
    }
    system.set_options(Options { cloud, link_port: ports, ..Options::default() });
    let runs = Runs::new(record.clone());
    let platform = Platform::start(system.platform_address(), record).map_err(|e| e.to_string())?;
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let machine = Machine {
            name: format!("m-{number}"),
            zone: "north".to_owned(),
            kind: "a".to_owned(),
            rack: format!("r-{number}"),
            address: system.worker_address(number),
            cpu: 8_000,
        };
        let worker =
            Worker::start(machine, "pool", &format!("i-{number}"), system.controls(), &runs);
        let worker = worker.map_err(|e| e.to_string())?;
        platform.add(&worker);
        workers.push(worker);
    }
    system.start(&config(1))?;
    wait_until("all workers are known", Duration::from_secs(10), || {
        workers.iter().all(Worker::is_known)
    })?;
    thread::sleep(Duration::from_secs(4));
    let wave = "{\"Wave\":1,\"Machines\":[\"m-0\",\"m-1\",\"m-2\"],\"DeadlineS\":40,\"Cap\":1}";
    let answer = system.operator("POST", "/wave-start", wave)?;
    if answer.0 != 200 {
        return Err(format!("the wave was not accepted: {answer:?}"));
    }
    if has_trouble {
        wait_until("the order is on its way", Duration::from_secs(20), || cut.has_begun())?;
    }
    thread::sleep(Duration::from_secs(25));
    system.operator("GET", "/wave-get/1", "")?;
    Ok(stale_orders(&platform.orders()))
}

/// Whether these bytes are the order about the machine; returns how long its sender is cut off.
fn begins_cut(bytes: &str) -> Option<Duration> {
    let is_order = bytes.contains("/machine-upkeep") && bytes.contains(&format!("\"{MACHINE}\""));
    is_order.then_some(CUT_FOR)
}

/// The orders that arrived with a lower fence number than an earlier one for the same machine.
fn stale_orders(orders: &[MachineOrder]) -> Vec<String> {
    let mut highest: BTreeMap<&str, &MachineOrder> = BTreeMap::new();
    let mut found = Vec::new();
    for order in orders {
        match highest.get(order.machine.as_str()) {
            Some(earlier) if earlier.fence > order.fence => found.push(format!(
                "ONE: {} was ordered by {} with fence {} after {} had ordered it with fence {}",
                order.machine, order.holder, order.fence, earlier.holder, earlier.fence
            )),
            _ => {
                highest.insert(&order.machine, order);
            }
        }
    }
    found
}
