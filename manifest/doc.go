// Package manifest describes weights by content: a manifest lists files and
// the digests of their chunks, and its own digest is the identity of a version.
package manifest
