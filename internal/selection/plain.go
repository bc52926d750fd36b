package selection

// Server is a plain backend server as a candidate for one request.
type Server struct {
	Running  int     // requests at it, of all routers
	Slots    int     // requests that it works on at once, 0 if unknown
	SameZone bool    // in the router's availability zone
	Latency  float64 // recent time of an answer in seconds, 0 if unknown
}

// farPenalty is what another availability zone counts, in parts of a slot.
// It only decides between servers that are equally busy.
const farPenalty = 0.2

// ChooseServer returns the index of the server with the shortest expected wait, or -1
// for an empty list. offset rotates the list, so that routers that know the
// same don't all choose the first of equal servers.
func ChooseServer(servers []Server, offset int) int {
	best := -1
	var bestCost float64
	for i := range servers {
		index := (i + offset) % len(servers)
		cost := plainCost(servers[index])
		if best < 0 || cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best
}

// unknownLatency stands for the latency of a server that has not answered yet.
const unknownLatency = 0.01

func plainCost(server Server) float64 {
	occupied := float64(server.Running)
	if !server.SameZone {
		occupied += farPenalty
	}
	slots := max(float64(server.Slots), 1)
	latency := server.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	return (1 + occupied) / slots * latency
}
