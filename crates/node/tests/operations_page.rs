//! Tests that the operators' page lists every setting and metric.

use node::{OrganisationLabels, metric_names};
use settings::schema::{Absent, FLEET, NODE, Setting, SettingKind};
use types::Organisation;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// One table row for each setting, as the page has to show it.
fn rows(settings: &[Setting], prefix: &str) -> Vec<String> {
    let mut rows = Vec::new();
    for setting in settings {
        let path = format!("{prefix}{}", setting.key);
        match setting.kind {
            SettingKind::Table(inner) if setting.key == "set" => {
                rows.extend(exception_rows(self::rows(inner, &format!("{path}."))));
            }
            SettingKind::Table(inner) => rows.extend(self::rows(inner, &format!("{path}."))),
            SettingKind::NamedTables(inner) => {
                rows.extend(self::rows(inner, &format!("{path}.NAME.")))
            }
            SettingKind::TableList(inner, _) => {
                rows.extend(self::rows(inner, &format!("{path}[].")))
            }
            kind => {
                let absent = match setting.absent {
                    Absent::Required => "required".to_owned(),
                    Absent::Empty => "none".to_owned(),
                    Absent::Default(value) => format!("`{value}`"),
                };
                rows.push(format!("| `{path}` | {} | {absent} |", kind.expectation()));
            }
        }
    }
    rows
}

/// The rows of the settings that an exception can change. Those that it does not set have the value
/// of `defaults`.
fn exception_rows(rows: Vec<String>) -> impl Iterator<Item = String> {
    rows.into_iter().map(|row| {
        let (start, _) = row.rsplit_once(" | ").unwrap();
        format!("{start} | as in `defaults` |")
    })
}

/// Guards against a page that lacks a setting or shows an outdated unit, bound or default.
#[test]
fn operations_page_lists_every_setting() {
    let all = [rows(NODE, ""), rows(FLEET, "")].concat();
    let missing: Vec<_> = all.iter().filter(|row| !PAGE.contains(*row)).collect();
    assert!(missing.is_empty(), "docs/OPERATIONS.md lacks these lines:\n{missing:#?}");
}

/// Guards against a metric that the page does not list.
#[test]
fn operations_page_lists_every_metric() {
    let names = metric_names();
    assert!(names.len() > 10);
    let missing: Vec<_> =
        names.iter().filter(|name| !PAGE.contains(&format!("| `{name}`"))).collect();
    assert!(missing.is_empty(), "docs/OPERATIONS.md lacks {missing:?}");
}

/// Guards against callers that exhaust the memory of nodes and of the metrics store with invented
/// organisations.
#[test]
fn organisations_beyond_the_first_64_share_one_label_value() {
    let labels = OrganisationLabels::default();
    let names: Vec<Organisation> =
        (0..100).map(|number| format!("organisation-{number}").into()).collect();
    for (number, name) in names.iter().enumerate() {
        let expected = if number < 64 { name.as_str() } else { "other" };
        assert_eq!(labels.label(name), expected);
    }
    assert_eq!(labels.label(&names[0]), names[0].as_str());
    assert_eq!(labels.label(&names[99]), "other");
}
