//! Ejection leases at one keeper's lease table.

use shallothill_core::ids::{EndpointId, EndpointName, KeeperId, NodeName, Region, ServiceName};
use shallothill_core::incarnation::Incarnation;
use shallothill_core::time::Millis;
use shallothill_directory::{LeaseAnswer, LeaseHolder, LeaseOptions, LeaseTable};

const KEEPER: KeeperId = KeeperId(1);

fn endpoint(node: &str) -> EndpointId {
    EndpointId {
        service: ServiceName::try_new("courier").unwrap(),
        node: NodeName::try_new(node).unwrap(),
        name: EndpointName::try_new("a").unwrap(),
    }
}

fn requesting_holder(node: &str) -> LeaseHolder {
    let region = Region::try_new("ege").unwrap();
    let mut holder = LeaseHolder::new(
        endpoint(node),
        region,
        &[KEEPER],
        Incarnation(1),
        LeaseOptions::default(),
    );
    holder.request_lease();
    holder
}

/// Guards against a delayed release that frees a token which its holder has been granted again
/// since, so that two backend servers are ejected on one token.
#[test]
fn late_release_does_not_free_a_newer_grant() {
    let mut table = LeaseTable::new(KEEPER, Millis(0), LeaseOptions::default());
    let mut first_holder = requesting_holder("n1");
    let at = |s: u64| Millis(10_000 + s * 1000);
    let req = first_holder.poll(at(0)).unwrap();
    table.handle_request(at(0), &req, 1);
    let late_release = first_holder.release_lease().unwrap();
    first_holder.request_lease();
    let renewed_req = first_holder.poll(at(2)).unwrap();
    assert_eq!(
        table.handle_request(at(2), &renewed_req, 1).answer,
        LeaseAnswer::Granted
    );

    table.handle_release(&late_release);

    let other_req = requesting_holder("n2").poll(at(3)).unwrap();
    assert_eq!(
        table.handle_request(at(3), &other_req, 1).answer,
        LeaseAnswer::Taken
    );
}

/// Guards against a restarted keeper that grants a token which it may have granted before.
#[test]
fn restarted_keeper_grants_nothing_at_first() {
    let mut table = LeaseTable::new(KEEPER, Millis(0), LeaseOptions::default());
    let req = requesting_holder("n1").poll(Millis(1)).unwrap();

    let early = table.handle_request(Millis(6_999), &req, 1).answer;
    let later = table.handle_request(Millis(7_000), &req, 1).answer;

    assert_eq!(
        (early, later),
        (LeaseAnswer::Starting, LeaseAnswer::Granted)
    );
}
