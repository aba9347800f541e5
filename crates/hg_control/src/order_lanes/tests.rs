//! Guards against a process that runs out of files because orders to a large fleet take all of them.

use std::net::Ipv4Addr;

use super::*;

fn upstream(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number))
}

/// Takes as many lanes to each upstream as there are; returns how many.
fn fill(lanes: &OrderLanes, count: u16) -> usize {
    let now = Instant::now();
    let enter = |number| std::iter::repeat_with(move || lanes.try_enter(now, upstream(number)));
    (1..=count).map(|number| enter(number).take_while(Result::is_ok).count()).sum()
}

#[test]
fn lanes_leave_files_for_everything_else() {
    for (files_max, count) in [(4_096, 48), (4_096, 350), (4_324, 1_100), (4_324, 1_900)] {
        let lanes = OrderLanes::new(files_max);
        lanes.set_fleet(usize::from(count));
        let orders = fill(&lanes, count);
        let count = usize::from(count);
        assert!(orders >= count, "each upstream can get orders");
        assert!(orders <= LANES_MAX * count);
        let used = orders + CONNECTIONS_EACH * count + RESERVED_FILES;
        let minimum = (CONNECTIONS_EACH + 1) * count + RESERVED_FILES;
        assert!(
            used <= files_max.max(minimum),
            "{used} files of {files_max} with {count} upstreams"
        );
    }
}

#[tokio::test]
async fn enter_waits_until_an_order_has_ended() {
    let lanes = Arc::new(OrderLanes::new(0));
    let first = Arc::clone(&lanes).enter(upstream(1)).await;
    let second = tokio::spawn(Arc::clone(&lanes).enter(upstream(1)));
    let other = Arc::clone(&lanes).enter(upstream(2)).await;
    assert!(!second.is_finished(), "only one order to an upstream is in flight");
    drop(first);
    drop(second.await.expect("no panic"));
    drop(other);
    assert!(lanes.lock().values().all(|lanes| lanes.in_flight == 0));
}

#[test]
fn unused_upstreams_are_forgotten() {
    let lanes = OrderLanes::new(4_096);
    let now = Instant::now();
    assert!(lanes.try_enter(now, upstream(1)).is_ok());
    lanes.lock().get_mut(&upstream(1)).expect("it was just added").in_flight = 0;
    assert!(lanes.try_enter(now + CONNECTION_KEPT * 2, upstream(2)).is_ok());
    assert_eq!(lanes.lock().len(), 1);
}
