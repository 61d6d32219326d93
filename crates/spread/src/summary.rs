//! Summaries of the versions held in a subtree.

use std::collections::BTreeMap;

use schema::control::DomainSummary;
use types::id;

/// Maximum number of lagging nodes that a summary names.
const MAX_LAGGING: usize = 4;

/// Aggregates the summaries of a node and its children into one for each failure domain.
#[must_use]
pub fn aggregate<'a, I>(parts: I) -> Vec<DomainSummary>
where
    I: IntoIterator<Item = (&'a id::Node, &'a [DomainSummary])>,
{
    let mut groups: BTreeMap<(String, String), Vec<(&id::Node, &DomainSummary)>> = BTreeMap::new();
    for (node, summaries) in parts {
        for summary in summaries {
            let key = (summary.region.clone(), summary.domain.clone());
            groups.entry(key).or_default().push((node, summary));
        }
    }
    groups
        .values()
        .filter_map(|parts| aggregate_domain(parts))
        .collect()
}

fn aggregate_domain(parts: &[(&id::Node, &DomainSummary)]) -> Option<DomainSummary> {
    let (_, first) = parts.first()?;
    let mut sum = DomainSummary {
        region: first.region.clone(),
        domain: first.domain.clone(),
        lowest: u64::MAX,
        ..DomainSummary::default()
    };
    sum.highest = parts.iter().map(|(_, part)| part.highest).max()?;
    for (node, part) in parts {
        sum.nodes += part.nodes;
        sum.lowest = sum.lowest.min(part.lowest);
        if part.highest == sum.highest {
            sum.current += part.current;
            sum.convergence_ms = sum.convergence_ms.max(part.convergence_ms);
        } else {
            // None of these nodes holds the highest version. Only the child is named, because its
            // summary does not list the nodes that hold `part.highest`.
            add_lagging(&mut sum.lagging, node.as_str());
        }
        for id in &part.lagging {
            add_lagging(&mut sum.lagging, id);
        }
    }
    Some(sum)
}

fn add_lagging(lagging: &mut Vec<String>, id: &str) {
    if lagging.len() < MAX_LAGGING && !lagging.iter().any(|known| known == id) {
        lagging.push(id.to_owned());
    }
}
