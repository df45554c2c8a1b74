//! Time-outs that do not expire because the process itself was stopped.

use std::time::Duration;

/// The number of parts of a time-out. While the process is stopped, it cannot
/// read data that has arrived. A stop uses up only one part, and the data is
/// read in the next one.
const PARTS: u32 = 4;

/// Waits for a future for up to `limit` of the process's running time; returns
/// `None` if it is not ready by then.
pub async fn running_timeout<F: Future>(
    limit: Duration,
    future: F,
) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    for _ in 0..PARTS {
        let waited = tokio::time::timeout(limit / PARTS, &mut future).await;
        if let Ok(output) = waited {
            return Some(output);
        }
    }
    None
}
