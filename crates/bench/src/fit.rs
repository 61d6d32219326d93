use std::fmt::{self, Display, Formatter};

/// Straight line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth for each unit of the varied quantity.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Root of the mean squared distance between points and line.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to `(x, y)` points; `None` with fewer than two distinct `x`.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        #[expect(clippy::cast_precision_loss, reason = "few points")]
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= f64::EPSILON {
            return None;
        }
        let slope = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum::<f64>()
            / spread;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).powi(2))
            .sum();
        Some(Self {
            slope,
            intercept,
            residual: (squares / count).sqrt(),
        })
    }

    /// Value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

impl Display for Fit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.4} + {:.6} x (residual {:.4})",
            self.intercept, self.slope, self.residual
        )
    }
}
