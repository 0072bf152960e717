//! Which statements are classified as reads, and which are refused.

use model::Kind;
use pg::classify::{Unsupported, classify};
use proptest::prelude::*;

#[test]
fn only_what_is_proved_to_read_is_a_read() {
    let reads = [
        "SELECT 1",
        "SELECT count(*), max(v) FROM kv WHERE k = 'a'",
        "SELECT a.v FROM kv a JOIN kv b ON a.k = b.k ORDER BY 1 LIMIT 3",
        "WITH t AS (SELECT 1) SELECT * FROM t",
        "SELECT 1 UNION SELECT 2; SELECT 3",
        "VALUES (1)",
        "EXPLAIN SELECT 1",
    ];
    for sql in reads {
        assert_eq!(classify(sql).unwrap().kind, Kind::Read, "{sql}");
    }
    let writes = [
        "INSERT INTO kv VALUES ('a', 'b')",
        "SELECT * FROM kv FOR UPDATE",
        "SELECT nextval('s')",
        "SELECT my_function()",
        "SELECT * FROM my_function()",
        "SELECT v INTO copy FROM kv",
        "WITH gone AS (DELETE FROM kv RETURNING *) SELECT * FROM gone",
        "SELECT 1; DELETE FROM kv",
        "EXPLAIN ANALYZE DELETE FROM kv",
        "SELECT (SELECT pg_advisory_lock(1))",
        "this is no statement at all",
    ];
    for sql in writes {
        assert_eq!(classify(sql).unwrap().kind, Kind::Write, "{sql}");
    }
}

#[test]
fn transaction_control_statements_are_recognised() {
    for sql in [
        "BEGIN",
        "START TRANSACTION",
        "COMMIT",
        "ROLLBACK",
        "SAVEPOINT a",
    ] {
        assert!(classify(sql).unwrap().transaction_control, "{sql}");
    }
    assert!(
        !classify("INSERT INTO kv VALUES ('a', 'b')")
            .unwrap()
            .transaction_control
    );
}

#[test]
fn ending_and_opening_a_transaction_in_one_message_is_refused() {
    let chains = [
        "COMMIT AND CHAIN",
        "ROLLBACK AND CHAIN",
        "COMMIT; BEGIN",
        "INSERT INTO kv VALUES ('a', 'b'); COMMIT; START TRANSACTION; SELECT 1",
    ];
    for sql in chains {
        assert_eq!(classify(sql), Err(Unsupported::ChainedTransaction), "{sql}");
    }
    assert!(classify("BEGIN; INSERT INTO kv VALUES ('a', 'b'); COMMIT").is_ok());
}

proptest! {
    #[test]
    fn any_text_is_classified_without_a_panic(sql in ".{0,200}") {
        let _ = classify(&sql);
    }

    #[test]
    fn calls_into_the_reserved_schema_are_refused(call in "[a-z]{1,10}", spaces in " {0,3}") {
        let sql = format!("SELECT{spaces} * FROM{spaces} caraway.{call}(1)");
        prop_assert_eq!(classify(&sql), Err(Unsupported::ReservedSchema));
    }
}
