// Package operator implements the commands of rhubarbctl over the operator API
// of the control replicas. api.go defines the documents of that API.
package operator
