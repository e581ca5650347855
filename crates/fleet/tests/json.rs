//! The bound on the values of a JSON text.

use chestnutnotch::json::has_more_values;

/// Names each case: a text, the number of its values, and whether it is JSON to its end.
macro_rules! values {
    ($($name:ident: $text:expr => $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let text: &str = $text;
            assert!(has_more_values(text.as_bytes(), $count - 1));
            assert!(!has_more_values(text.as_bytes(), $count));
        }
    )*};
}

values! {
    one_string: r#""three bytes and more""# => 1;
    list: "[1,2.5,-3,true,null]" => 6;
    object: r#"{"a":"b","c":[],"d":{"e":false}}"# => 5;
    lists_in_lists: "[[[[[1]]]]]" => 6;
    keys_are_no_values: r#"{"a":1,"a":2,"b":3}"# => 4;
    up_to_a_fault: "[1,2,3,x,5,6,7,8]" => 5;
}

#[test]
fn text_of_legal_size_is_counted_without_its_values() {
    let text = format!("[{}0]", "0,".repeat(1 << 20));
    assert!(has_more_values(text.as_bytes(), 1 << 20));
    assert!(!has_more_values(text.as_bytes(), (1 << 20) + 2));
}
