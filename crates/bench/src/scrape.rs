use std::collections::BTreeMap;

use prometheus_parse::Value;

use crate::Error;

/// Labels of a figure in the order of their names.
pub type Labels = BTreeMap<String, String>;

/// Figures of one node, read from its metrics.
#[derive(Clone, Debug, Default)]
pub struct Scrape(Vec<(String, Labels, f64)>);

impl Scrape {
    /// Reads the metrics of the node with the admin URL `admin`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when the node does not answer and [`Error::Io`] when the answer is
    /// not in the text format of Prometheus.
    pub async fn read(client: &reqwest::Client, admin: &str) -> Result<Self, Error> {
        let text = client
            .get(format!("{admin}/metrics"))
            .send()
            .await?
            .error_for_status()?
            .text()
            .await?;
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let parsed = prometheus_parse::Scrape::parse(lines)
            .map_err(|error| Error::Io("metrics".to_owned(), error))?;
        let figures = parsed.samples.into_iter().filter_map(|sample| {
            let labels = sample
                .labels
                .iter()
                .map(|(name, value)| (name.clone(), value.clone()));
            match sample.value {
                Value::Counter(number) | Value::Gauge(number) | Value::Untyped(number) => {
                    Some((sample.metric, labels.collect(), number))
                }
                Value::Histogram(_) | Value::Summary(_) => None,
            }
        });
        Ok(Self(figures.collect()))
    }

    /// Sum of all figures of the name `metric` whose labels `matches` accepts.
    pub fn sum<F>(&self, metric: &str, matches: F) -> f64
    where
        F: Fn(&Labels) -> bool,
    {
        self.0
            .iter()
            .filter(|(name, labels, _)| name == metric && matches(labels))
            .map(|(_, _, number)| number)
            .sum()
    }

    /// All figures of the name `metric` with their labels.
    pub fn each<'a>(&'a self, metric: &'a str) -> impl Iterator<Item = (&'a Labels, f64)> {
        self.0
            .iter()
            .filter(move |(name, _, _)| name == metric)
            .map(|(_, labels, number)| (labels, *number))
    }
}
