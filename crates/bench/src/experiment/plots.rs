//! Draws the plots of an experiment.

use {
    crate::experiment::{GroupKey, Measures, PolicyKind, Variant, Window},
    plotters::prelude::*,
    std::{
        error::Error,
        path::{Path, PathBuf},
    },
};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 520);

/// Number of points of each curve.
const POINTS: u32 = 400;

/// A policy, a variant of the arrivals, and their measurements.
pub type MeasuredRun = (PolicyKind, Variant, Measures);

/// Writes one SVG plot for each group of tasks: the response time by percentile,
/// with a curve for each policy and variant. Returns the paths of the plots.
///
/// # Errors
/// Returns an error if a plot cannot be drawn or written.
pub fn plot(
    folder: &Path,
    name: &str,
    runs: &[MeasuredRun],
) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let mut keys: Vec<&GroupKey> = runs
        .iter()
        .flat_map(|(_, _, measures)| measures.groups.keys())
        .filter(|key| key.2 != Window::After)
        .collect();
    keys.sort_by_key(|key| format!("{key:?}"));
    keys.dedup();
    let mut paths = Vec::new();
    for key in keys {
        let window = format!("{:?}", key.2).to_lowercase();
        let file = format!("{name}-{}-{}-{window}.svg", key.0, key.1);
        let path = folder.join(file);
        plot_group(&path, key, runs)?;
        paths.push(path);
    }
    Ok(paths)
}

fn plot_group(path: &Path, key: &GroupKey, runs: &[MeasuredRun]) -> Result<(), Box<dyn Error>> {
    let curves: Vec<(String, Vec<(f64, f64)>)> = runs
        .iter()
        .filter_map(|(policy, variant, measures)| {
            let responses = measures.groups.get(key)?;
            let points = (0..=POINTS).map(|i| {
                let quantile = f64::from(i) / f64::from(POINTS) * 0.999;
                let micros = responses.response.value_at_quantile(quantile);
                let response = std::time::Duration::from_micros(micros.max(1));
                (quantile * 100.0, response.as_secs_f64() * 1_000.0)
            });
            let name = match variant {
                Variant::Full => policy.to_string(),
                Variant::Alone(_) => format!("{policy}, alone"),
                Variant::WithoutBursts => format!("{policy}, no burst"),
            };
            Some((name, points.collect()))
        })
        .collect();
    let all = || curves.iter().flat_map(|(_, points)| points);
    let lowest = all().map(|(_, y)| *y).fold(f64::MAX, f64::min);
    let highest = all().map(|(_, y)| *y).fold(lowest * 2.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{} {} ({:?})", key.0, key.1, key.2),
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..100.0, (lowest * 0.9..highest * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("response, ms")
        .draw()?;
    for (number, (name, points)) in curves.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
