//! Linear regression.

use serde::Serialize;

/// `value = base + slope * size`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The value at size zero.
    pub base: f64,
    /// The increase of the value per unit of size.
    pub slope: f64,
}

impl Fit {
    /// Fits a line to points of (size, value).
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let (mean_x, mean_y) = points
            .iter()
            .fold((0.0, 0.0), |(x, y), point| (x + point.0 / count, y + point.1 / count));
        let (covariance, variance) = points.iter().fold((0.0, 0.0), |(xy, xx), point| {
            let distance = point.0 - mean_x;
            (xy + distance * (point.1 - mean_y), xx + distance * distance)
        });
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        Self { base: mean_y - slope * mean_x, slope }
    }
}
