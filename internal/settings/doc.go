// Package settings reads and checks YAML settings files. Each daemon defines
// its own settings type next to its code.
package settings
