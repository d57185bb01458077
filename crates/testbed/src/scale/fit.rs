//! Straight lines through measurements by least squares. It owns nothing.

/// A straight line, and the root mean square of what it misses the points by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at zero.
    pub intercept: f64,
    /// How much the value grows with one more.
    pub slope: f64,
    /// The root mean square of what the line misses by.
    pub residual: f64,
}

/// The line with the least sum of squares; none through fewer than two different sizes.
pub fn least_squares(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let together: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = together / spread;
    let intercept = mean_y - slope * mean_x;
    let missed: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    Some(LinearFit {
        intercept,
        slope,
        residual: (missed / count).sqrt(),
    })
}
