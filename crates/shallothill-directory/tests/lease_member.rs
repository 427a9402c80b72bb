//! Ejection leases at one keeper.

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

fn holder(node: &str) -> LeaseHolder {
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

/// A release that is delayed on its way must not free the token that its holder got again since,
/// or two backend servers would be ejected on one token.
#[test]
fn late_release_does_not_free_a_newer_grant() {
    let mut member = LeaseTable::new(KEEPER, Millis(0), LeaseOptions::default());
    let mut first = holder("n1");
    let at = |s: u64| Millis(10_000 + s * 1000);
    let asked = first.poll(at(0)).unwrap();
    member.request(at(0), &asked, 1);
    let late = first.release_lease().unwrap();
    first.request_lease();
    let again = first.poll(at(2)).unwrap();
    assert_eq!(
        member.request(at(2), &again, 1).answer,
        LeaseAnswer::Granted
    );

    member.release(&late);

    let other = holder("n2").poll(at(3)).unwrap();
    assert_eq!(member.request(at(3), &other, 1).answer, LeaseAnswer::Taken);
}

/// A keeper that was just started must not grant a token that it may have granted before.
#[test]
fn restarted_keeper_grants_nothing_at_first() {
    let mut member = LeaseTable::new(KEEPER, Millis(0), LeaseOptions::default());
    let asked = holder("n1").poll(Millis(1)).unwrap();

    let early = member.request(Millis(6_999), &asked, 1).answer;
    let later = member.request(Millis(7_000), &asked, 1).answer;

    assert_eq!(
        (early, later),
        (LeaseAnswer::Starting, LeaseAnswer::Granted)
    );
}
