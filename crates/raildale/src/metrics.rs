//! Metrics, in the Prometheus text format.

use std::{collections::BTreeMap, fmt::Write, sync::Mutex};

use hdrhistogram::Histogram;

/// Counters, gauges and histograms of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    counters: BTreeMap<Series, u64>,
    gauges: BTreeMap<Series, u64>,
    histograms: BTreeMap<Series, Histogram<u64>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    name: &'static str,
    label: String,
}

/// The quantiles rendered for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

impl Metrics {
    /// Creates a registry without series.
    pub fn new() -> Metrics {
        Metrics::default()
    }

    /// Adds `amount` to a counter. `label` is a rendered label such as
    /// `code="1000"`, or empty.
    pub fn add(&self, name: &'static str, label: &str, amount: u64) {
        let series = Series { name, label: label.to_string() };
        *self.lock().counters.entry(series).or_default() += amount;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, label: &str, value: u64) {
        let series = Series { name, label: label.to_string() };
        self.lock().gauges.insert(series, value);
    }

    /// Records a value in a histogram, whose name ends in the unit.
    pub fn record(&self, name: &'static str, label: &str, value: u64) {
        let series = Series { name, label: label.to_string() };
        let mut inner = self.lock();
        let histogram = inner.histograms.entry(series).or_insert_with(|| {
            Histogram::new(3).expect("3 significant digits are supported")
        });
        histogram.saturating_record(value);
    }

    /// Renders all series in the text format.
    pub fn render(&self) -> String {
        let inner = self.lock();
        let mut page = String::new();
        for (series, value) in &inner.counters {
            row(&mut page, series.name, &[&series.label], *value);
        }
        for (series, value) in &inner.gauges {
            row(&mut page, series.name, &[&series.label], *value);
        }
        for (series, histogram) in &inner.histograms {
            for quantile in QUANTILES {
                let label = format!("quantile=\"{quantile}\"");
                let value = histogram.value_at_quantile(quantile);
                row(&mut page, series.name, &[&series.label, &label], value);
            }
            let count = format!("{}_count", series.name);
            row(&mut page, &count, &[&series.label], histogram.len());
        }
        page
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn row(page: &mut String, name: &str, labels: &[&str], value: u64) {
    let labels: Vec<&str> =
        labels.iter().copied().filter(|label| !label.is_empty()).collect();
    let labels = match labels.is_empty() {
        true => String::new(),
        false => format!("{{{}}}", labels.join(",")),
    };
    let _ = writeln!(page, "raildale_{name}{labels} {value}");
}
