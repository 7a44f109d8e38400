// Package outcome defines what a caller is told about its request.
package outcome
