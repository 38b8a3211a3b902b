//! Mutual authentication with a shared key when a connection between daemons is opened.
//!
//! Each side sends an HMAC over its role in the handshake, both names and both nonces. The nonces
//! prevent replay, and the role prevents reflection.

use futures::{SinkExt as _, StreamExt as _};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{Challenge, Hello, Proof};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::Keyring;

const NONCE_BYTES: usize = 32;
const OPENER: &str = "opener";
const ACCEPTOR: &str = "acceptor";

/// Error of a handshake.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("connection ended during the handshake")]
    Ended,
    #[error("handshake frame is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("operating system provided no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    #[error("peer key `{key}` is not in the keyring")]
    UnknownKey { key: Name },
    #[error("peer {id} did not prove that it holds the key")]
    NotProved { id: Name },
}

/// Runs the opener's side of the handshake as `own`; returns the acceptor's authenticated name.
pub(super) async fn open<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framed<S, LengthDelimitedCodec>,
    own: &Name,
    keyring: &Keyring,
) -> Result<Name, Error> {
    let key = keyring.active().clone();
    let hello = Hello {
        id: own.clone(),
        key: key.clone(),
        nonce: nonce()?,
    };
    send(frames, &hello).await?;
    let challenge: Challenge = receive(frames).await?;
    let accepted = transcript(ACCEPTOR, &hello, &challenge.id, &challenge.nonce);
    if !keyring.verify(&key, &accepted, &challenge.mac) {
        return Err(Error::NotProved { id: challenge.id });
    }
    let opened = transcript(OPENER, &hello, &challenge.id, &challenge.nonce);
    let mac = keyring
        .sign(&key, &opened)
        .ok_or(Error::UnknownKey { key })?;
    send(frames, &Proof { mac }).await?;
    Ok(challenge.id)
}

/// Runs the acceptor's side of the handshake as `own`; returns the opener's authenticated name.
pub(super) async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framed<S, LengthDelimitedCodec>,
    own: &Name,
    keyring: &Keyring,
) -> Result<Name, Error> {
    let hello: Hello = receive(frames).await?;
    let nonce = nonce()?;
    let accepted = transcript(ACCEPTOR, &hello, own, &nonce);
    let mac = keyring
        .sign(&hello.key, &accepted)
        .ok_or_else(|| Error::UnknownKey {
            key: hello.key.clone(),
        })?;
    send(
        frames,
        &Challenge {
            id: own.clone(),
            nonce: nonce.clone(),
            mac,
        },
    )
    .await?;
    let proof: Proof = receive(frames).await?;
    let opened = transcript(OPENER, &hello, own, &nonce);
    if !keyring.verify(&hello.key, &opened, &proof.mac) {
        return Err(Error::NotProved { id: hello.id });
    }
    Ok(hello.id)
}

fn nonce() -> Result<String, Error> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)?;
    Ok(hex::encode(nonce))
}

/// Encodes the signed fields with length prefixes, so that different fields never encode to the
/// same bytes.
fn transcript(side: &str, hello: &Hello, acceptor: &str, acceptor_nonce: &str) -> Vec<u8> {
    let mut transcript = Vec::new();
    for part in [side, &hello.id, &hello.nonce, acceptor, acceptor_nonce] {
        transcript.extend_from_slice(&(part.len() as u64).to_be_bytes());
        transcript.extend_from_slice(part.as_bytes());
    }
    transcript
}

async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    frames: &mut Framed<S, LengthDelimitedCodec>,
    message: &impl Serialize,
) -> Result<(), Error> {
    Ok(frames
        .send(Bytes::from(serde_json::to_vec(message)?))
        .await?)
}

async fn receive<S: AsyncRead + AsyncWrite + Unpin, M: DeserializeOwned>(
    frames: &mut Framed<S, LengthDelimitedCodec>,
) -> Result<M, Error> {
    let frame = frames.next().await.ok_or(Error::Ended)??;
    Ok(serde_json::from_slice(&frame)?)
}
