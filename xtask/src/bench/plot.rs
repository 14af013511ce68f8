use std::{fmt::Write, path::Path};

use super::control::{Cost, Point};

/// Engines of the fleets that are drawn.
const ENGINES: usize = 8;
/// Size of one panel and the margin around its axes, in pixels.
const WIDTH: f64 = 300.0;
const HEIGHT: f64 = 220.0;
const MARGIN: f64 = 40.0;

/// Draws CPU, bytes and memory against the number of nodes. Returns whether it was written.
pub(crate) fn write(path: &Path, points: &[Point]) -> bool {
    let points: Vec<_> = points.iter().filter(|point| point.engines == ENGINES).collect();
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{HEIGHT}\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
        3.0 * WIDTH
    );
    let mut panel = |index: f64, title: &str, cost: fn(&Point) -> Cost| {
        let costs: Vec<_> = points.iter().map(|point| (point.nodes as f64, cost(point))).collect();
        draw_panel(&mut svg, index * WIDTH, title, &costs);
    };
    panel(0.0, "CPU, % of a core", |point| point.cpu);
    panel(1.0, "bytes between nodes, B/s", |point| point.bytes);
    panel(2.0, "memory, MB", |point| point.memory);
    svg.push_str("</svg>\n");
    let written = std::fs::write(path, svg);
    if let Err(error) = &written {
        println!("{} cannot be written: {error}", path.display());
    }
    written.is_ok()
}

fn draw_panel(svg: &mut String, left: f64, title: &str, costs: &[(f64, Cost)]) {
    let x_max = costs.iter().map(|(nodes, _)| *nodes).fold(1.0, f64::max);
    let y_max = costs.iter().map(|(_, cost)| cost.worst).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let x = |nodes: f64| left + MARGIN + nodes / x_max * (WIDTH - 2.0 * MARGIN);
    let y = |value: f64| HEIGHT - MARGIN - value / y_max * (HEIGHT - 2.0 * MARGIN);
    let (x0, x1, y0, y1) = (x(0.0), x(x_max), y(0.0), y(y_max));
    let mut add = |element: String| writeln!(svg, "{element}").expect("strings can be written");
    add(format!("<path d=\"M{x0} {y1}V{y0}H{x1}\" fill=\"none\" stroke=\"black\"/>"));
    add(format!("<text x=\"{x0}\" y=\"20\">{title}: mean (blue), worst node (red)</text>"));
    add(format!("<text x=\"{}\" y=\"{}\">nodes</text>", x1 - 30.0, y0 + 30.0));
    for (nodes, cost) in costs {
        let at = x(*nodes);
        add(format!("<text x=\"{at}\" y=\"{}\" text-anchor=\"middle\">{nodes}</text>", y0 + 15.0));
        add(format!("<text x=\"{at}\" y=\"{}\">{:.1}</text>", y(cost.worst) - 5.0, cost.worst));
    }
    for (color, value) in
        [("blue", (|cost| cost.mean) as fn(&Cost) -> f64), ("red", |cost| cost.worst)]
    {
        let line: Vec<_> =
            costs.iter().map(|(nodes, cost)| format!("{},{}", x(*nodes), y(value(cost)))).collect();
        let line = line.join(" ");
        add(format!("<polyline points=\"{line}\" fill=\"none\" stroke=\"{color}\"/>"));
    }
}
