//! Retry delays for refused callers, and detection of callers that retry.
//!
//! The expected overload lasts a second or two, and callers retry once. A retry that meets the
//! same overload is refused for good, so retries are spread over the longest delay that callers
//! honour. A retry is not refused for missing its objective either, as a late answer is better
//! than none.

use std::{collections::HashMap, time::Duration};

/// Callers honour a retry delay of up to 1/`HONOURED_PART` of their remaining time.
const HONOURED_PART: u32 = 3;
/// Bucket width of the timeout histogram.
const STEP: Duration = Duration::from_millis(20);
/// A caller with less than this fraction of the usual timeout is taken for a retry.
const RETRY_BELOW: f64 = 0.97;
/// Maximum number of routes; when it is exceeded, all histograms are reset.
const ROUTES_MAX: usize = 1000;
/// Number of callers of a route after which all counts of its histogram are halved.
const COUNTED_MAX: u32 = 1000;

/// Retry delay for a refused caller: at least `room`, the time until a slot should be free, and
/// spread by `draw` (0 to 1) over the delay that a caller with `left` to wait will honour.
pub fn retry_after(draw: f64, room: Duration, left: Duration) -> Duration {
    let latest = left / HONOURED_PART;
    let spread = latest.saturating_sub(room);
    room + spread.mul_f64(draw.clamp(0.0, 1.0))
}

/// Histograms of the callers' timeouts, by route.
#[derive(Debug, Default)]
pub struct RouteTimeouts {
    routes: HashMap<String, Histogram>,
}

#[derive(Debug, Default)]
struct Histogram {
    /// Number of callers by timeout, in multiples of [`STEP`].
    counts: HashMap<u128, u32>,
    total: u32,
}

impl RouteTimeouts {
    /// Counts a caller and returns whether it is most likely a retry, that is, whether it has less
    /// time left than the usual timeout of the route.
    pub fn observe(&mut self, route: &str, timeout: Duration) -> bool {
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let histogram = self.routes.entry(route.to_owned()).or_default();
        histogram.count(timeout);
        timeout < histogram.usual().mul_f64(RETRY_BELOW)
    }
}

impl Histogram {
    fn count(&mut self, timeout: Duration) {
        let step = timeout.as_millis() / STEP.as_millis();
        *self.counts.entry(step).or_default() += 1;
        self.total += 1;
        if self.total < COUNTED_MAX {
            return;
        }
        self.total /= 2;
        for count in self.counts.values_mut() {
            *count /= 2;
        }
        self.counts.retain(|_, count| *count > 0);
    }

    /// Mode of the histogram; the longest one on a tie.
    fn usual(&self) -> Duration {
        let mode = self
            .counts
            .iter()
            .max_by_key(|(step, count)| (**count, **step));
        let steps = mode.map_or(0, |(step, _)| *step);
        STEP * u32::try_from(steps).unwrap_or(u32::MAX)
    }
}
