package membership

// SelfReport is what a node states about itself in the envelope of a control
// message.
type SelfReport struct {
	Incarnation    uint64 // start time of the process, Unix nanoseconds
	LeavingChanges uint32 // number of changes of Leaving in this incarnation
	Leaving        bool
}

// newerThan reports whether the node made r after other. Messages may arrive
// late and reordered, so the order of arrival is not enough.
func (r SelfReport) newerThan(other SelfReport) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.LeavingChanges > other.LeavingChanges
}
