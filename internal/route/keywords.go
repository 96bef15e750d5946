package route

func newSet(words ...string) map[string]bool {
	m := make(map[string]bool, len(words))
	for _, w := range words {
		m[w] = true
	}
	return m
}

// unsupportedKeywords are the first keywords of statements that leave state on a
// connection that other callers use afterwards, or that exchange messages with the
// caller while they run.
var unsupportedKeywords = newSet("copy", "listen", "unlisten", "notify", "load", "execute")

// sessionFunctions are functions that change the session of a connection that
// other callers use afterwards.
var sessionFunctions = newSet("set_config", "pg_advisory_lock", "pg_advisory_lock_shared",
	"pg_try_advisory_lock", "pg_try_advisory_lock_shared", "pg_notify")

// writeKeywords are keywords and functions of statements that write or lock.
var writeKeywords = newSet("insert", "update", "delete", "merge", "into", "call", "truncate", "nextval", "setval",
	"share", "for")

// readOnlyNames are the names that may precede a parenthesis in a statement that
// does not write: keywords, types and built-in functions. If a function is missing
// here, a statement that calls it is not retried after a lost answer. It is never
// run twice.
var readOnlyNames = newSet(
	"select", "from", "where", "and", "or", "not", "in", "any", "some", "all", "exists", "as", "on", "using", "join",
	"lateral", "values", "union", "intersect", "except", "distinct", "by", "having", "limit", "offset", "case", "when",
	"then", "else", "is", "like", "ilike", "between", "with", "materialized", "over", "filter", "within", "group",
	"array", "row", "cast", "interval", "return",
	"char", "varchar", "numeric", "decimal", "bit", "time", "timestamp", "float",
	"count", "sum", "avg", "min", "max", "array_agg", "string_agg", "json_agg", "jsonb_agg", "bool_and", "bool_or",
	"every", "row_number", "rank", "dense_rank", "lag", "lead", "first_value", "last_value", "ntile",
	"coalesce", "nullif", "greatest", "least", "abs", "ceil", "ceiling", "floor", "round", "trunc", "mod", "power",
	"sqrt", "sign", "length", "char_length", "octet_length", "lower", "upper", "substr", "substring", "trim", "ltrim",
	"rtrim", "btrim", "replace", "position", "strpos", "concat", "concat_ws", "left", "right", "lpad", "rpad",
	"split_part", "to_char", "to_date", "to_timestamp", "to_number", "date_trunc", "date_part", "extract", "age",
	"now", "clock_timestamp", "current_timestamp", "generate_series", "unnest", "array_length", "cardinality", "md5",
	"to_json", "to_jsonb", "json_build_object", "jsonb_build_object", "row_to_json", "version", "current_setting",
)
