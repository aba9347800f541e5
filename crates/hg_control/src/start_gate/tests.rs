//! Guards against a start that leaves for a data centre after its drain was acknowledged, since it had waited for a connection.

use std::time::Duration;

use hg_model::{
    ClockReading, Incarnation, JobId, PoolName, RackName, ResourceVector, RunNumber, StepId,
    TaskId, Term,
};

use super::*;
use crate::OrderId;

fn north() -> DataCentreName {
    DataCentreName::new("north").expect("a valid name")
}

fn fleet() -> BTreeMap<UpstreamName, UpstreamReport> {
    let name = UpstreamName::new("u0").expect("a valid name");
    let report = UpstreamReport {
        name: name.clone(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9000".parse().expect("an address"),
        host: None,
        pool: PoolName::new("pool").expect("a valid name"),
        data_centre: north(),
        rack: RackName::new("r0").expect("a valid name"),
        labels: Vec::new(),
        capacity: ResourceVector::new(8, 32_000, 131_072),
        leaving: false,
    };
    BTreeMap::from([(name, report)])
}

fn order(kind: OrderKind) -> Order {
    Order {
        id: OrderId(1),
        upstream: UpstreamName::new("u0").expect("a valid name"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9000".parse().expect("an address"),
        fence: Term(1),
        kind,
        limit: Duration::from_millis(500),
    }
}

#[test]
fn start_that_waited_is_withdrawn_and_a_stop_is_not() {
    let gate = Arc::new(StartGate::default());
    let job = JobId::new("job").expect("a valid name");
    let task = TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 };
    let run = RunNumber(1);
    let start = OrderKind::Start {
        task: task.clone(),
        run,
        content: "work".into(),
        lease_until: ClockReading(1),
        checkpoint: None,
        ticket: None,
    };
    let start = StartPass::new(&gate, &order(start), &fleet());
    let stop = StartPass::new(&gate, &order(OrderKind::Stop { task, run }), &fleet());
    assert!(start.is_valid() && stop.is_valid());
    gate.close(&BTreeMap::from([(north(), Time(0))]));
    assert!(!start.is_valid() && stop.is_valid());
    gate.close(&BTreeMap::new());
    assert!(start.is_valid());
}
