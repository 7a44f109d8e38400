package placement

// Regions are the regions in which a request may be served. The zero value allows all.
type Regions struct {
	// Bound is true if only the named regions are allowed, or none if there are no names.
	Bound bool
	Names []string
}
