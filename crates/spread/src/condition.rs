use tokio::sync::watch;

/// Waits until the value meets a condition and returns a clone of it, so that the caller holds no
/// guard across an await.
pub(crate) async fn wait_for<T, F>(sender: &watch::Sender<T>, condition: F) -> T
where
    T: Clone,
    F: FnMut(&T) -> bool,
{
    let mut receiver = sender.subscribe();
    let value = receiver
        .wait_for(condition)
        .await
        .map(|value| value.clone());
    match value {
        Ok(value) => value,
        // The sender is borrowed for the whole wait, so the channel cannot close.
        Err(_) => std::future::pending().await,
    }
}
