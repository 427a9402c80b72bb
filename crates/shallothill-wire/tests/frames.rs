//! Messages between processes, with generated input and fixed seeds.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use bytes::{Bytes, BytesMut};
use shallothill_runtime::memory::{MemoryAccount, MemoryOptions};
use shallothill_wire::frame_codec::FrameCodec;
use shallothill_wire::frame_meter::FrameMeteredStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

const MAX_BYTES: usize = 4096;

/// arbtest seeds: the upper half varies, the lower half is the size of the input.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=2_000).map(|n| n << 32 | 0x800)
}

fn codec() -> FrameCodec {
    FrameCodec {
        max_bytes: MAX_BYTES,
    }
}

/// Guards against messages that differ from the length-delimited ones of other releases, and against
/// a decoder that loses bytes when they arrive in pieces.
#[test]
fn messages_are_read_as_the_length_delimited_codec_writes_them() {
    for seed in seeds() {
        arbtest::arbtest(|u: &mut Unstructured<'_>| {
            let mut sent = Vec::new();
            let (mut ours, mut theirs) = (BytesMut::new(), BytesMut::new());
            for _ in 0..u.int_in_range(1..=5)? {
                let message = Bytes::from(u.arbitrary::<Vec<u8>>()?);
                codec().encode(message.clone(), &mut ours).unwrap();
                let mut other = LengthDelimitedCodec::new();
                other.encode(message.clone(), &mut theirs).unwrap();
                sent.push(message);
            }
            assert_eq!(ours, theirs);

            let mut read = Vec::new();
            let mut arrived = BytesMut::new();
            while !theirs.is_empty() {
                let piece = u.int_in_range(1..=theirs.len())?;
                arrived.unsplit(theirs.split_to(piece));
                while let Some(message) = codec().decode(&mut arrived).unwrap() {
                    read.push(message.freeze());
                }
            }
            assert_eq!(read, sent);
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against arbitrary bytes that make the decoder panic or reserve what they announce.
#[test]
fn arbitrary_bytes_reserve_nothing() {
    for seed in seeds() {
        arbtest::arbtest(|u: &mut Unstructured<'_>| {
            let mut bytes = BytesMut::from(u.arbitrary::<&[u8]>()?);
            let before = bytes.capacity();
            while let Ok(Some(_)) = codec().decode(&mut bytes) {}
            assert!(bytes.capacity() <= before);
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against incomplete messages that are not counted, and complete ones that stay counted.
#[tokio::test(start_paused = true)]
async fn only_incomplete_messages_are_reserved() {
    let account = MemoryAccount::new(MemoryOptions::new(64 * 1024));
    tokio::spawn(account.clone().run(CancellationToken::new()));
    let (mut sender, receiver) = tokio::io::duplex(1024 * 1024);
    let bytes = 60 * 1024;
    let mut metered = FrameMeteredStream::new(receiver, account.holder(), bytes);
    let mut buf = vec![0; 128 * 1024];

    sender.write_u32(bytes as u32).await.unwrap();
    sender.write_all(&vec![7; bytes - 1]).await.unwrap();
    let read = time::timeout(Duration::from_secs(1), async {
        while metered.read(&mut buf[..8192]).await.unwrap() > 0 {}
    });
    assert!(read.await.is_err());
    let held = account.used_bytes();
    assert!((bytes..=64 * 1024).contains(&held), "{held} bytes");

    sender.write_all(&[7]).await.unwrap();
    metered.read_exact(&mut buf[..1]).await.unwrap();
    assert_eq!(account.used_bytes(), 0);
}
