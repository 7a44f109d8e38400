// Package release parses and validates release notes and applies them to the
// catalogue of models and adapters.
package release
