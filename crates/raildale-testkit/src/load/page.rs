//! An HTML page with tables and plots of one or more results, side by side.

use plotters::prelude::*;

use super::result::{GroupStats, LoadResult};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 260);

/// Length of a line sample in a plot's legend, in pixels.
const LEGEND_WIDTH: i32 = 16;

/// Returns an HTML page with one section for each result.
pub fn page(results: &[LoadResult]) -> String {
    let sections: Vec<String> = results.iter().map(section).collect();
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>Load</title>\
         <style>body{{font-family:sans-serif}}td,th{{padding:0 .6em;\
         text-align:right}}section{{display:inline-block;\
         vertical-align:top;margin-right:2em}}</style>{}",
        sections.concat()
    )
}

fn section(result: &LoadResult) -> String {
    let rows: Vec<String> = result.groups().map(row).collect();
    let plot = plot(result).unwrap_or_else(|error| escaped(&error));
    format!(
        "<section><h1>{}</h1><p>Seed {}. Credit {:.3} of a bound of \
         {:.3}.</p><table><tr><th></th><th>asked</th><th>in time</th>\
         <th>late</th><th>refused</th><th>lost</th><th>credit</th></tr>{}\
         </table>{plot}</section>",
        escaped(&result.pattern),
        result.seed,
        result.all.credit,
        result.bound,
        rows.concat(),
    )
}

fn row(share: &GroupStats) -> String {
    format!(
        "<tr><th>{}</th><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
         <td>{}</td><td>{:.3}</td></tr>",
        escaped(&share.name),
        share.asked,
        share.in_time,
        share.late,
        share.refused,
        share.lost,
        share.credit,
    )
}

/// Returns an SVG plot of requests by second: all of them, those answered, and
/// those answered in time.
fn plot(result: &LoadResult) -> Result<String, String> {
    let mut text = String::new();
    draw(result, &mut text).map_err(|error| error.to_string())?;
    Ok(text)
}

type PlotError<'a> =
    DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// The count that a line of the plot shows for each second.
type Count = fn(&GroupStats) -> u32;

fn draw<'a>(
    result: &LoadResult,
    text: &'a mut String,
) -> Result<(), PlotError<'a>> {
    let lines: [(&str, RGBColor, Count); 3] = [
        ("asked", BLACK, |share| share.asked),
        ("answered", BLUE, |share| share.in_time + share.late),
        ("in time", GREEN, |share| share.in_time),
    ];
    let max = result.seconds.iter().map(|s| s.asked).max().unwrap_or(1);
    let area = SVGBackend::with_string(text, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .build_cartesian_2d(0..result.seconds.len(), 0..max + 1)?;
    chart.configure_mesh().x_desc("second").y_desc("requests").draw()?;
    for (name, colour, value) in lines {
        let seconds = result.seconds.iter().enumerate();
        let points = seconds.map(|(second, share)| (second, value(share)));
        let line = LineSeries::new(points, &colour);
        chart.draw_series(line)?.label(name).legend(move |(x, y)| {
            PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], colour)
        });
    }
    chart.configure_series_labels().draw()?;
    drop(chart);
    area.present()
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
