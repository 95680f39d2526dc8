//! An SVG chart of the outcome of each kind, by second.

use super::outcome::{Counts, Outcome};

const WIDTH: usize = 720;
const HEIGHT: usize = 120;
const MARGIN: usize = 30;
/// The stacked series from bottom to top, with their colours.
const SERIES: [(&str, &str, CountSelector); 4] = [
    ("in time", "#2a7", |counts| counts.good),
    ("late", "#fb3", |counts| counts.late),
    ("refused", "#99b", |counts| counts.refused),
    ("failed", "#d43", |counts| counts.failed),
];

type CountSelector = fn(&Counts) -> u32;

/// Returns an SVG with one row for each kind of each outcome. Each outcome comes with its title.
pub fn plot(outcomes: &[(&str, &Outcome)]) -> String {
    let rows: usize = outcomes
        .iter()
        .map(|(_, outcome)| outcome.kinds.len())
        .sum();
    let height = rows * (HEIGHT + MARGIN) + MARGIN;
    let width = WIDTH + 2 * MARGIN;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n"
    );
    let mut x = MARGIN;
    for (name, colour, _) in SERIES {
        svg += &format!(
            "<rect x=\"{x}\" y=\"6\" width=\"10\" height=\"10\" fill=\"{colour}\"/>\
             <text x=\"{}\" y=\"15\">{name}</text>\n",
            x + 14
        );
        x += 80;
    }
    let mut top = MARGIN;
    for (name, outcome) in outcomes {
        for kind in &outcome.kinds {
            let title = escape(&format!("{name}: {}", kind.kind));
            svg += &format!("<text x=\"{MARGIN}\" y=\"{}\">{title}</text>\n", top + 10);
            svg += &columns(&kind.by_second, top + 14);
            top += HEIGHT + MARGIN;
        }
    }
    svg + "</svg>\n"
}

fn columns(by_second: &[Counts], top: usize) -> String {
    let max_requested = by_second.iter().map(|counts| counts.requested).max();
    let max_requested = f64::from(max_requested.unwrap_or(0).max(1));
    let column_width = WIDTH as f64 / by_second.len().max(1) as f64;
    let mut svg = String::new();
    for (second, counts) in by_second.iter().enumerate() {
        let mut bar_y = (top + HEIGHT) as f64;
        for (_, colour, selector) in SERIES {
            let bar_height = f64::from(selector(counts)) * HEIGHT as f64 / max_requested;
            bar_y -= bar_height;
            if bar_height > 0.0 {
                let x = MARGIN as f64 + second as f64 * column_width;
                svg += &format!(
                    "<rect x=\"{x:.1}\" y=\"{bar_y:.1}\" width=\"{column_width:.1}\" height=\"{bar_height:.1}\" \
                     fill=\"{colour}\"/>\n"
                );
            }
        }
    }
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
