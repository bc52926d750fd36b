package emulator

import "container/list"

// keptParts are the prompt parts that an engine keeps, by the chain of parts
// that leads to them. The least recently used ones yield.
type keptParts struct {
	byChain map[string]*list.Element
	order   *list.List // of keptPart, the least recently used first
	tokens  int
}

type keptPart struct {
	chain  string
	tokens int
}

func newKeptParts() *keptParts {
	return &keptParts{byChain: make(map[string]*list.Element), order: list.New()}
}

// find returns the tokens of the leading parts that are kept, and marks them
// as used.
func (k *keptParts) find(parts []Segment) int {
	found, chain := 0, ""
	for _, part := range parts {
		chain += "/" + part.ID
		element := k.byChain[chain]
		if element == nil {
			break
		}
		k.order.MoveToBack(element)
		found += part.Tokens
	}
	return found
}

// keep keeps all parts of a prompt.
func (k *keptParts) keep(parts []Segment) {
	chain := ""
	for _, part := range parts {
		chain += "/" + part.ID
		if element := k.byChain[chain]; element != nil {
			k.order.MoveToBack(element)
			continue
		}
		k.byChain[chain] = k.order.PushBack(keptPart{chain: chain, tokens: part.Tokens})
		k.tokens += part.Tokens
	}
}

// shrink drops parts until they take no more than the tokens.
func (k *keptParts) shrink(most int) {
	for k.tokens > most && k.order.Len() > 0 {
		oldest := k.order.Remove(k.order.Front()).(keptPart)
		delete(k.byChain, oldest.chain)
		k.tokens -= oldest.tokens
	}
}
