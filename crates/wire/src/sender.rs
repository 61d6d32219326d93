use std::future::poll_fn;

use bytes::{BufMut, Bytes as Buffer, BytesMut};
use h2::{Reason, SendStream};
use schema::codec;
use types::size::Bytes;

use crate::Error;
use crate::frame::{DATA_FLAG, PREFIX_BYTES};

/// Sending direction of a stream.
pub struct Sender {
    stream: SendStream<Buffer>,
}

impl Sender {
    pub(crate) const fn new(stream: SendStream<Buffer>) -> Self {
        Self { stream }
    }

    /// Sends one message and returns its size on the stream.
    ///
    /// This method is not cancel safe: a future that is dropped early may have sent part of a
    /// frame, and the stream is unusable afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Codec`] when the message cannot be encoded, [`Error::TooLarge`] when it is
    /// over the limit, and [`Error::Stream`] or [`Error::Closed`] when the stream has failed.
    pub async fn send<M>(&mut self, message: &M) -> Result<Bytes, Error>
    where
        M: bincode::Encode,
    {
        let body = codec::encode(message)?;
        if body.len() > codec::MESSAGE_LIMIT {
            return Err(Error::TooLarge(body.len()));
        }
        let mut frame = BytesMut::with_capacity(PREFIX_BYTES + body.len());
        frame.put_u32_le(u32::try_from(body.len()).map_err(|_| Error::TooLarge(body.len()))?);
        frame.put_slice(&body);
        let size = Bytes::new(frame.len() as u64);
        self.write_all(frame.freeze()).await?;
        Ok(size)
    }

    /// Sends plain data without encoding or copying it, and returns its size on the stream.
    ///
    /// Data larger than a frame is sent as several frames. This method is not cancel safe, like
    /// [`Sender::send`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stream`] or [`Error::Closed`] when the stream has failed.
    pub async fn send_data(&mut self, mut data: Buffer) -> Result<Bytes, Error> {
        let mut size = 0;
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(codec::MESSAGE_LIMIT));
            let length = u32::try_from(chunk.len()).map_err(|_| Error::TooLarge(chunk.len()))?;
            let prefix = Buffer::copy_from_slice(&(DATA_FLAG | length).to_le_bytes());
            size += PREFIX_BYTES + chunk.len();
            self.write_all(prefix).await?;
            self.write_all(chunk).await?;
        }
        Ok(Bytes::new(size as u64))
    }

    /// Ends the sending direction cleanly.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stream`] when the stream has failed.
    pub fn finish(&mut self) -> Result<(), Error> {
        Ok(self.stream.send_data(Buffer::new(), true)?)
    }

    /// Resets the stream, so that the peer gets an error and not a clean end.
    pub fn reset(&mut self) {
        self.stream.send_reset(Reason::CANCEL);
    }

    /// Waits until the peer resets the stream or the connection fails.
    pub async fn wait_reset(&mut self) {
        // Whether it is a reset or an error, the peer no longer accepts an answer.
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }

    async fn write_all(&mut self, mut data: Buffer) -> Result<(), Error> {
        while !data.is_empty() {
            self.stream.reserve_capacity(data.len());
            let capacity = self.wait_capacity().await?;
            let chunk = data.split_to(capacity.min(data.len()));
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Waits until flow control allows some data to be sent, and returns the number of bytes.
    ///
    /// Checks the present capacity first, since `poll_capacity` wakes only when it increases.
    async fn wait_capacity(&mut self) -> Result<usize, Error> {
        match self.stream.capacity() {
            0 => {
                let capacity = poll_fn(|context| self.stream.poll_capacity(context)).await;
                Ok(capacity.ok_or(Error::Closed)??)
            }
            capacity => Ok(capacity),
        }
    }
}
