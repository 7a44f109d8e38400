// Package release parses and checks release notes and holds the catalogue of
// models and adapters that accepted notes produce.
package release
