//! Names, lists, upstreams and jobs for tests.

use hg_model::{
    Account, AccountName, DataCentreName, Digest, Guarantee, HostName, JobClass, JobId, JobSpec,
    KindName, Lists, Plan, PlanName, RackName, Resources, Shape, UpstreamHeartbeat, UpstreamName,
    UpstreamSpec,
};

/// Accelerators, processors and memory of every upstream.
pub const CAPACITY: Resources = Resources::new(8, 32, 131_072);
/// Task slots of every upstream.
pub const SLOTS: u32 = 8;

/// Makes an account name.
pub fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a good name")
}

/// Makes an upstream name.
pub fn upstream(name: &str) -> UpstreamName {
    UpstreamName::new(name).expect("a good name")
}

/// A heartbeat of upstream `n`, with `per_rack` upstreams in each rack.
pub fn heartbeat(n: usize, per_rack: usize, boot: u64) -> UpstreamHeartbeat {
    let name = format!("u{n}");
    let spec = UpstreamSpec {
        name: upstream(&name),
        address: ([127, 0, 0, 1], 9_000).into(),
        host: HostName::new(&name).expect("a good name"),
        rack: RackName::new(format!("r{}", n / per_rack)).expect("a good name"),
        data_centre: DataCentreName::new("dc1").expect("a good name"),
        capacity: CAPACITY,
        slots: SLOTS,
        connections: 60,
        boot,
    };
    UpstreamHeartbeat { spec, leaving: false, leases: Vec::new(), ended: Vec::new() }
}

/// The resources of a task with this many accelerators.
pub const fn per_task(accelerators: u32) -> Resources {
    Resources::new(accelerators, 1 + accelerators * 2, 1_024 + 4_096 * accelerators as u64)
}

/// A plan with guarantees and a limit beyond the capacity of the pool.
pub fn plan(name: &str, guarantees: &[Shape]) -> Plan {
    Plan {
        name: PlanName::new(name).expect("a good name"),
        weight: 1,
        limit: Resources::new(10_000, 100_000, 100_000_000),
        guarantees: guarantees.iter().copied().map(Guarantee).collect(),
    }
}

/// Lists in which each account holds the plan of its own name.
pub fn lists(plans: Vec<Plan>) -> Lists {
    let account =
        |plan: &Plan| Account { name: account(plan.name.as_str()), plan: plan.name.clone() };
    Lists { accounts: plans.iter().map(account).collect(), plans }
}

/// A job of one account, of normal class and with a deadline of an hour.
pub fn job(id: &str, account_name: &str, shape: Shape, idempotent: bool) -> JobSpec {
    JobSpec {
        id: JobId::new(id).expect("a good id"),
        account: account(account_name),
        kind: KindName::new("sweep").expect("a good kind"),
        class: JobClass::Normal,
        shape,
        idempotent,
        checkpointable: false,
        expected_ms: 0,
        deadline_ms: 3_600_000,
        body_sha256: Digest::of(id.as_bytes()),
    }
}
