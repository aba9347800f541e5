//! Guards against overload that costs the leader its lease, loses reports, or keeps calls waiting longer than their callers do.

use hg_link::{CallerAction, CallerRequest};
use hg_model::UpstreamName;

use super::*;
use crate::links::PeerFrame;
use crate::workflow::{OrderId, OrderReport, OrderResult};

const LONG: Duration = Duration::from_secs(10);

fn message() -> Input {
    let from = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    Input::Messages(PeerFrame { from, messages: Vec::new() })
}

fn report(number: u64) -> Input {
    let upstream = UpstreamName::new("u1").expect("a good name");
    Input::Report(OrderReport { id: OrderId(number), upstream, result: OrderResult::Fenced })
}

fn request(req: WorkflowRequest) -> (Input, oneshot::Receiver<Reply>) {
    let (tx, rx) = oneshot::channel();
    (Input::Request(Request::Workflow(req), tx), rx)
}

fn call() -> (Input, oneshot::Receiver<Reply>) {
    let call = CallerRequest {
        host: "h".into(),
        path: "/q/1".into(),
        key: None,
        action: CallerAction::State,
    };
    request(WorkflowRequest::Call(call))
}

fn is_call_input(input: &Input) -> bool {
    matches!(input, Input::Request(req, _) if is_call(req))
}

#[test]
fn take_returns_messages_first_and_calls_last() {
    let queue = InputQueue::default();
    let now = Instant::now();
    let ((call, _call_rx), (ping, _ping_rx)) = (call(), request(WorkflowRequest::Ping));
    for input in [call, ping, report(1), message()] {
        assert!(queue.push(now, input));
    }
    let inputs = queue.take(LONG, 8);
    assert_eq!(inputs.len(), 4);
    assert!(matches!(inputs[0], Input::Messages(_)));
    assert!(matches!(inputs[1], Input::Report(_)));
    assert!(is_call_input(&inputs[3]) && !is_call_input(&inputs[2]));
}

#[test]
fn take_is_bounded_and_starves_no_lane() {
    let queue = InputQueue::default();
    let now = Instant::now();
    let mut replies = Vec::new();
    for number in 0..100 {
        let (call, rx) = call();
        replies.push(rx);
        assert!(queue.push(now, report(number)) && queue.push(now, call));
    }
    let inputs = queue.take(LONG, 10);
    assert_eq!(inputs.iter().filter(|input| is_call_input(input)).count(), 10);
    assert_eq!(inputs.len(), 20);
}

#[test]
fn reports_are_never_dropped() {
    let queue = InputQueue::default();
    let count = 2 * REQUESTS_MAX;
    assert!((0..count as u64).all(|number| queue.push(Instant::now(), report(number))));
    assert_eq!(queue.take(LONG, usize::MAX).len(), count);
}

#[test]
fn call_that_waited_for_too_long_is_refused_unhandled() {
    let queue = InputQueue::default();
    let long_ago = Instant::now().checked_sub(CALL_DELAY_MAX * 2).expect("the clock is later");
    let (late, mut late_rx) = call();
    let (ping, _ping_rx) = request(WorkflowRequest::Ping);
    assert!(queue.push(long_ago, late) && queue.push(long_ago, ping));
    let inputs = queue.take(LONG, 8);
    assert_eq!(inputs.len(), 1, "what upstreams and operators ask is handled however late");
    assert_eq!(late_rx.try_recv(), Ok(Reply::Busy));
}

#[test]
fn call_is_refused_at_once_while_calls_wait_for_too_long() {
    let queue = InputQueue::default();
    let now = Instant::now();
    let long_ago = now.checked_sub(CALL_DELAY_MAX * 2).expect("the clock is later");
    let ((first, _first_rx), (next, mut next_rx)) = (call(), call());
    assert!(queue.push(long_ago, first));
    assert!(!queue.push(now, next));
    assert_eq!(next_rx.try_recv(), Ok(Reply::Busy));
    assert!(queue.push(now, report(1)), "reports still get in");
}

#[test]
fn requests_are_refused_once_the_thread_has_ended() {
    let queue = InputQueue::default();
    let ((before, mut before_rx), (after, mut after_rx)) = (call(), call());
    assert!(queue.push(Instant::now(), before));
    queue.close();
    assert!(!queue.push(Instant::now(), after));
    assert_eq!(before_rx.try_recv(), Ok(Reply::Busy));
    assert_eq!(after_rx.try_recv(), Ok(Reply::Busy));
}
