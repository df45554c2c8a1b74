//! An HTML page with the figures of several sizes of a fleet and a plot.

use plotters::prelude::*;

use super::result::{Figure, Sizes};

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 320);

/// Length of a line sample in the plot's legend, in pixels.
const LEGEND_WIDTH: i32 = 16;

/// The figures that the plot shows.
const PLOTTED: [(&str, RGBColor); 4] = [
    ("relay: sent, KB/s, most", RED),
    ("other: sent, KB/s, most", BLUE),
    ("other: received, KB/s, mean", GREEN),
    ("agent: lists, KB/s, mean", BLACK),
];

/// Returns an HTML page with the table of all figures and the plot.
pub fn page(sizes: &Sizes) -> String {
    let Some(first) = sizes.results.first() else { return String::new() };
    let heads: String = sizes
        .results
        .iter()
        .map(|r| format!("<th>{}/{}</th>", r.entry_hosts, r.targets))
        .collect();
    let rows: String =
        first.figures.iter().map(|figure| row(sizes, figure)).collect();
    let plot = plot(sizes).unwrap_or_else(|error| error);
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>Fleet</title>\
         <style>body{{font-family:sans-serif}}td,th{{padding:0 .6em;\
         text-align:right}}</style><h1>{}</h1><p>Entry hosts/targets.</p>\
         <table><tr><th></th>{heads}<th>power</th></tr>{rows}</table>{plot}",
        first.pattern.replace('&', "&amp;").replace('<', "&lt;"),
    )
}

fn row(sizes: &Sizes, figure: &Figure) -> String {
    let values: String = sizes
        .results
        .iter()
        .filter_map(|result| result.value(&figure.name))
        .map(|value| format!("<td>{value:.1}</td>"))
        .collect();
    let power = sizes.power(&figure.name);
    let power = power.map_or("-".to_string(), |power| format!("{power:.2}"));
    format!("<tr><th>{}</th>{values}<td>{power}</td></tr>", figure.name)
}

/// Returns an SVG plot of some figures over the number of entry hosts, both on
/// logarithmic scales.
fn plot(sizes: &Sizes) -> Result<String, String> {
    let mut text = String::new();
    draw(sizes, &mut text).map_err(|error| error.to_string())?;
    Ok(text)
}

type PlotError<'a> =
    DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw<'a>(sizes: &Sizes, text: &'a mut String) -> Result<(), PlotError<'a>> {
    let hosts = sizes.results.iter().map(|result| result.entry_hosts as f64);
    let (least, most) = hosts
        .fold((f64::MAX, 1.0), |(a, b): (f64, f64), n| (a.min(n), b.max(n)));
    let area = SVGBackend::with_string(text, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(
            (least..most * 1.1).log_scale(),
            (1.0..10_000.0).log_scale(),
        )?;
    chart.configure_mesh().x_desc("entry hosts").y_desc("KB/s").draw()?;
    for (name, colour) in PLOTTED {
        let points = sizes.results.iter().filter_map(|result| {
            Some((result.entry_hosts as f64, result.value(name)?.max(1.0)))
        });
        let line = LineSeries::new(points, &colour);
        chart.draw_series(line)?.label(name).legend(move |(x, y)| {
            PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], colour)
        });
    }
    chart.configure_series_labels().draw()?;
    drop(chart);
    area.present()
}
