//! The guard alone, one case a test.

use {
    chestnutrun_decisions::guard::{
        Announcement, Answer, GuardAction, GuardConf, GuardInput, GuardMachine, ListOrder,
        OrderFault,
    },
    chestnutrun_types::{EndpointInfo, Now, Room},
    rstest::rstest,
    std::time::{Duration, Instant, SystemTime},
};

/// Lists a second that an endpoint without a listener is asked for at most.
const MOST_LISTS: usize = 15;

fn announcement() -> Announcement {
    Announcement {
        info: EndpointInfo {
            endpoint: "endpoint".into(),
            incarnation: 1,
            service: "service".into(),
            zone: "zone".into(),
            labels: Vec::new(),
            total: Room {
                cpu_millis: 8_000,
                memory_mb: 1_000,
                accelerators: 0,
            },
        },
        clock: Duration::from_secs(1),
        sequence: 1,
        leaving: false,
    }
}

fn lists(actions: Vec<GuardAction>) -> Vec<ListOrder> {
    let lists = actions.into_iter().filter_map(|action| match action {
        GuardAction::List(order) => Some(order),
        _ => None,
    });
    lists.collect()
}

#[rstest]
fn an_endpoint_that_refuses_connections_is_not_asked_without_a_pause() {
    let begin = Instant::now();
    let mut guard = GuardMachine::new(GuardConf { first_number: 1 });
    let now = |millis| Now {
        instant: begin + Duration::from_millis(millis),
        wall: SystemTime::UNIX_EPOCH,
    };
    let mut orders = lists(guard.handle(now(0), GuardInput::Announced(announcement())));
    let mut asked = orders.len();
    for millis in (0..1_000).step_by(10) {
        while let Some(order) = orders.pop() {
            let refused = Answer::Refused(None, OrderFault::Unwell);
            let input = GuardInput::Listed(order.incarnation, order, refused);
            orders.extend(lists(guard.handle(now(millis), input)));
            asked += orders.len();
            assert!(asked <= MOST_LISTS, "{asked} lists within {millis} ms");
        }
        orders.extend(lists(guard.handle(now(millis), GuardInput::Tick)));
        asked += orders.len();
    }
    assert!(
        (5..=MOST_LISTS).contains(&asked),
        "{asked} lists in a second"
    );
}
