// Package manifest implements content-addressed descriptions of weights. A
// manifest lists files and the digests of their chunks; its own digest
// identifies a version.
//
// Decode treats its input as untrusted and rejects anything outside the limits
// of this package. CheckSafetensors does the same for the header of a
// safetensors file. Builder creates a manifest from the files of a version.
package manifest
