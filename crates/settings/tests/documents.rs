//! Faults of INI files, each with its place.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use schema::operator;
use settings::{Document, Settings, nearest};
use types::Findings;

/// Findings of the text of an operator file's sections.
fn findings(text: &str) -> Vec<String> {
    let (document, mut findings) = Document::read("f.ini", text);
    document.check_kinds(&["service", "retry", "route"], &mut findings);
    let _ = document.fill(&operator::Retry::SECTION, &mut findings);
    let _ = document.fill_named(&operator::Route::SECTION, &mut findings);
    shown(&findings)
}

fn shown(findings: &Findings) -> Vec<String> {
    findings.sorted().iter().map(ToString::to_string).collect()
}

/// Lines of a file, separated by `|`, and the findings expected, separated by `&&`.
const FAULTS: &str = "
; comment|# comment|  ; comment|[retry] ; comment|attempts = 3 # comment =>
attempts = 3 => 1: attempts: key is outside of a section
[retry]||attempts => 3: `attempts` is neither a section header nor `key = value`
[retry]|= 3 => 2: no key before `= 3`
[retry|attempts = 99 => 1: `[retry` is not a section header
[] => 1: section header is empty
[retry] attempts] => 1: `[retry] attempts]` is not a section header
[retry]|attempts = 2|attempts = 2 => 3: retry.attempts: key appears again; the first one is in line 2
[retry]\r|[route a]\r|path = /\r|[retry]\r => 4: section [retry] appears again; the first one is in line 1
[retyr]|attempts = 99 => 1: retyr: unknown section (did you mean `retry`?)
[zebra] => 1: zebra: unknown section
[retry]|atempts = 2 => 2: retry.atempts: unknown key (did you mean `attempts`?)
[retry]|zebra = 2 => 2: retry.zebra: unknown key
[retry]|attempts = two|budget_percent = 101 => 2: retry.attempts: `two` is not a whole number && 3: retry.budget_percent: 101 is not between 0 and 100
[retry]|attempts = => 2: retry.attempts: value is empty
[retry x]|attempts = 0 => 1: retry x: section [retry] takes no name && 2: retry x.attempts: 0 is not between 1 and 10
[route]|path = / => 1: route: section needs a name, as in [route NAME]
[route a]|repeatable = maybe => 1: route a.path: required key is missing && 2: route a.repeatable: `maybe` is neither yes nor no
";

/// Guards against a fault that is passed over, or reported with another line, key or suggestion.
#[test]
fn every_fault_is_reported_with_its_place() {
    for line in FAULTS.trim().split('\n') {
        let (text, expected) = line.split_once(" =>").unwrap();
        let text = text.replace('|', "\n");
        let expected = expected
            .split("&&")
            .map(str::trim)
            .filter(|finding| !finding.is_empty());
        let expected: Vec<_> = expected.map(|finding| format!("f.ini:{finding}")).collect();
        assert_eq!(findings(&text), expected, "{text:?}");
    }
}

/// Guards against a missing section with required keys that passes as a section of defaults.
#[test]
fn absent_section_with_required_keys_is_reported() {
    let (document, mut findings) = Document::read("f.ini", "[retry]\n");
    let _ = document.fill(&operator::Service::SECTION, &mut findings);
    assert_eq!(
        shown(&findings),
        ["f.ini:0: service: section is missing; it needs name, owner"]
    );
}

/// Guards against contradictory or unusable settings that only fail once the daemon runs.
#[test]
fn settings_faults_are_reported_together() {
    let text = "[node]\nid = a/b\nregion = north\ndomain = north-a\nseeds = 10.0.0.1\n\
        [listen]\ncallers = localhost:80\n[store]\naddresses = store:2379, http://store:2379\n\
        [spread]\nsource = tre\nheartbeat_ms = 1000\nsilence_ms = 1900\nfanout = 6\nchildren = 5\n";
    let found = Settings::read("n.ini", text).unwrap_err();
    assert_eq!(
        shown(&found),
        [
            "n.ini:2: node.id: `a/b` may hold only letters, digits, `-`, `_` and `.`",
            "n.ini:5: node.seeds: `10.0.0.1` is not an IP address with a port",
            "n.ini:7: listen.callers: `localhost:80` is not an IP address with a port",
            "n.ini:9: store.addresses: `store:2379` is not a URL that starts with http:// or https://",
            "n.ini:11: spread.source: `tre` is not one of: tree, store (did you mean `tree`?)",
            "n.ini:13: spread.silence_ms: must be at least twice heartbeat_ms",
            "n.ini:15: spread.children: must not be lower than fanout",
        ]
    );
}

/// Guards against suggestions that have nothing to do with the word.
#[test]
fn suggestions_are_similar() {
    let valid = ["slots", "connections", "queue"];
    assert_eq!(nearest("conections", valid).as_deref(), Some("connections"));
    assert_eq!(nearest("SLOTS", valid).as_deref(), Some("slots"));
    assert_eq!(nearest("deadline", valid), None);
}

proptest! {
    /// Guards against printed settings that do not read back, which `--print-settings` promises.
    #[test]
    fn settings_read_back(id in "[a-z][a-z0-9.-]{0,12}", port: u16, deltas: bool, fanout in 2u32..=12, seeds in 0usize..3) {
        let mut settings = Settings::default();
        (settings.node.region, settings.node.domain) = ("north".into(), "north-a".into());
        settings.node.id = id;
        settings.node.seeds = vec![format!("[::1]:{port}"); seeds];
        settings.spread.deltas = deltas;
        settings.spread.fanout = fanout;
        prop_assert_eq!(Settings::read("n.ini", &settings.print()), Ok(settings));
    }

    /// Guards against a panic or a lost line on any text: each line that is not blank or a comment is
    /// either kept or reported.
    #[test]
    fn no_line_is_lost(lines in prop::collection::vec("[\\[\\]=;# a-c\u{e9}\r]{0,8}", 0..20)) {
        let text = lines.join("\n");
        let (document, findings) = Document::read("f.ini", &text);
        let kept = |line| document.sections().iter().any(|section| {
            section.line == line || section.entries.iter().any(|entry| entry.line == line)
        });
        let reported: Vec<u32> = findings.sorted().iter().map(|finding| finding.line).collect();
        // Keys of a refused section are left out with it.
        let refused = findings.sorted().iter().any(|finding| finding.message.starts_with("section") || finding.message.ends_with("section header"));
        for (line, text) in (1..).zip(text.replace("\r\n", "\n").replace('\r', "\n").split('\n')) {
            let is_empty = text.trim().is_empty() || text.trim().starts_with([';', '#']);
            prop_assert!(is_empty || refused || kept(line) || reported.contains(&line), "line {line}: {text:?}");
        }
    }
}
