// Package operator implements the commands of rhubarbctl.
package operator
