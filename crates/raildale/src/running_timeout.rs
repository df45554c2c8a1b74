//! Time-outs that a standstill of the process does not use up.

use std::time::Duration;

/// Parts of a time-out. While the process does not run, it reads nothing of
/// what has come: a standstill ends one part, and what has come is read in the
/// next one.
const PARTS: u32 = 4;

/// Waits for a future while the process runs for `most`; `None` if it is not
/// ready by then.
pub async fn running_timeout<F: Future>(
    most: Duration,
    future: F,
) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    for _ in 0..PARTS {
        let waited = tokio::time::timeout(most / PARTS, &mut future).await;
        if let Ok(output) = waited {
            return Some(output);
        }
    }
    None
}
