//! Line plots as SVG.

use super::Result;
use plotters::prelude::*;
use std::time::Duration;

const SIZE: (u32, u32) = (860, 300);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 52;
const HEADROOM: f64 = 1.05;
const FONT: (&str, u32) = ("sans-serif", 16);
const BAND_OPACITY: f64 = 0.12;

/// A named line.
pub(super) struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

impl Line {
    pub(super) fn new(name: &str, points: impl IntoIterator<Item = (f64, f64)>) -> Self {
        Self { name: name.to_owned(), points: points.into_iter().collect() }
    }
}

/// A highlighted span of time.
#[derive(Clone)]
pub(super) struct Band {
    name: String,
    begin_s: f64,
    end_s: f64,
}

impl Band {
    pub(super) fn new(name: &str, begin: Duration, end: Duration) -> Self {
        let (begin_s, end_s) = (begin.as_secs_f64(), end.as_secs_f64());
        Self { name: name.to_owned(), begin_s, end_s }
    }
}

/// Lines on common axes.
pub(super) struct Plot {
    title: &'static str,
    x: &'static str,
    y: &'static str,
    lines: Vec<Line>,
}

impl Plot {
    pub(super) fn new(title: &'static str, x: &'static str, y: &'static str) -> Self {
        Self { title, x, y, lines: Vec::new() }
    }

    pub(super) fn with(mut self, line: Line) -> Self {
        self.lines.push(line);
        self
    }

    /// Draws the plot as an SVG element, with `bands` highlighted.
    pub(super) fn draw(&self, bands: &[Band]) -> Result<String> {
        let mut svg = String::new();
        self.draw_on(SVGBackend::with_string(&mut svg, SIZE), bands)
            .map_err(|error| super::Error::Plot(error.to_string()))?;
        Ok(svg)
    }

    fn draw_on(
        &self,
        backend: SVGBackend<'_>,
        bands: &[Band],
    ) -> std::result::Result<(), Box<dyn std::error::Error>> {
        let (width, height) = self.extent();
        let area = backend.into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, FONT)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..width, 0.0..height)?;
        chart.configure_mesh().x_desc(self.x).y_desc(self.y).draw()?;
        for (index, band) in bands.iter().enumerate() {
            let color = Palette99::pick(index + self.lines.len());
            let corners = [(band.begin_s, 0.0), (band.end_s, height)];
            chart
                .draw_series([Rectangle::new(corners, color.mix(BAND_OPACITY).filled())])?
                .label(band.name.clone())
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled())
                });
        }
        for (index, line) in self.lines.iter().enumerate() {
            let style = Palette99::pick(index).stroke_width(1);
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), style))?
                .label(line.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], style));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the upper limits of both axes: the largest values plus 5%.
    fn extent(&self) -> (f64, f64) {
        let points = self.lines.iter().flat_map(|line| &line.points);
        let (x, y) =
            points.fold((0.0_f64, 0.0_f64), |(x, y), point| (x.max(point.0), y.max(point.1)));
        let with_headroom = |value: f64| if value > 0.0 { value * HEADROOM } else { 1.0 };
        (with_headroom(x), with_headroom(y))
    }
}
