// Package confirm holds the confirmation lease of an instance on the accepted revision.
package confirm
