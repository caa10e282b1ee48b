//! What clients that do not keep to the limits send.

use {
    crate::crowd::{ClientRequests, OWN_ID, Script},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Bytes that a client sends at once where it sends piece by piece.
const PIECE_BYTES: usize = 8_192;

/// Chunk of a few bytes, with its length and line ends.
const SMALL_CHUNK: &[u8] = b"3\r\nabc\r\n";

/// Small chunks that are written at once.
const SMALL_CHUNKS_AT_ONCE: usize = 1_024;

/// Multiple of the longest body that a client sends which is far over the limit.
const FAR_OVER: usize = 8;

/// Pieces of a line that does not end; more than a listener may take of one.
const LINE_PIECES: usize = 64;

/// Pages or cancels that a client requests without reading a response.
const UNREAD_REQUESTS: usize = 2_000;

/// Jobs that a client submits without reading a response.
const UNREAD_SUBMISSIONS: usize = 1_000;

/// Requests of a client that keeps a process busy.
const BUSY_REQUESTS: usize = 1_000_000;

/// Id that all requests of a crowd have in common.
const SHARED_ID: &str = "00000000000000aa";

/// What a crowd does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// Valid jobs whose bodies have the longest length, all under one id.
    LargeBodies,
    /// Valid jobs whose bodies have the longest length, under an id of their own each.
    LargeBodiesWithOwnIds,
    /// Valid jobs with the most tasks, under an id of their own each.
    WideJobs,
    /// Bodies of legal length in pieces, of which the last byte is not sent.
    BodiesWithoutTheirEnd,
    /// Chunked bodies of legal length, in large chunks and without their last chunk.
    LargeChunks,
    /// Chunked bodies of legal length, in chunks of 3 bytes and without their last chunk.
    SmallChunks,
    /// A chunked body whose first chunk has an extension that does not end.
    EndlessChunkExtension,
    /// A chunked body that is refused by its path, with an extension that does not end.
    EndlessExtensionOfRefused,
    /// Bodies that announce a length far over the limit, and are sent.
    AnnouncedFarOver,
    /// Chunked bodies that are far over the limit.
    SentFarOver,
    /// Heads of many long headers that do not end.
    EndlessHeads,
    /// Many pages at once, whose responses nobody reads.
    UnreadPages,
    /// Many cancels at once, whose responses nobody reads.
    UnreadCancels,
    /// Many submissions at once, whose responses nobody reads.
    UnreadSubmissions,
    /// Cancels without a pause, whose responses are read.
    BusyCancels,
    /// Connections on which nothing is sent.
    Silent,
}

/// The name is not that of a shape.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no crowd is called {0:?}; crowds: {1}")]
pub struct UnknownShape(String, String);

impl Shape {
    /// All shapes.
    pub const ALL: [Self; 16] = [
        Self::LargeBodies,
        Self::LargeBodiesWithOwnIds,
        Self::WideJobs,
        Self::BodiesWithoutTheirEnd,
        Self::LargeChunks,
        Self::SmallChunks,
        Self::EndlessChunkExtension,
        Self::EndlessExtensionOfRefused,
        Self::AnnouncedFarOver,
        Self::SentFarOver,
        Self::EndlessHeads,
        Self::UnreadPages,
        Self::UnreadCancels,
        Self::UnreadSubmissions,
        Self::BusyCancels,
        Self::Silent,
    ];

    /// Returns the name of the shape on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::LargeBodies => "large-bodies",
            Self::LargeBodiesWithOwnIds => "large-bodies-with-own-ids",
            Self::WideJobs => "wide-jobs",
            Self::BodiesWithoutTheirEnd => "bodies-without-their-end",
            Self::LargeChunks => "large-chunks",
            Self::SmallChunks => "small-chunks",
            Self::EndlessChunkExtension => "endless-chunk-extension",
            Self::EndlessExtensionOfRefused => "endless-extension-of-refused",
            Self::AnnouncedFarOver => "announced-far-over",
            Self::SentFarOver => "sent-far-over",
            Self::EndlessHeads => "endless-heads",
            Self::UnreadPages => "unread-pages",
            Self::UnreadCancels => "unread-cancels",
            Self::UnreadSubmissions => "unread-submissions",
            Self::BusyCancels => "busy-cancels",
            Self::Silent => "silent",
        }
    }

    /// Returns what each client of the crowd sends.
    #[must_use]
    pub fn script(self, requests: &dyn ClientRequests) -> Script {
        match self {
            Self::LargeBodies => whole_body(requests, SHARED_ID),
            Self::LargeBodiesWithOwnIds => whole_body(requests, OWN_ID),
            Self::WideJobs => Script {
                head: submission(requests, &requests.wide_job(), OWN_ID),
                ..Script::default()
            },
            Self::BodiesWithoutTheirEnd => body_without_its_end(requests),
            Self::LargeChunks => large_chunks_without_an_end(requests),
            Self::SmallChunks => small_chunks_without_an_end(requests),
            Self::EndlessChunkExtension => Script {
                head: [chunked(requests).as_slice(), b"1;"].concat(),
                ..endless_line()
            },
            Self::EndlessExtensionOfRefused => {
                let head = "PUT /no-such-path HTTP/1.1\r\nHost: nobody.example\r\n\
                    Transfer-Encoding: chunked\r\n\r\n1;";
                Script {
                    head: head.into(),
                    ..endless_line()
                }
            }
            Self::AnnouncedFarOver => announced_far_over_the_limit(requests),
            Self::SentFarOver => sent_far_over_the_limit(requests),
            Self::EndlessHeads => head_without_an_end(requests),
            Self::UnreadPages => repeated(&requests.page(), UNREAD_REQUESTS),
            Self::UnreadCancels => repeated(&requests.cancel(), UNREAD_REQUESTS),
            Self::UnreadSubmissions => {
                let piece = submission(requests, &requests.job(), OWN_ID);
                Script {
                    piece,
                    repeats: UNREAD_SUBMISSIONS,
                    ..Script::default()
                }
            }
            Self::BusyCancels => Script {
                reads: true,
                ..repeated(&requests.cancel(), BUSY_REQUESTS)
            },
            Self::Silent => Script::default(),
        }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Shape {
    type Err = UnknownShape;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|shape| shape.name() == name);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::name).join(", ");
            UnknownShape(name.to_owned(), names)
        })
    }
}

/// Returns the head of a submission under an id, with the headers of its framing.
fn submission_head(requests: &dyn ClientRequests, framing: &str, id: &str) -> Vec<u8> {
    let head = requests.submission_head().replace(OWN_ID, id);
    format!("{head}{framing}\r\n\r\n").into_bytes()
}

fn with_length(requests: &dyn ClientRequests, bytes: usize, id: &str) -> Vec<u8> {
    submission_head(requests, &format!("Content-Length: {bytes}"), id)
}

fn chunked(requests: &dyn ClientRequests) -> Vec<u8> {
    submission_head(requests, "Transfer-Encoding: chunked", SHARED_ID)
}

/// Returns a whole submission.
fn submission(requests: &dyn ClientRequests, body: &str, id: &str) -> Vec<u8> {
    let mut req = with_length(requests, body.len(), id);
    req.extend(body.as_bytes());
    req
}

fn repeated(req: &str, repeats: usize) -> Script {
    Script {
        piece: req.as_bytes().to_vec(),
        repeats,
        ..Script::default()
    }
}

/// Returns a line without its end.
fn endless_line() -> Script {
    Script {
        piece: vec![b'e'; PIECE_BYTES],
        repeats: LINE_PIECES,
        ..Script::default()
    }
}

fn whole_body(requests: &dyn ClientRequests, id: &str) -> Script {
    let longest = requests.longest_body();
    let mut body = requests.job().into_bytes();
    body.resize(longest, b' ');
    Script {
        head: with_length(requests, longest, id),
        piece: body,
        repeats: 1,
        ..Script::default()
    }
}

fn body_without_its_end(requests: &dyn ClientRequests) -> Script {
    let longest = requests.longest_body();
    Script {
        head: with_length(requests, longest, SHARED_ID),
        piece: vec![b' '; PIECE_BYTES],
        repeats: longest / PIECE_BYTES - 1,
        tail: vec![b' '; PIECE_BYTES - 1],
        ..Script::default()
    }
}

fn large_chunks_without_an_end(requests: &dyn ClientRequests) -> Script {
    let mut piece = format!("{PIECE_BYTES:x}\r\n").into_bytes();
    piece.resize(piece.len() + PIECE_BYTES, b' ');
    piece.extend(b"\r\n");
    Script {
        head: chunked(requests),
        piece,
        repeats: requests.longest_body() / PIECE_BYTES,
        ..Script::default()
    }
}

fn small_chunks_without_an_end(requests: &dyn ClientRequests) -> Script {
    Script {
        head: chunked(requests),
        piece: SMALL_CHUNK.repeat(SMALL_CHUNKS_AT_ONCE),
        repeats: requests.longest_body() / 3 / SMALL_CHUNKS_AT_ONCE,
        ..Script::default()
    }
}

fn announced_far_over_the_limit(requests: &dyn ClientRequests) -> Script {
    let bytes = FAR_OVER * requests.longest_body();
    Script {
        head: with_length(requests, bytes, SHARED_ID),
        piece: vec![b' '; PIECE_BYTES],
        repeats: bytes / PIECE_BYTES,
        ..Script::default()
    }
}

fn sent_far_over_the_limit(requests: &dyn ClientRequests) -> Script {
    let script = large_chunks_without_an_end(requests);
    Script {
        repeats: FAR_OVER * script.repeats,
        ..script
    }
}

fn head_without_an_end(requests: &dyn ClientRequests) -> Script {
    Script {
        head: requests.open_head().into_bytes(),
        piece: format!("Filler: {}\r\n", "x".repeat(400)).into_bytes(),
        repeats: 120,
        ..Script::default()
    }
}
