//! Who was served lately, by queue and size.

mod leased_support;

use laurelstile_core::leased::gateway::shares::{OnTimeRates, SizeGroup};
use leased_support::at;

const QUEUE: &str = "checks";

#[test]
fn sizes_are_told_apart_by_the_jobs_that_come() {
    let mut on_time_rates = OnTimeRates::default();
    let mut counts = [0_u32; 3];
    for number in 0..4_000_u64 {
        // All values from 1 to 1,000 in an order without pattern.
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
fn a_group_that_was_refused_ranks_before_one_that_was_served() {
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
fn a_group_without_answers_has_the_share_of_its_queue() {
    let mut on_time_rates = OnTimeRates::default();
    for number in 0..40 {
        on_time_rates.record(at(number), QUEUE, SizeGroup::Ordinary, number % 2 == 0);
    }
    let share = on_time_rates.permille(at(40), QUEUE, SizeGroup::Largest);
    assert!((500..=600).contains(&share), "{share}");
    assert_eq!(
        on_time_rates.permille(at(40), "others", SizeGroup::Largest),
        1_000
    );
}

#[test]
fn refusals_are_forgotten_with_time() {
    let mut on_time_rates = OnTimeRates::default();
    for number in 0..20 {
        on_time_rates.record(at(number), QUEUE, SizeGroup::Ordinary, false);
    }
    let soon = on_time_rates.permille(at(100), QUEUE, SizeGroup::Ordinary);
    let later = on_time_rates.permille(at(30_000), QUEUE, SizeGroup::Ordinary);
    assert!(soon < 200 && later > 950, "{soon} {later}");
}
