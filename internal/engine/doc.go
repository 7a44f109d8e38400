// Package engine talks to model engines: load orders, set reports and load reports.
package engine
