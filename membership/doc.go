// Package membership keeps the table of endpoints learned from announcements.
package membership
