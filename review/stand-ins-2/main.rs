//! The cases of the review that need real processes. `trial CASE RECORD` exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod drain;
mod memory;
mod programs;
mod shutdown;
mod tier;

use tier::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: trial CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    let run = {
        let (case, record) = (case.clone(), record.clone());
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || match case.as_str() {
            "drain" => drain::run(&record, has_trouble),
            "shutdown" => shutdown::run(&record, has_trouble),
            "programs" => programs::run(&record, has_trouble),
            "memory" => memory::run(&record, has_trouble),
            _ => 2,
        }))
    };
    let code = run.unwrap_or_else(|_| {
        record.line("could not run: a stand-in failed");
        2
    });
    record.line(&format!("exit {code}"));
    println!("{case}: exit {code}");
    std::process::exit(code);
}
