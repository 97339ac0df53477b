//! Linear and power-law fits of a figure against the size of the fleet.

/// Value of a figure at one fleet size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Number of members.
    pub size: f64,
    /// Value of the figure.
    pub figure: f64,
}

/// Least-squares fit of `slope x size + constant`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Increase of the figure per member.
    pub slope: f64,
    /// Value at size 0.
    pub constant: f64,
    /// Largest distance of a point from the line, as a fraction of the largest absolute value.
    pub residual: f64,
}

fn mean(figures: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = figures.clone().count();
    figures.sum::<f64>() / count as f64
}

/// Fits a line to points of at least two different sizes; returns `None` for fewer.
pub fn line(points: &[Point]) -> Option<Line> {
    let size = mean(points.iter().map(|point| point.size));
    let figure = mean(points.iter().map(|point| point.figure));
    let size_variance_sum: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
    if points.len() < 2 || size_variance_sum == 0.0 {
        return None;
    }
    let covariance_sum: f64 = points
        .iter()
        .map(|point| (point.size - size) * (point.figure - figure))
        .sum();
    let slope = covariance_sum / size_variance_sum;
    let constant = figure - slope * size;
    let distance = |point: &Point| (point.figure - slope * point.size - constant).abs();
    let largest_distance = points.iter().map(distance).fold(0.0, f64::max);
    let largest_figure = points
        .iter()
        .map(|point| point.figure.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    Some(Line {
        slope,
        constant,
        residual: largest_distance / largest_figure,
    })
}

/// Returns the exponent of a power law fitted to the points: 0 for a constant, 1 for proportional growth, 2 for
/// quadratic growth. Returns `None` if a size or figure is not positive.
pub fn exponent(points: &[Point]) -> Option<f64> {
    if points
        .iter()
        .any(|point| point.size <= 0.0 || point.figure <= 0.0)
    {
        return None;
    }
    let logarithms: Vec<Point> = points
        .iter()
        .map(|point| Point {
            size: point.size.ln(),
            figure: point.figure.ln(),
        })
        .collect();
    line(&logarithms).map(|line| line.slope)
}
