// Package logging writes logs as JSON lines to standard error, or without
// blocking to standard output (see AsyncHandler).
//
// The message of a line is the stable name of an event, in lower case with
// underscores: "note_accepted". All variable data is in fields. Every line
// carries the fields program and instance. Tokens are redacted.
package logging
