package selection

// Server is a plain backend server as a candidate for one request.
type Server struct {
	Running  int     // requests at it from all routers
	Slots    int     // requests that it processes concurrently, 0 if unknown
	SameZone bool    // it is in the router's availability zone
	Latency  float64 // recent answer time in seconds, 0 if unknown
}

// otherZonePenalty is the cost of another availability zone, in requests. It only decides
// between servers that are equally busy.
const otherZonePenalty = 0.2

// ChooseServer returns the index of the server with the shortest expected wait, or -1 for
// an empty list. offset rotates the list, so that routers with the same information don't
// all choose the first of equal servers.
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

// assumedLatency is the latency of a server that has not answered yet.
const assumedLatency = 0.01

func plainCost(server Server) float64 {
	occupied := float64(server.Running)
	if !server.SameZone {
		occupied += otherZonePenalty
	}
	slots := max(float64(server.Slots), 1)
	latency := server.Latency
	if latency == 0 {
		latency = assumedLatency
	}
	return (1 + occupied) / slots * latency
}
