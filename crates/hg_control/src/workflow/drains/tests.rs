//! Guards against a bound that an earlier leader's clock puts off, and against a shortage that is not reported.

use std::sync::Arc;

use hg_model::{
    AccountName, Catalog, ClientAccount, Incarnation, PoolName, RackName, ResourceVector,
    UpstreamReport,
};

use super::*;

fn data_centre(name: &str) -> DataCentreName {
    DataCentreName::new(name).expect("a valid name")
}

/// Two upstreams with 8 accelerators each, one in the north and one in the south, and an account with a guarantee.
fn ledger(guaranteed_accelerators: u32) -> WorkflowLedger {
    let mut ledger = WorkflowLedger::default();
    for (name, at) in [("n", "north"), ("s", "south")] {
        ledger.apply(WorkflowCommand::Register(UpstreamReport {
            name: UpstreamName::new(name).expect("a valid name"),
            incarnation: Incarnation(1),
            address: "127.0.0.1:9000".parse().expect("an address"),
            host: None,
            pool: PoolName::new("pool").expect("a valid name"),
            data_centre: data_centre(at),
            rack: RackName::new("r0").expect("a valid name"),
            labels: Vec::new(),
            capacity: ResourceVector::new(8, 32_000, 131_072),
            leaving: false,
        }));
    }
    ledger.apply(WorkflowCommand::PutCatalog(Catalog {
        version: 1,
        queues: Vec::new(),
        pools: Vec::new(),
        accounts: vec![ClientAccount {
            name: AccountName::new("lindqvist").expect("a valid name"),
            keys: Vec::new(),
            guaranteed_accelerators,
        }],
        document: Arc::from("{}"),
    }));
    ledger
}

fn drain(ledger: &mut WorkflowLedger, name: &str, at: Time) {
    ledger.apply(WorkflowCommand::StartDrain { data_centre: data_centre(name), at });
}

#[test]
fn shortage_counts_what_is_guaranteed_beyond_the_rest() {
    let mut ledger = ledger(10);
    assert_eq!(shortage(&ledger), 0);
    drain(&mut ledger, "south", Time(0));
    assert_eq!(shortage(&ledger), 2);
    drain(&mut ledger, "north", Time(0));
    assert_eq!(shortage(&ledger), 10);
}

#[test]
fn bound_ends_in_time_whatever_the_clock_of_an_earlier_leader_said() {
    let mut ledger = ledger(0);
    let bound = Some(Duration::from_secs(5));
    drain(&mut ledger, "south", Time(90_000));
    drain(&mut ledger, "north", Time(8_000));
    let mut watch = DrainWatch::new(Time(10_000));
    let ends = watch.bounds(Time(10_000), &ledger, bound);
    assert_eq!(ends[&data_centre("south")], Time(15_000), "the clock was ahead");
    assert_eq!(ends[&data_centre("north")], Time(13_000));
    assert_eq!(watch.bounds(Time(12_000), &ledger, bound), ends);
}
