//! Frames between the two processes of a limiter, as an earlier build wrote them. What they share is a text here; the
//! limiter's own is recorded with the limiter.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;

use emberpin_upgrade::frame::{body_of, hello, read, read_hello, write, Note, HEAD, HELLO};
use recording::{assert_recorded, file};

fn notes() -> Vec<(&'static str, Note<String>)> {
    vec![
        (
            "state",
            Note::Given(b"what the older process knows".to_vec()),
        ),
        ("state-empty", Note::Given(Vec::new())),
        ("refused", Note::Refused),
        ("shared", Note::Shared("spent".into())),
    ]
}

fn decode(frame: &[u8]) -> Note<String> {
    let (head, body) = frame.split_first_chunk::<HEAD>().expect("a head");
    assert_eq!(body_of(head), Ok(body.len()));
    read(head, body).expect("a note")
}

#[test]
fn every_note_is_read_and_written_as_it_was_recorded() {
    assert_recorded(
        "notes.txt",
        &notes(),
        |note| write(note).expect("short enough"),
        decode,
    );
}

#[test]
fn the_hello_of_an_earlier_build_is_understood_and_still_the_same() {
    let recorded = file("hello", || hello().to_vec());
    let recorded: [u8; HELLO] = recorded.try_into().expect("a hello's length");
    assert_eq!(read_hello(&recorded), Ok(()));
    assert_eq!(hello(), recorded);
}
