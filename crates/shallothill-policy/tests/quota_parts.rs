//! The issuer, the relay and the holder of tokens, one message at a time.

use std::time::Duration;

use shallothill_core::config::Quota;
use shallothill_core::time::Millis;
use shallothill_policy::quota::{
    CreditAsk, CreditOptions, CreditReply, CreditRequest, Holder, HolderOptions, Issuer, Relay,
    TIME_TO_LIVE, Take, Token,
};
use shallothill_testing::credit;

const CALLER: u64 = 7;
const ISSUER: u64 = 99;

/// When the bucket of a new issuer is full.
const FULL: Millis = Millis(8000);

fn issuer() -> Issuer {
    Issuer::new(CreditOptions::default(), ISSUER, Millis(0))
}

fn handle(issuer: &mut Issuer, now: Millis, req: &CreditRequest, quota: Quota) -> CreditReply {
    issuer.handle(now, req, |_| Some(quota)).unwrap()
}

fn request(sender: u64, number: u64, needed: u32) -> CreditRequest {
    CreditRequest {
        sender,
        number,
        acknowledged: number - 1,
        granter: if number == 1 { 0 } else { ISSUER },
        asks: vec![CreditAsk {
            caller: CALLER,
            used: 0,
            held: 0,
            needed,
            wanted: 0,
        }],
    }
}

fn tokens(reply: &CreditReply) -> u32 {
    reply.grants.iter().map(|g| g.tokens).sum()
}

/// Returns a holder with `n` tokens from `issuer`, one for each request that waited.
fn holder_with(n: u32, issuer: &mut Issuer, now: Millis, quota: Quota) -> Holder {
    let mut holder = Holder::new(HolderOptions::default(), 1);
    (0..n).for_each(|_| holder.start_waiting(now, CALLER, quota));
    let req = holder.request(now).unwrap();
    let reply = handle(issuer, now, &req, quota);
    assert_eq!(tokens(&reply), n);
    holder.apply(now, &reply);
    (0..n).for_each(|_| holder.stop_waiting(CALLER));
    holder
}

fn take_all(holder: &mut Holder, now: Millis, quota: Quota) -> Vec<Token> {
    let mut taken = Vec::new();
    while let Take::Token(token) = holder.take(now, CALLER, quota) {
        taken.push(token);
    }
    taken
}

fn without_tolerance() -> CreditOptions {
    CreditOptions {
        overage_percent: 0,
        slack: 0,
        ..CreditOptions::default()
    }
}

/// Guards against a tolerance of which buckets gain nothing, so that a caller that sends its rate and a
/// burst in each window is refused, and against a gain above the tolerance.
#[test]
fn buckets_gain_a_part_of_the_tolerance() {
    let quota = credit::quota(13_000, 13);
    let mut issuer = issuer();
    handle(&mut issuer, Millis(60_000), &request(1, 1, 1000), quota);

    let in_a_window = handle(&mut issuer, Millis(65_000), &request(1, 2, 1000), quota);

    // A bucket gains half of the excess in a window, and saves up its capacity at most.
    let capacity = 13 + (0.25 * (0.1 * 78.0 + 20.0)) as u32;
    assert_eq!(tokens(&in_a_window), capacity);
    let gained = (1..=50).map(|n| {
        let at = Millis(65_000 + n * 100);
        tokens(&handle(&mut issuer, at, &request(1, 2 + n, 1000), quota))
    });
    let gained: u32 = gained.sum();
    assert!((78..=79).contains(&gained), "{gained}");
}

/// Guards against a quota without a burst that admits no request, and a bucket above its capacity.
#[test]
fn a_full_bucket_holds_its_capacity() {
    // Rate, burst, options, and burst + 0.25 x (0.1 x (rate x 5 s + burst) + 20).
    let cases = [
        (1000, 0, without_tolerance(), 1),
        (1000, 7, without_tolerance(), 7),
        (1000, 0, CreditOptions::default(), 5),
        (100_000, 100, CreditOptions::default(), 120),
    ];
    for (rate, burst, options, capacity) in cases {
        let quota = credit::quota(rate, burst);
        let mut issuer = Issuer::new(options, ISSUER, Millis(0));

        let reply = handle(&mut issuer, Millis(60_000), &request(1, 1, 1000), quota);

        assert_eq!(tokens(&reply), capacity, "{quota:?}");
        assert!(reply.grants[0].denied_ms > 0);
    }
}

/// Guards against a denial whose time does not tell when there is credit again.
#[test]
fn a_denial_tells_when_there_is_credit() {
    let quota = credit::quota(500, 0);
    let mut issuer = Issuer::new(without_tolerance(), ISSUER, Millis(0));
    let first = handle(&mut issuer, Millis(60_000), &request(1, 1, 100), quota);
    let wait = u64::from(first.grants[0].denied_ms);

    let early = handle(
        &mut issuer,
        Millis(60_000 + wait - 1),
        &request(1, 2, 1),
        quota,
    );
    let due = handle(&mut issuer, Millis(60_000 + wait), &request(1, 3, 1), quota);

    assert!((1000..=2000).contains(&wait), "{wait}");
    assert_eq!((tokens(&early), tokens(&due)), (0, 1));
}

/// Guards against a superseded request that arrives late and is granted again.
#[test]
fn a_late_request_is_dropped() {
    let quota = credit::quota(10_000, 10);
    let mut issuer = issuer();
    handle(&mut issuer, FULL, &request(1, 2, 1), quota);

    let late = issuer.handle(FULL, &request(1, 1, 1), |_| Some(quota));

    assert_eq!(late, None);
}

/// Guards against a late reply to a superseded request that adds tokens which returned already.
#[test]
fn a_late_reply_is_dropped() {
    let quota = credit::quota(10_000, 10);
    let mut issuer = issuer();
    let mut holder = Holder::new(HolderOptions::default(), 1);
    holder.start_waiting(FULL, CALLER, quota);
    let first = holder.request(FULL).unwrap();
    let late = handle(&mut issuer, FULL, &first, quota);
    holder.request(FULL).unwrap();

    holder.apply(FULL, &late);

    assert_eq!(holder.tokens(FULL), 0);
}

/// Guards against tokens that are used after their time to live.
#[test]
fn tokens_expire_at_the_holder() {
    let quota = credit::quota(10_000, 10);
    let mut holder = holder_with(2, &mut issuer(), FULL, quota);
    let last = Millis(FULL.0 + TIME_TO_LIVE.as_millis() as u64 - 1);

    assert!(matches!(holder.take(last, CALLER, quota), Take::Token(_)));
    let expired = Millis(last.0 + 1);
    assert_eq!(holder.take(expired, CALLER, quota), Take::Ask);
}

/// Guards against a request that did not run and costs credit, or a token that is kept beyond its
/// time or its quota.
#[test]
fn a_request_that_did_not_run_returns_its_token() {
    let quota = credit::quota(10_000, 10);
    let mut holder = holder_with(2, &mut issuer(), FULL, quota);
    let taken = take_all(&mut holder, FULL, quota);
    assert_eq!(taken.len(), 2);

    holder.put_back(FULL, taken[0]);
    assert_eq!(take_all(&mut holder, FULL, quota).len(), 1);
    holder.put_back(FULL + TIME_TO_LIVE, taken[1]);
    assert_eq!(take_all(&mut holder, FULL + TIME_TO_LIVE, quota).len(), 0);
    let lowered = credit::quota(1000, 1);
    holder.take(FULL, CALLER, lowered);
    holder.put_back(FULL, taken[1]);
    assert_eq!(take_all(&mut holder, FULL, lowered).len(), 0);
}

/// Guards against a holder that uses the tokens of a higher quota after the change.
#[test]
fn a_changed_quota_drops_the_tokens() {
    let quota = credit::quota(10_000, 10);
    let mut holder = holder_with(5, &mut issuer(), FULL, quota);

    let taken = holder.take(FULL, CALLER, credit::quota(5000, 5));

    assert_eq!(taken, Take::Ask);
    assert_eq!(holder.tokens(FULL), 0);
}

/// Guards against an excess of requests that causes a message each.
#[test]
fn a_denial_is_kept_for_a_while() {
    let quota = credit::quota(100, 0);
    let mut issuer = Issuer::new(without_tolerance(), ISSUER, Millis(0));
    handle(&mut issuer, FULL, &request(2, 1, 100), quota);
    let mut holder = Holder::new(HolderOptions::default(), 1);
    holder.start_waiting(FULL, CALLER, quota);
    let req = holder.request(FULL).unwrap();
    let reply = handle(&mut issuer, FULL, &req, quota);
    holder.apply(FULL, &reply);

    let denied = holder.take(FULL, CALLER, quota);
    let later = holder.take(FULL + Duration::from_millis(300), CALLER, quota);

    assert!(matches!(denied, Take::Denied(wait) if wait >= Duration::from_secs(1)));
    assert_eq!(holder.request(FULL), None);
    assert_eq!(later, Take::Ask);
}

/// Guards against a holder that sends messages, or keeps state, for callers that are idle.
#[test]
fn idle_callers_cost_nothing() {
    let quota = credit::quota(10_000, 10);
    let mut issuer = issuer();
    let mut holder = holder_with(2, &mut issuer, FULL, quota);
    take_all(&mut holder, FULL, quota);

    let idle = FULL + Duration::from_secs(20);
    if let Some(req) = holder.request(idle) {
        let reply = handle(&mut issuer, idle, &req, quota);
        holder.apply(idle, &reply);
    }
    issuer.drop_idle(idle + Duration::from_secs(20));

    assert_eq!(holder.request(idle), None);
    assert_eq!((holder.callers(), issuer.callers()), (0, 0));
}

/// Guards against a relay that lends a token twice, or grants without the issuer.
#[test]
fn a_relay_passes_on_what_it_got() {
    let quota = credit::quota(10_000, 10);
    let quota_of = |_| Some(quota);
    let mut issuer = issuer();
    let mut relay = Relay::new(5);
    let node = request(1, 1, 3);

    let mut answer = relay.handle(FULL, &node, quota_of).unwrap();
    assert_eq!(answer.missing, [(CALLER, 3)]);
    relay.start_waiting(FULL, &answer);
    let req = relay.holder().request(FULL).unwrap();
    let reply = handle(&mut issuer, FULL, &req, quota);
    relay.holder().apply(FULL, &reply);
    relay.complete(FULL, quota_of, &mut answer);

    assert_eq!((tokens(&answer.reply), answer.missing.len()), (3, 0));
    let other = relay.handle(FULL, &request(2, 1, 1), quota_of).unwrap();
    assert_eq!(
        (tokens(&other.reply), other.missing),
        (0, vec![(CALLER, 1)])
    );
}
