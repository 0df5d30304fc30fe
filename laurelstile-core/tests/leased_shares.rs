//! Tests for size groups and on-time rates.

mod leased_support;

use laurelstile_core::leased::gateway::on_time_rates::{OnTimeRates, SizeGroup};
use leased_support::at;

const QUEUE: &str = "checks";

#[test]
fn size_groups_adapt_to_the_submitted_jobs() {
    let mut on_time_rates = OnTimeRates::default();
    let mut counts = [0_u32; 3];
    for number in 0..4_000_u64 {
        // All values from 1 to 1,000 in a scattered order.
        let work = 1 + (number * 617) % 1_000;
        let group = on_time_rates.group_of(QUEUE, work);
        if number >= 1_000 {
            counts[group as usize] += 1;
        }
    }
    let [ordinary, large, largest] = counts;
    assert!((1_900..=2_300).contains(&ordinary), "{counts:?}");
    assert!((450..=750).contains(&large), "{counts:?}");
    assert!((200..=420).contains(&largest), "{counts:?}");
}

#[test]
fn a_refused_group_has_a_lower_rate_than_a_served_one() {
    let mut on_time_rates = OnTimeRates::default();
    for number in 0..20 {
        on_time_rates.record(at(number), QUEUE, SizeGroup::Largest, number % 2 == 0);
        on_time_rates.record(at(number), QUEUE, SizeGroup::Ordinary, true);
    }
    let now = at(20);
    let largest = on_time_rates.permille(now, QUEUE, SizeGroup::Largest);
    let ordinary = on_time_rates.permille(now, QUEUE, SizeGroup::Ordinary);
    assert!(largest < 700 && ordinary > 900, "{largest} {ordinary}");
}

#[test]
fn a_group_without_answers_has_the_rate_of_its_queue() {
    let mut on_time_rates = OnTimeRates::default();
    for number in 0..40 {
        on_time_rates.record(at(number), QUEUE, SizeGroup::Ordinary, number % 2 == 0);
    }
    let rate = on_time_rates.permille(at(40), QUEUE, SizeGroup::Largest);
    assert!((500..=600).contains(&rate), "{rate}");
    assert_eq!(
        on_time_rates.permille(at(40), "others", SizeGroup::Largest),
        1_000
    );
}

#[test]
fn refusals_decay_over_time() {
    let mut on_time_rates = OnTimeRates::default();
    for number in 0..20 {
        on_time_rates.record(at(number), QUEUE, SizeGroup::Ordinary, false);
    }
    let soon = on_time_rates.permille(at(100), QUEUE, SizeGroup::Ordinary);
    let later = on_time_rates.permille(at(30_000), QUEUE, SizeGroup::Ordinary);
    assert!(soon < 200 && later > 950, "{soon} {later}");
}
