use std::path::Path;

use serde::Serialize;

use super::{control::Point, plot, recovery::Recovery, usage};

/// A figure that a target applies to.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) name: String,
    pub(crate) unit: &'static str,
    pub(crate) figure: f64,
    /// What the figure is compared with.
    pub(crate) baseline: f64,
    pub(crate) baseline_name: String,
    pub(crate) target: Expectation,
}

/// How a figure has to relate to its baseline.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Expectation {
    /// At least this multiple of the baseline.
    AtLeast(f64),
    /// At most this multiple of the baseline.
    AtMost(f64),
    /// Lower than the baseline.
    Lower,
}

/// All figures of a run.
#[derive(Debug, Default, Serialize)]
pub(crate) struct BenchReport {
    rows: Vec<Row>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) control: Vec<Point>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) recovery: Vec<Recovery>,
    /// Cargo profile of this process and the ones that it starts.
    build: &'static str,
    /// Load averages of the machine at the end, over 1, 5 and 15 minutes.
    load_average: String,
}

impl Row {
    fn is_hit(&self) -> bool {
        match self.target {
            Expectation::AtLeast(factor) => self.figure >= factor * self.baseline,
            Expectation::AtMost(factor) => self.figure <= factor * self.baseline,
            Expectation::Lower => self.figure < self.baseline,
        }
    }
}

impl BenchReport {
    /// Prints a row and keeps it.
    pub(crate) fn add(&mut self, row: Row) {
        let target = match row.target {
            Expectation::AtLeast(factor) => format!("at least {factor} of it"),
            Expectation::AtMost(factor) => format!("at most {factor} of it"),
            Expectation::Lower => "lower".into(),
        };
        println!(
            "{} {}: {:.1} {}; {}: {:.1}; target: {target}",
            if row.is_hit() { "hit " } else { "MISS" },
            row.name,
            row.figure,
            row.unit,
            row.baseline_name,
            row.baseline,
        );
        self.rows.push(row);
    }

    /// Writes the figures and prints the totals. Returns whether every target was hit.
    pub(crate) fn finish(&mut self, json: Option<&Path>) -> bool {
        self.build = usage::build();
        self.load_average = usage::load_average();
        println!("     {} build; load average {}", self.build, self.load_average);
        if let Some(path) = json {
            let text = serde_json::to_string_pretty(self).expect("figures are serializable");
            if let Err(error) = std::fs::write(path, text) {
                println!("{} cannot be written: {error}", path.display());
                return false;
            }
            if !self.control.is_empty() && !plot::write(&path.with_extension("svg"), &self.control)
            {
                return false;
            }
        }
        let hits = self.rows.iter().filter(|row| row.is_hit()).count();
        println!("{hits} of {} targets hit", self.rows.len());
        hits == self.rows.len()
    }
}
