//! Plays a case of the review with the project's own programs. `CASE DIRECTORY [trouble]`: exits with 1
//! if the rule was broken, 0 if it held, 2 if the case could not run.

mod cell;
mod http;
mod json;
mod late_beat;
mod link;
mod load;
mod names;
mod record;
mod shrunk_room;
mod store;
mod unnoticed_crash;
mod worker;

use std::path::Path;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory, record] = &arguments[..] else {
        eprintln!("usage: CASE DIRECTORY RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(Path::new(record));
    let directory = Path::new(directory);
    let is_kept = match case.as_str() {
        "shrunk-room" => shrunk_room::play(directory, &record, has_trouble),
        "late-beat" => late_beat::play(directory, &record, has_trouble),
        "unnoticed-crash" => unnoticed_crash::play(directory, &record, has_trouble),
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(!is_kept));
}
