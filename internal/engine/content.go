package engine

import (
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// wordBytes is the length of every generated token. The fixed length allows a
// stream to be resumed at any byte without storing what was sent.
const wordBytes = 8

// answerSigma is the standard deviation of the logarithm of answer lengths.
const answerSigma = 0.8

const wordLetters = "abcdefghijklmnopqrstuvwxyz012345"

// Text returns the complete generated text of a request: n tokens that depend
// only on the request id and their position.
func Text(id string, n int) string {
	var text strings.Builder
	seed := xxhash.Sum64String(id)
	for i := range n {
		text.Write(word(seed, i))
	}
	return text.String()
}

// CheckText returns an error that gives the first difference unless text is the
// complete text of the request.
func CheckText(id, text string, tokens int) error {
	want := Text(id, tokens)
	if text == want {
		return nil
	}
	at := 0
	for at < min(len(text), len(want)) && text[at] == want[at] {
		at++
	}
	return fmt.Errorf("text of %s: %d bytes, want %d, first difference at byte %d", id, len(text), len(want), at)
}

// Fingerprint returns a hash of a request's body. Answers carry it in the field
// system_fingerprint, so that callers can detect answers to other requests.
func Fingerprint(body []byte) string {
	var sum [8]byte
	value := xxhash.Sum64(body)
	for i := range sum {
		sum[i] = byte(value >> (8 * i))
	}
	return hex.EncodeToString(sum[:])
}

// word returns the token at a position, wordBytes long.
func word(seed uint64, position int) []byte {
	mixed := mix(seed + uint64(position)*0x9e3779b97f4a7c15)
	letters := make([]byte, wordBytes)
	for i := range wordBytes - 1 {
		letters[i] = wordLetters[mixed>>(5*i)&31]
	}
	letters[wordBytes-1] = ' '
	return letters
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// drawTokens returns a log-normal answer length that is determined by the
// request id.
func drawTokens(id string, median int) int {
	seed := xxhash.Sum64String(id)
	source := rand.New(rand.NewPCG(seed, mix(seed)))
	return max(1, int(float64(median)*math.Exp(answerSigma*source.NormFloat64())))
}
