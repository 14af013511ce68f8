//! Results of the cases: the printed lines, the totals and the Markdown tables.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use crate::{
    faults::{Case, CaseReport},
    known_red,
};

/// Number of problems that are printed for one case.
const MAX_PRINTED_PROBLEMS: usize = 4;

/// The result of one case.
pub(crate) struct Row {
    pub(crate) case: Case,
    pub(crate) seed: u64,
    pub(crate) report: CaseReport,
}

/// The results of all cases.
pub(crate) struct Rows {
    rows: Vec<Row>,
    /// Names of the cases that are known to fail.
    known_red: Vec<String>,
}

impl Rows {
    pub(crate) fn new() -> Rows {
        Rows { rows: Vec::new(), known_red: known_red::fault_cases() }
    }

    /// Prints a result and adds it to the totals.
    pub(crate) fn add(&mut self, row: Row) {
        let recovery = row
            .report
            .recovery
            .map_or_else(String::new, |time| format!("  recovered in {} ms", time.as_millis()));
        let note = row.report.note.as_deref().unwrap_or_default();
        let verdict = self.verdict(&row);
        println!("{verdict:9} {:44} seed {}{recovery}  {note}", row.case.name, row.seed);
        for problem in row.report.problems.iter().take(MAX_PRINTED_PROBLEMS) {
            println!("          {problem}");
        }
        self.rows.push(row);
    }

    /// Prints the totals. Returns whether at least one case ran and none failed except those listed
    /// as known red.
    pub(crate) fn finish(&self) -> bool {
        let red = self.rows.iter().filter(|row| !row.report.problems.is_empty());
        let (known, failed): (Vec<&Row>, Vec<&Row>) = red.partition(|row| self.is_known_red(row));
        if !known.is_empty() {
            println!("{} known red", known.len());
        }
        let passed = self.rows.len() - known.len() - failed.len();
        println!("{passed} passed, {} failed", failed.len());
        failed.is_empty() && !self.rows.is_empty()
    }

    /// A Markdown table of the cases and one of the recovery times of each fault class.
    pub(crate) fn markdown(&self) -> String {
        let mut text = String::from(
            "| case | requirement | fault | seed | verdict | recovery |\n| --- | --- | --- | --- | --- | --- |\n",
        );
        let mut rows: Vec<&Row> = self.rows.iter().collect();
        rows.sort_by_key(|row| (&row.case.name, row.seed));
        let mut classes: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
        for row in rows {
            let Case { name, requirement, fault, .. } = &row.case;
            let (seed, verdict) = (row.seed, self.verdict(row));
            let recovery = row.report.recovery.map_or_else(String::new, millis);
            add_line(
                &mut text,
                &format!("{name} | {requirement} | {fault} | {seed} | {verdict} | {recovery}"),
            );
            if let Some(time) = row.report.recovery {
                classes.entry(fault).or_default().push(time);
            }
        }
        text.push_str(
            "\n| fault class | cases | median recovery | worst recovery |\n| --- | --- | --- | --- |\n",
        );
        for (fault, mut times) in classes {
            times.sort();
            let (count, median) = (times.len(), millis(times[(times.len() - 1) / 2]));
            let worst = millis(times[times.len() - 1]);
            add_line(&mut text, &format!("{fault} | {count} | {median} | {worst}"));
        }
        text
    }

    fn verdict(&self, row: &Row) -> &'static str {
        match (row.report.problems.is_empty(), self.is_known_red(row)) {
            (true, _) => "pass",
            (false, true) => "known red",
            (false, false) => "FAIL",
        }
    }

    fn is_known_red(&self, row: &Row) -> bool {
        self.known_red.contains(&row.case.name)
    }
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

fn add_line(text: &mut String, cells: &str) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "| {cells} |");
}
