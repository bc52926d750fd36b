package membership

// SelfReport is what a node says of itself in the envelope of a control message.
type SelfReport struct {
	Incarnation    uint64 // start time of the process, Unix nanoseconds
	LeavingChanges uint32 // times that Leaving has changed in this incarnation
	Leaving        bool
}

// newerThan orders the words of one node. Messages may arrive late and
// reordered, so the order of arrival says nothing.
func (w SelfReport) newerThan(other SelfReport) bool {
	if w.Incarnation != other.Incarnation {
		return w.Incarnation > other.Incarnation
	}
	return w.LeavingChanges > other.LeavingChanges
}
