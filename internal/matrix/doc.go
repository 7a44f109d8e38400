// Package matrix runs the fault matrix.
package matrix
