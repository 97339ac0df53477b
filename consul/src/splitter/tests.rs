//! Splitting of JSON lists whose bytes arrive in arbitrary parts.

use super::*;

fn split(text: &str, cut: usize) -> Result<Vec<String>, ListError> {
    let (mut splitter, mut elements) = (ListSplitter::default(), Vec::new());
    for part in [&text.as_bytes()[..cut], &text.as_bytes()[cut..]] {
        splitter.push(part, |element| {
            elements.push(String::from_utf8_lossy(element).trim().to_owned());
            Ok(())
        })?;
    }
    if splitter.is_complete() {
        Ok(elements)
    } else {
        Err(ListError::Incomplete)
    }
}

#[test]
fn a_list_is_split_into_its_elements_wherever_the_bytes_are_divided() {
    let text = r#" [ {"a":"]},[\"\\\"","b":[1,{"c":2}]} , [] ,17, "x,]" ,{} ] "#;
    let expected = [
        r#"{"a":"]},[\"\\\"","b":[1,{"c":2}]}"#,
        "[]",
        "17",
        r#""x,]""#,
        "{}",
    ];
    for cut in 0..=text.len() {
        assert_eq!(split(text, cut).unwrap(), expected, "cut at {cut}");
    }
    for end in 0..text.trim_end().len() {
        assert!(split(&text[..end], end / 2).is_err(), "ends at {end}");
    }
    assert_eq!(split("[]", 1).unwrap(), Vec::<String>::new());
    for invalid in ["", "{}", "[1,]", "[,1]", "[1]]", "[1] x", "null", "[}"] {
        assert!(split(invalid, 0).is_err(), "{invalid}");
    }
}
