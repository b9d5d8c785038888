//! Plots of the report page, as SVG.
use crate::error::LabError;
use hallrelay_emulator::service::Outcome;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (1000, 300);
/// A fault is drawn as a band with at least `1 / BANDS_PER_DAY` of the plot's width, so that a short one is
/// visible.
const BANDS_PER_DAY: f64 = 300.0;

/// One line of a plot.
pub(super) struct Series {
    pub(super) name: String,
    /// Pairs of the second of the day and the value.
    pub(super) points: Vec<(f64, f64)>,
}

type DrawError = DrawingAreaErrorKind<std::io::Error>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws lines over the time of the day, with the faults as bands in the background.
pub(super) fn plot(outcome: &Outcome, title: &str, unit: &str, lines: &[Series]) -> Result<String, LabError> {
    draw(outcome, title, unit, lines)
        .map_err(|source| LabError::Plot { title: title.to_string(), source: Box::new(source) })
}

fn draw(outcome: &Outcome, title: &str, unit: &str, lines: &[Series]) -> Result<String, DrawError> {
    let mut svg = String::new();
    let values = lines.iter().flat_map(|line| line.points.iter().map(|point| point.1));
    let highest = values.fold(0.0, f64::max);
    let top = if highest > 0.0 { highest * 1.05 } else { 1.0 };
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .caption(title, ("sans-serif", 18))
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..outcome.length_s.max(0.1), 0.0..top)?;
        draw_faults(&mut chart, outcome, top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("s").y_desc(unit).draw()?;
        draw_lines(&mut chart, lines)?;
        area.present()?;
    }
    Ok(svg)
}

fn draw_faults(chart: &mut Chart, outcome: &Outcome, top: f64) -> Result<(), DrawError> {
    for band in &outcome.faults {
        let to = band.to.max(band.from + outcome.length_s / BANDS_PER_DAY).min(outcome.length_s);
        let colour = RGBColor(230, 120, 60).mix(0.13).filled();
        let shape = Rectangle::new([(band.from, 0.0), (to, top)], colour);
        chart.draw_series(std::iter::once(shape))?;
        let name = Text::new(band.kind.clone(), (band.from, top * 0.98), ("sans-serif", 11));
        chart.draw_series(std::iter::once(name))?;
    }
    Ok(())
}

fn draw_lines<'a, 'b: 'a>(chart: &mut Chart<'a, 'b>, lines: &[Series]) -> Result<(), DrawError> {
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(1));
        chart
            .draw_series(series)?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    if lines.len() > 1 {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::MiddleRight)
            .background_style(WHITE.mix(0.7))
            .draw()?;
    }
    Ok(())
}
