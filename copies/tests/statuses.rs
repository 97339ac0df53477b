//! Entries that are of use for a time only: the status of triggers, in pieces, and that a neighbour has done with one.

use linnetknot_copies::*;

const ROOM: Room = Room { entries: 3, passing: 6, logs: 9 };
const OWN: Log = (1, 7);

fn said(book: &mut Book, log: Log, what: What, at: Micros) -> Result<Entry, Full> {
    book.append(log, (what, at, false), ROOM)
}

fn piece(number: u64, part: u16, text: &str) -> What {
    What::Status { number, part, text: text.to_owned() }
}

#[test]
fn a_status_is_told_in_the_order_of_its_pieces_until_one_is_missing_or_it_is_gone() {
    let mut book = Book::default();
    for (number, part, text) in [(5, 0, "{a"), (6, 0, "{x}"), (5, 1, "b}"), (4, 1, "cut}")] {
        said(&mut book, OWN, piece(number, part, text), 10).unwrap();
    }
    let told = |book: &Book| [4, 5, 6].map(|number| book.status(1, number));
    assert_eq!(told(&book), [None, Some("{ab}".into()), Some("{x}".into())]);
    assert_eq!(book.status(2, 5), None, "another writer's");
    assert_eq!(book.triggers().into_iter().collect::<Vec<_>>(), [(1, 4), (1, 5), (1, 6)]);
    // Another proxy was told that it is done with.
    said(&mut book, (2, 9), What::Gone { writer: 1, number: 5 }, 12).unwrap();
    assert_eq!(told(&book), [None, None, Some("{x}".into())]);
}

#[test]
fn what_passes_takes_no_room_of_what_holds_for_good_and_goes_with_its_time() {
    let mut book = Book::default();
    (0..6).for_each(|part| drop(said(&mut book, OWN, piece(5, part, "x"), 10 + u64::from(part)).unwrap()));
    assert_eq!(said(&mut book, OWN, piece(6, 0, "x"), 20), Err(Full));
    (0..3).for_each(|group| drop(said(&mut book, OWN, What::Group(group), 20).unwrap()));
    assert_eq!(said(&mut book, OWN, What::Group(3), 20), Err(Full), "nor does it give any");
    let (end, sum) = (book.end(OWN), book.sum());
    let gone: Vec<Seq> = book.expire(113, 100).iter().map(|e| e.seq).collect();
    assert_eq!((gone, book.len()), (vec![1, 2, 3, 4], 5));
    assert_eq!((book.end(OWN), book.sum()), (end, sum), "who has let go less has the same logs");
    assert!(book.expire(113, 100).is_empty());
    // One who was away passes over what has gone.
    let mut away = Book::default();
    for entry in book.behind(OWN, 0) {
        assert_eq!(away.take(&entry, ROOM), Taken::New);
    }
    assert_eq!((away.end(OWN), away.sum(), away.len()), (end, sum, 5));
}

#[test]
fn the_last_place_of_a_log_is_kept_and_that_a_status_is_gone_outlives_the_status() {
    let mut book = Book::default();
    said(&mut book, OWN, piece(5, 0, "x"), 10).unwrap();
    said(&mut book, OWN, piece(6, 0, "y"), 10).unwrap();
    let gone = What::Gone { writer: 1, number: 5 };
    said(&mut book, (2, 3), gone.clone(), 10).unwrap();
    said(&mut book, (2, 3), piece(1, 0, "z"), 10).unwrap();
    let over: Vec<(Log, Seq)> = book.expire(110, 100).iter().map(|e| (e.log, e.seq)).collect();
    assert_eq!(over, [(OWN, 1)], "6 is the last, and 5 may be had elsewhere still");
    assert_eq!((book.end(OWN), book.latest(&gone)), (2, Some(10)));
    let over: Vec<Seq> = book.expire(210, 100).iter().map(|e| e.seq).collect();
    assert_eq!(over, [1], "by then nobody has what it is about");
    said(&mut book, OWN, What::Drain, 300).unwrap();
    assert_eq!(book.expire(300, 100).len(), 1, "it is not the last any more");
}

/// A disk that did not take a status in all of its time need not take it any more.
#[test]
fn what_the_disk_did_not_take_before_its_time_was_over_holds_no_promise_up() {
    let options = Options { passing_us: 100, wait: 0, ..Options::default() };
    let mut copies = Copies::new(OWN, Book::default(), 1, options);
    let first = copies.say(piece(5, 0, "x"), 10, false).unwrap();
    copies.failed(first.log, first.seq);
    let second = copies.say(What::Group(3), 200, false).unwrap();
    assert_eq!(copies.expire(200).len(), 1);
    assert!(copies.again().is_empty());
    copies.kept(second.log, second.seq);
    assert_eq!(copies.mark(OWN), 0, "what stands before it may have been superseded by something unkept");
    assert!(copies.again().is_empty(), "it is known to be nothing that is in force");
    assert_eq!((copies.mark(OWN), copies.is_kept()), (2, true));
}
