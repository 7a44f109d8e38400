// Package manifest describes weights by content: a manifest lists files and
// the digests of their chunks, and its own digest is the identity of a version.
//
// Decode treats its input as untrusted and refuses anything outside the limits
// of this package. CheckSafetensors does the same for the header of a
// safetensors file. Builder makes a manifest from the files of a version.
package manifest
