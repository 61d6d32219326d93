//! Cases of the review that need real processes. The first argument names the case, the second its folder.

#![allow(dead_code)]

mod departure;
mod http;
mod json;
mod large_configuration;
mod link;
mod mesh;
mod oversized;
mod quota;
mod store;
mod sys;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // Every value of a case, its processes included, is dropped before the exit.
    let broken = match case.as_str() {
        "departure" => departure::run(&folder, trouble),
        "oversized" => oversized::run(&folder, trouble),
        "large-configuration" => large_configuration::run(&folder, trouble),
        "quota-restart" => quota::run(&folder, trouble),
        _ => None,
    };
    std::process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
