//! Splitting of JSON lists that arrive in arbitrary pieces.

use super::*;

fn split(text: &str, cut: usize) -> Result<Vec<String>, ListError> {
    let (mut splitter, mut out) = (ListSplitter::default(), Vec::new());
    for part in [&text.as_bytes()[..cut], &text.as_bytes()[cut..]] {
        splitter.push(part, |raw| {
            out.push(String::from_utf8_lossy(raw).trim().to_owned());
            Ok(())
        })?;
    }
    if splitter.is_complete() {
        Ok(out)
    } else {
        Err(ListError::Incomplete)
    }
}

#[test]
fn a_list_is_split_into_its_elements_however_it_is_cut() {
    let text = r#" [ {"a":"]},[\"\\\"","b":[1,{"c":2}]} , [] ,17, "x,]" ,{} ] "#;
    let want = [
        r#"{"a":"]},[\"\\\"","b":[1,{"c":2}]}"#,
        "[]",
        "17",
        r#""x,]""#,
        "{}",
    ];
    for cut in 0..=text.len() {
        assert_eq!(split(text, cut).unwrap(), want, "cut at {cut}");
    }
    for end in 0..text.trim_end().len() {
        assert!(split(&text[..end], end / 2).is_err(), "ends at {end}");
    }
    assert_eq!(split("[]", 1).unwrap(), Vec::<String>::new());
    for bad in ["", "{}", "[1,]", "[,1]", "[1]]", "[1] x", "null", "[}"] {
        assert!(split(bad, 0).is_err(), "{bad}");
    }
}
