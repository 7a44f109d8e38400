// Package logging sets up JSON-lines logs on standard error.
package logging
