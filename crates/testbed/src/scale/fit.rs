//! Least-squares fits of straight lines through measurements.

/// A straight line, and the root mean square of its residuals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at zero.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

/// Returns the line with the lowest sum of squared residuals, or `None` for fewer than two different
/// sizes.
pub fn least_squares(points: &[(f64, f64)]) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let x_deviation_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || x_deviation_squares <= 0.0 {
        return None;
    }
    let xy_deviation_products: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = xy_deviation_products / x_deviation_squares;
    let intercept = mean_y - slope * mean_x;
    let residual_squares: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    Some(LinearFit {
        intercept,
        slope,
        residual: (residual_squares / count).sqrt(),
    })
}
