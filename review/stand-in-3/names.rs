//! The platform's names, from a text file: Rust files outside the adapter hold none.

const NAMES: &str = include_str!("names.txt");

pub fn name(of: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once('='));
    lines
        .find(|(key, _)| *key == of)
        .map_or("", |(_, name)| name)
}
