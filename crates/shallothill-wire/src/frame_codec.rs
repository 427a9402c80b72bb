//! Messages behind their length, without memory for what has not arrived.

use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// `HEADER_BYTES` is the length of the header of a message, which holds the length of the rest.
pub const HEADER_BYTES: usize = 4;

/// `FrameCodec` reads and writes the format of `LengthDelimitedCodec`, which reserves the announced
/// length of a message at once.
#[derive(Debug)]
pub struct FrameCodec {
    /// The largest message.
    pub max_bytes: usize,
}

impl FrameCodec {
    fn check(&self, bytes: usize) -> io::Result<()> {
        if bytes > self.max_bytes {
            let text = "the message is larger than allowed";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let Some(header) = src.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*header) as usize;
        self.check(bytes)?;
        if src.len() - HEADER_BYTES < bytes {
            return Ok(None);
        }
        src.advance(HEADER_BYTES);
        Ok(Some(src.split_to(bytes)))
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, message: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.check(message.len())?;
        dst.reserve(HEADER_BYTES + message.len());
        dst.put_u32(message.len() as u32);
        dst.extend_from_slice(&message);
        Ok(())
    }
}
