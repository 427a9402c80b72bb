//! Lets two operators submit at the same time.

use crate::fleet::Fleet;
use crate::operator::Submission;
use crate::text::text;

/// Guards against two changes on one base that are both accepted, and against a resend that gets
/// another answer than the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holds_one_of_two_operators_wins() {
    let fleet = Fleet::start().await;
    for round in 0..10_u32 {
        let base = u64::from(round) + 1;
        let texts = [text(2 * round + 1), text(2 * round + 2)];
        let ids = [format!("left-{round}"), format!("right-{round}")];
        let at = |side: usize, keeper: u32| Submission {
            keeper: fleet.admin(keeper as usize % 3),
            base,
            change_id: &ids[side],
            text: &texts[side],
        };

        let (left, right) = (at(0, round), at(1, round + 1));
        let (left, right) = tokio::join!(
            left.run(fleet.path(), false),
            right.run(fleet.path(), false)
        );

        let won = usize::from(right.code == Some(0));
        let ended = [left, right];
        assert_eq!(ended[won].code, Some(0), "round {round}: {ended:?}");
        let lost = &ended[1 - won];
        assert_eq!(lost.code, Some(1), "round {round}: {ended:?}");
        let diff = format!("from version {} to your text", base + 1);
        assert!(lost.output.contains(&diff), "round {round}: {lost:?}");
        assert!(lost.output.contains("slots"), "round {round}: {lost:?}");
        let again = at(won, round + 2).accepted(fleet.path()).await;
        assert_eq!(
            again,
            base + 1,
            "round {round}: the resend got another answer"
        );
    }
    let before = fleet.versions().await;
    fleet.wait_risen(11, before).await;
}
