// Package logging sets up JSON-lines logs on standard error.
//
// The message of a line is the stable name of an event, in lower case with
// underscores: "note_accepted". Everything that varies is a field. Every line
// carries the fields program and instance. Tokens are redacted.
package logging
